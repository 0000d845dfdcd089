import json
import logging
import os

from behave import given
from behave import then
from behave import when
from pythonjsonlogger import json as json_formatter

from trefoilstand.telemetry import stream


@given("a log stream whose reader does not read")
def slow_reader(context):
    context.read_end, context.write_end = os.pipe()
    context.handler = stream.BoundedStreamHandler(descriptor=context.write_end)
    context.handler.setFormatter(
        json_formatter.JsonFormatter("%(levelname)s %(message)s")
    )


@when("{count:d} lines are logged and then the reader reads all")
def log_lines(context, count):
    for _ in range(count):
        context.handler.emit(
            logging.makeLogRecord({"msg": "filler", "pad": "x" * 100})
        )
        context.handler.flush()
    os.set_blocking(context.read_end, False)
    content = b""
    for _ in range(100):
        context.handler.flush()
        try:
            content += os.read(context.read_end, 1 << 20)
        except BlockingIOError:
            break
    context.lines = content.splitlines()
    os.close(context.read_end)
    os.close(context.write_end)


@then("the lines that were written and those reported dropped are {count:d}")
def check_counts(context, count):
    messages = [json.loads(line) for line in context.lines]
    written = sum(item["message"] == "filler" for item in messages)
    dropped = sum(
        item["lines"]
        for item in messages
        if item["message"] == "log_lines_dropped"
    )
    assert dropped > 0
    assert written + dropped == count, (written, dropped)


@then("no line is cut")
def check_whole_lines(context):
    for line in context.lines:
        json.loads(line)
