import json

from behave import given
from behave import then
from behave import when

from trefoilstand.cli import trace

_EVENTS = (
    {"event": "request_ended", "request_id": "r1"},
    {"event": "configuration_accepted", "version": 7},
    {"event": "request_ended", "request_id": "r2", "status": 503},
    {"event": "request_ended", "request_id": "r3"},
)


@given("a log whose lines begin with {prefix}")
def make_log(context, prefix):
    line_prefix = "" if prefix == "nothing" else "12.3 host-1 "
    context.lines = [line_prefix + json.dumps(event) for event in _EVENTS]


@given("a log with malformed lines")
def make_malformed_log(context):
    lines = [json.dumps(event) for event in _EVENTS]
    context.lines = ["{cut", "", *lines, '["no object"]', "{}", "}{"]


@when("the request {request_id} is traced")
def trace_request(context, request_id):
    context.traced_lines = trace.find_request(
        trace.read_lines("log", context.lines), request_id, 8
    )


@then("its line is found after the configuration change")
def check_line_found(context):
    assert [line.event for line in context.traced_lines] == [
        "configuration_accepted",
        "request_ended",
    ], context.traced_lines
    assert context.traced_lines[1].fields["status"] == 503


@then("no line of another request is shown")
def check_no_other_request(context):
    request_ids = {
        line.fields.get("request_id") for line in context.traced_lines
    }
    assert request_ids == {None, "r2"}


@then("nothing is found")
def check_nothing_found(context):
    assert context.traced_lines == []
