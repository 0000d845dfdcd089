import itertools
import pathlib
import random

from behave import given
from behave import then
from behave import when

from features.support import texts
from trefoilstand import exceptions
from trefoilstand.configuration import coordinator
from trefoilstand.configuration import diff
from trefoilstand.configuration import loader
from trefoilstand.settings import loader as settings_loader

_EXAMPLES = pathlib.Path("examples")
_SETTINGS = """caller_address = "localhost:80"
peer_address = "127.0.0.1:81"
failure_domain = ""
platform_address = "127.0.0.1:82"
ticket_secrets = ["short"]
unknown_key = 1
"""


def _read(name):
    return (_EXAMPLES / f"{name}.toml").read_text(encoding="utf-8")


def _parse(text):
    return loader.parse_configuration(source_name="test", text=text)


def _faults(parse):
    try:
        parse()
    except exceptions.TextFaultsError as group:
        return list(group.exceptions)
    return []


@given("settings with 4 faults")
def faulty_settings(context):
    context.settings_text = _SETTINGS


@given("settings without a peer address")
def short_settings(context):
    lines = _SETTINGS.splitlines(keepends=True)
    context.settings_text = "".join(lines[:1] + lines[2:])


def _settings_faults(context):
    return _faults(
        lambda: settings_loader.parse_settings(
            source_name="test", text=context.settings_text
        )
    )


@then("4 faults are found on lines 1, 3, 5 and 6")
def check_settings(context):
    found = sorted(
        fault.location.line_number for fault in _settings_faults(context)
    )
    assert found == [1, 3, 5, 6], _settings_faults(context)


@then('a fault names "{key}"')
def check_named(context, key):
    paths = [fault.location.key_path for fault in _settings_faults(context)]
    assert key in paths, paths


@then('the example "{name}" has {services:d} services and {targets:d} targets')
def check_example(context, name, services, targets):
    found = _parse(_read(name)).services
    assert len(found) == services
    assert sum(len(item.targets) for item in found.values()) == targets


@given('the example "{name}" with "{before}" replaced by "{after}"')
def changed_example(context, name, before, after):
    text = _read(name)
    assert before in text, before
    context.before_text = text
    context.after_text = text.replace(before, after, 1)


@then("a {error} is found at line {line:d}")
def check_fault(context, error, line):
    faults = _faults(lambda: _parse(context.after_text))
    if line == 0:
        assert faults == [], faults
        return
    places = [
        (type(fault).__name__, fault.location.line_number) for fault in faults
    ]
    assert (error, line) in places, places


def _is_repeatable(request, service):
    method, path = request.split()
    found = _parse(_read("perch-guard")).services[service]
    return found.is_repeatable(method, path)


@then('"{request}" of "{service}" may not be repeated')
def check_not_repeatable(context, request, service):
    assert not _is_repeatable(request, service)


@then('"{request}" of "{service}" may be repeated')
def check_repeatable(context, request, service):
    assert _is_repeatable(request, service)


@then('the only difference is "{path}" from {before} to {after}')
def check_difference(context, path, before, after):
    found = diff.compare(
        _parse(context.before_text), _parse(context.after_text)
    )
    assert [(item.key_path, item.before, item.after) for item in found] == [
        (path, before, after)
    ], found


@given("6 texts of which 1 is faulty and 2 share a version")
def six_texts(context):
    context.offers = [
        (1, texts.make_text(1)),
        (2, texts.make_text(2)),
        (3, "format_version = 9"),
        (4, texts.make_text(4)),
        (5, texts.make_text(5)),
        (5, texts.make_text(6)),
    ]


@then("every order and repetition of offers ends in the same text")
def check_orders(context):
    source = random.Random(3)
    ends = set()
    for order in itertools.permutations(context.offers):
        made = coordinator.ConfigurationCoordinator()
        versions = []
        made.add_listener(lambda loaded, v=versions: v.append(loaded.version))
        for version, text in (*order, *source.choices(order, k=6)):
            made.offer(version=version, text=text, source="test")
        assert versions == sorted(versions), versions
        ends.add(made.order_key)
    assert len(ends) == 1, ends
    assert next(iter(ends))[0] == 5


@given("a coordinator with version 3 in force")
def coordinator_in_force(context):
    context.coordinator = coordinator.ConfigurationCoordinator()
    context.coordinator.offer(
        version=3, text=texts.make_text(3), source="test"
    )


@when("a faulty text is offered as version 4")
def offer_faulty(context):
    found = context.coordinator.offer(
        version=4, text="format_version = 1", source="test"
    )
    assert found is coordinator.OfferResult.REJECTED


@then("version 3 is in force and the faults are kept")
def check_kept(context):
    assert context.coordinator.version == 3
    rejected = context.coordinator.last_rejected
    assert rejected.version == 4
    assert len(rejected.faults) == 2, rejected


@then("a good text offered as version 5 is accepted")
def check_accepted(context):
    found = context.coordinator.offer(
        version=5, text=texts.make_text(5), source="test"
    )
    assert found is coordinator.OfferResult.ACCEPTED
