import json
import signal
import threading
import time

from behave import then
from behave import when

from trefoilstand.callers import const as callers_const
from trefoilstand.client import models as client_models
from trefoilstand.decision import models as decision_models
from trefoilstand.standins import fleet
from trefoilstand.standins import load

_LOOKUP = load.Operation(
    service="quotes", method="GET", path="/quotes/1", is_repeatable=True
)


def _statuses(context):
    return [entry.status() or {} for entry in context.fleet.entries]


def _versions(context):
    return [
        status.get("configuration_version") for status in _statuses(context)
    ]


def _highest_version(context):
    return max(version or 0 for version in _versions(context))


def _publish(context, version=None):
    """Publish a text that differs from all earlier ones."""
    unique_comment = time.monotonic_ns()
    text = f"# {unique_comment}\n{context.fleet_text}"
    context.fleet.platform.publish_text(text, version)


def _wait_version(context, version, timeout_s):
    elapsed_s = fleet.wait_until(
        lambda: _versions(context) == [version] * 3, timeout_s
    )
    assert elapsed_s is not None, (
        f"expected version {version}, hosts have {_versions(context)}"
    )


@when("the operators publish a newer text")
def publish_newer_text(context):
    context.expected_version = _highest_version(context) + 1
    _publish(context, context.expected_version)


@then("it is in force on all hosts within {seconds:d} seconds")
def check_in_force(context, seconds):
    _wait_version(context, context.expected_version, seconds)


@when("the configuration service is {fault} for {seconds:d} seconds")
def inject_service_fault(context, fault, seconds):
    context.version_before = _highest_version(context)
    context.fleet.platform.set_fault(fault)
    time.sleep(seconds)


@then("all hosts keep their text and serve")
def check_kept_text_and_serving(context):
    assert _versions(context) == [context.version_before] * 3, _versions(
        context
    )
    calls = load.run(context.client, (_LOOKUP,), calls=100, callers=4, seed=1)
    assert all(
        call.outcome is decision_models.Outcome.ANSWERED for call in calls
    )


@then(
    "a newer text is in force within {seconds:d} seconds after it has "
    "recovered"
)
def check_in_force_after_recovery(context, seconds):
    context.fleet.platform.set_fault("none")
    _publish(context, context.version_before + 2)
    _wait_version(context, context.version_before + 2, seconds)


@when("two texts are published at the same time")
def publish_twice(context):
    version = _highest_version(context) + 1
    threads = [
        threading.Thread(target=_publish, args=(context, version + number))
        for number in range(2)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.expected_version = version + 1


@then("all hosts agree on the later one within {seconds:d} seconds")
def check_agreement(context, seconds):
    _wait_version(context, context.expected_version, seconds)
    digests = {status["configuration_digest"] for status in _statuses(context)}
    assert len(digests) == 1


@when("a faulty text is published")
def publish_faulty(context):
    context.version_before = _highest_version(context)
    context.fleet.platform.publish_text(
        "format_version = 1\n", context.version_before + 1
    )
    time.sleep(2.0)


@then("all hosts keep their text and report the faults")
def check_faults_reported(context):
    assert _versions(context) == [context.version_before] * 3
    rejections = [
        status["last_rejected"]
        for status in _statuses(context)
        if status["last_rejected"]
    ]
    assert rejections
    assert "measuring" in json.dumps(rejections)


@when("the service turns stale and one host is replaced")
def replace_while_stale(context):
    publish_newer_text(context)
    _wait_version(context, context.expected_version, 5)
    context.fleet.platform.set_fault("stale")
    context.replaced_host = context.fleet.entries[1]
    context.replaced_host.stop()
    context.replaced_host.start()


@then("the new process serves with the newest text only")
def check_replaced(context):
    until_s = time.monotonic() + 15.0
    while time.monotonic() < until_s:
        status = context.replaced_host.status()
        if status and status["phase"] == "ready":
            assert status["configuration_version"] == context.expected_version
            return
        time.sleep(0.01)
    raise AssertionError(
        f"{context.replaced_host.caller_address} is not ready after 15 s"
    )


@when("one host is frozen while a newer text is published")
def freeze_host(context):
    context.frozen_host = context.fleet.entries[2]
    context.frozen_host.send_signal(signal.SIGSTOP)
    context.expected_version = (
        _highest_version_of(context, context.fleet.entries[:2]) + 1
    )
    _publish(context, context.expected_version)
    time.sleep(4.0)
    context.frozen_host.send_signal(signal.SIGCONT)


def _highest_version_of(context, entries):
    return max(item.status()["configuration_version"] for item in entries)


@then("it does not serve by the older text after it is resumed")
def check_resumed(context):
    request = client_models.ClientRequest(
        service="quotes", method="GET", path="/quotes/1"
    )
    answered = 0
    until_s = time.monotonic() + 10.0
    while time.monotonic() < until_s and answered < 20:
        response = context.client.exchange(
            context.frozen_host.caller_address,
            request,
            (),
            time.monotonic() + 1.0,
        )
        if response.fault is not None or response.status != 200:
            time.sleep(0.01)
            continue
        answered += 1
        version = response.header("Trefoilstand-Config-Version")
        assert version == str(context.expected_version), version
    assert answered == 20, callers_const.PATH_STATUS
