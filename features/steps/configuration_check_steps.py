import contextlib
import io
import json
import pathlib
import tempfile

from behave import given
from behave import then
from behave import when

from trefoilstand.platform import check

_TEXT = """{"version": "r7", "routes": {"r-1": {"host": "app.example",
"prefix": "/q/", "route-type": "safe", "timeout": "1000ms", "target-latency":
"515ms", "max-attempts": 2, "traffic-split": [{"service": "a", "weight": 90},
{"service": "b", "weight": 10}]}, "r-x": {"host": "app.example", "prefix":
"/p/", "route-type": "unsafe", "timeout": "1500ms", "priority": 1, "service":
"a"}}, "services": {"b": {}, "a": {"health-path": "/health", "max-conns": 1060,
"protocol": "h1", "tls": false, "warmup": "3s", "warmup-per-s": 6.8}},
"limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
"header-timeout": "3000ms", "idle-timeout": "15000ms"}}"""


@given("a configuration whose {entry} is {value}")
def change_entry(context, entry, value):
    if "document" not in context:
        context.document = json.loads(_TEXT) | {"version": "r8"}
    *parents, name = entry.split("/")
    node = context.document
    for key in parents:
        node = node[int(key) if isinstance(node, list) else key]
    node[int(name) if isinstance(node, list) else name] = json.loads(value)


@when("the configuration is checked")
def check_document(context):
    _check(context, json.dumps(context.document), _TEXT)


@when("{text} is checked alone")
def _check(context, text, in_force=None):
    output = io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        paths = pathlib.Path(folder, "new"), pathlib.Path(folder, "in-force")
        paths[0].write_text(text)
        paths[1].write_text(in_force or "")
        command = check.CheckCommand(
            new=paths[0], in_force=in_force and paths[1], json=True
        )
        with contextlib.redirect_stdout(output):
            context.exit_code = command()
    context.report = json.loads(output.getvalue())


@then("the exit code is {code:d}, with one finding at {location}: {message}")
def check_only_finding(context, code, location, message):
    (finding,) = context.report["findings"]
    assert context.exit_code == code, (context.exit_code, finding)
    assert finding["location"] == location, finding
    assert message in finding["message"], finding


@then("the exit code is {code:d}, and the {kind} are {expected}")
def check_rows(context, code, kind, expected):
    assert context.exit_code == code, (context.exit_code, context.report)
    found = [
        row.get("location") or f"{row['kind']} {row['key_path']}"
        for row in context.report[kind]
    ]
    assert found == expected.split(", "), found
