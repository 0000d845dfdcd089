import random

from behave import given
from behave import then
from behave import when

from trefoilstand import core
from trefoilstand.telemetry import metrics
from trefoilstand.util import clock as clocks


class _Part(core.Component):
    def __init__(self, fails=False):
        self.fails = fails
        self.is_stopped = False

    def start(self):
        pass

    def stop(self):
        self.is_stopped = True
        if self.fails:
            raise OSError("it fails to stop")


@given("a process on a clock set by hand")
def make_process(context):
    context.clock = clocks.ManualClock()
    context.process = core.TrefoilStand(
        clock=context.clock,
        random_source=random.Random(1),
        process_metrics=metrics.Metrics(),
        tick_interval_s=0.001,
        leave_duration_s=2.0,
    )


@given("a component that fails to stop between two others")
def add_parts(context):
    context.parts = [_Part(), _Part(fails=True), _Part()]
    for part in context.parts:
        context.process.add_component(part)


@when("it has caught up")
def catch_up(context):
    context.process.mark_caught_up(context.process.epoch)


@when("an older catching up ends")
def catch_up_late(context):
    context.process.mark_caught_up(context.process.epoch - 1)


@when("{seconds:d} seconds pass without a tick")
def pass_time(context, seconds):
    context.clock.advance(seconds)


@when("it ticks")
def tick(context):
    context.process.tick()


@when("{seconds:d} seconds pass and it ticks")
def pass_and_tick(context, seconds):
    context.clock.advance(seconds)
    context.process.tick()


@when("it is told to stop")
def request_leave(context):
    context.process.request_leave()


@when("it runs to its end")
def run_to_end(context):
    context.process.request_leave()
    context.error = None
    try:
        context.process.run()
    except core.StopFailedError as error:
        context.error = error


@then("it does not serve")
def check_not_serving(context):
    assert not context.process.is_serving()


@then("it serves")
def check_serving(context):
    assert context.process.is_serving()


@then("it serves and is leaving")
def check_leaving(context):
    assert context.process.is_serving()
    assert context.process.phase is core.Phase.LEAVING
    assert not context.process._stop_requested.is_set()


@then("it stops at the next tick")
def check_stops(context):
    context.process.run()
    assert context.process.phase is core.Phase.STOPPED


@then("the two others were stopped and the failure is grouped")
def check_stopped(context):
    assert all(part.is_stopped for part in context.parts)
    assert len(context.error.exceptions) == 1
