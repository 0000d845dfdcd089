import random

from behave import given
from behave import then
from behave import when

from trefoilstand import core
from trefoilstand.telemetry import metrics
from trefoilstand.util import clock as clocks


class _TestComponent(core.Component):
    def __init__(self, fails_to_stop=False):
        self.fails_to_stop = fails_to_stop
        self.is_stopped = False

    def start(self):
        pass

    def stop(self):
        self.is_stopped = True
        if self.fails_to_stop:
            raise OSError("the test component fails to stop")


@given("a process with a manual clock")
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
def add_components(context):
    context.components = [
        _TestComponent(),
        _TestComponent(fails_to_stop=True),
        _TestComponent(),
    ]
    for component in context.components:
        context.process.add_component(component)


@when("it has caught up")
def catch_up(context):
    context.process.mark_caught_up(context.process.epoch)


@when("catching up ends for an earlier epoch")
def catch_up_for_earlier_epoch(context):
    context.process.mark_caught_up(context.process.epoch - 1)


@when("{seconds:d} seconds pass without a tick")
def advance_clock(context, seconds):
    context.clock.advance(seconds)


@when("it ticks")
def tick(context):
    context.process.tick()


@when("{seconds:d} seconds pass and it ticks")
def advance_clock_and_tick(context, seconds):
    context.clock.advance(seconds)
    context.process.tick()


@when("it is told to stop")
def request_leave(context):
    context.process.request_leave()


@when("it runs until it has stopped")
def run_until_stopped(context):
    context.process.request_leave()
    context.stop_error = None
    try:
        context.process.run()
    except core.StopFailedError as error:
        context.stop_error = error


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
def check_stops_at_next_tick(context):
    context.process.run()
    assert context.process.phase is core.Phase.STOPPED


@then("the two others were stopped and the failure is in an error group")
def check_others_stopped(context):
    assert all(component.is_stopped for component in context.components)
    assert len(context.stop_error.exceptions) == 1
