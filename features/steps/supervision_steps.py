import asyncio
import logging
import random

from absl import logging as absl_logging
from behave import given
from behave import then
from behave import when

from features.steps import reading_steps
from features.support import reading_host
from trefoilstand.experiments import virtual_time
from trefoilstand.fleet import coordinator
from trefoilstand.fleet import exchange
from trefoilstand.fleet import replica
from trefoilstand.fleet import staleness_tracker
from trefoilstand.helpers import supervision
from trefoilstand.peers import membership


class _FailureLog(logging.Handler):
    """Keep the names of the components that failed."""

    def __init__(self):
        super().__init__()
        self.components = []

    def emit(self, record):
        if record.getMessage() == "component_failed":
            self.components.append(record.component)


class _FailingStore(reading_steps.CountingStore):
    def __init__(self, failures):
        super().__init__()
        self._failures_left = failures

    async def read_all(self):
        if self._failures_left:
            self._failures_left -= 1
            raise ZeroDivisionError("error requested by the scenario")
        return await super().read_all()


class _FailingExchange(exchange.PeerExchange):
    """Exchange whose first rounds raise, without a network."""

    failures_left = 0
    completed_rounds = 0

    def _check_replies(self, now_s):
        if self.failures_left:
            self.failures_left -= 1
            raise ZeroDivisionError("error requested by the scenario")
        super()._check_replies(now_s)
        self.completed_rounds += 1


class _NoTransfers:
    async def serve(self, ip, port):
        return

    def close(self):
        return


def _run(context, make_coroutine):
    context.failure_log = _FailureLog()
    logger = absl_logging.get_absl_logger()
    logger.addHandler(context.failure_log)
    verbosity = absl_logging.get_verbosity()
    absl_logging.set_verbosity(logging.WARNING)
    try:
        virtual_time.run(make_coroutine)
    finally:
        absl_logging.set_verbosity(verbosity)
        logger.removeHandler(context.failure_log)


def _members(clock):
    return membership.MemberTable(
        own=reading_host.make_member(1),
        random_source=random.Random(1),
        clock=clock,
    )


@given(
    "a host whose store raises an unexpected error in its first {count:d} "
    "reads"
)
def failing_store(context, count):
    context.store = _FailingStore(count)


@when("it has run for {elapsed_ms:d} ms of simulated time")
def run_reader(context, elapsed_ms):
    async def run(loop):
        clock = virtual_time.LoopClock(loop=loop)
        members = _members(clock)
        reader = coordinator.StateCoordinator(
            store=context.store,
            state=replica.Replica(),
            staleness=staleness_tracker.StalenessTracker(
                random_source=random.Random(1)
            ),
            members=members,
            peers=reading_host.SilentPeers(members=members),
            random_source=random.Random(1),
            clock=clock,
            reads_immediately=True,
        )
        await reader.start()
        await asyncio.sleep(elapsed_ms / 1000)
        await reader.stop()

    _run(context, run)


@then("it has read the store and watched it")
def check_read(context):
    assert context.store.reads == 1, context.store.reads
    assert context.store.watches > 0


@given(
    "a host whose first {count:d} heartbeat rounds raise an unexpected error"
)
def failing_rounds(context, count):
    context.failing_rounds = count


@when("its rounds have run for {elapsed_ms:d} ms of simulated time")
def run_rounds(context, elapsed_ms):
    async def run(loop):
        clock = virtual_time.LoopClock(loop=loop)
        peers = _FailingExchange(
            members=_members(clock),
            make_handler=lambda: None,
            transfers=_NoTransfers(),
            random_source=random.Random(1),
            clock=clock,
        )
        peers.failures_left = context.failing_rounds
        peers.start_rounds()
        await asyncio.sleep(elapsed_ms / 1000)
        await peers.stop()
        context.completed_rounds = peers.completed_rounds

    _run(context, run)


@then("it has completed at least {count:d} rounds")
def check_rounds(context, count):
    assert context.completed_rounds >= count, context.completed_rounds


@then("{count:d} failures of the {component} are logged")
def check_failures(context, count, component):
    assert context.failure_log.components == [component] * count


@given("a supervised step that raises an unexpected error each time")
def failing_step(context):
    context.steps = 0


@when("its task is cancelled after {elapsed_ms:d} ms of simulated time")
def cancel_supervised(context, elapsed_ms):
    async def step():
        context.steps += 1
        raise ZeroDivisionError("error requested by the scenario")

    async def run(loop):
        task = loop.create_task(supervision.repeat("step", step))
        await asyncio.sleep(elapsed_ms / 1000)
        task.cancel()
        await asyncio.wait({task}, timeout=1)
        context.is_ended = task.cancelled()

    _run(context, run)


@then("the task has ended and each failure is logged")
def check_cancelled(context):
    assert context.is_ended
    assert context.steps > 1
    assert context.failure_log.components == ["step"] * context.steps
