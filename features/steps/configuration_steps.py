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


def _read_example(name):
    return (_EXAMPLES / f"{name}.toml").read_text(encoding="utf-8")


def _parse_configuration(text):
    return loader.parse_configuration(source_name="test", text=text)


def _collect_faults(parse_text):
    try:
        parse_text()
    except exceptions.TextFaultsError as error_group:
        return list(error_group.exceptions)
    return []


@given("settings with 4 faults")
def set_faulty_settings(context):
    context.settings_text = _SETTINGS


@given("settings without a peer address")
def set_settings_without_peer_address(context):
    lines = _SETTINGS.splitlines(keepends=True)
    context.settings_text = "".join(lines[:1] + lines[2:])


def _collect_settings_faults(context):
    return _collect_faults(
        lambda: settings_loader.parse_settings(
            source_name="test", text=context.settings_text
        )
    )


@then("4 faults are reported on lines 1, 3, 5 and 6")
def check_settings_lines(context):
    line_numbers = sorted(
        fault.location.line_number
        for fault in _collect_settings_faults(context)
    )
    assert line_numbers == [1, 3, 5, 6], _collect_settings_faults(context)


@then('a fault names "{key}"')
def check_fault_key(context, key):
    key_paths = [
        fault.location.key_path for fault in _collect_settings_faults(context)
    ]
    assert key in key_paths, key_paths


@then('the example "{name}" has {services:d} services and {targets:d} targets')
def check_example(context, name, services, targets):
    parsed_services = _parse_configuration(_read_example(name)).services
    assert len(parsed_services) == services
    assert (
        sum(len(service.targets) for service in parsed_services.values())
        == targets
    )


@given('the example "{name}" with "{before}" replaced by "{after}"')
def change_example(context, name, before, after):
    text = _read_example(name)
    assert before in text, before
    context.before_text = text
    context.after_text = text.replace(before, after, 1)


@then("a {error} is reported at line {line:d}")
def check_fault(context, error, line):
    faults = _collect_faults(lambda: _parse_configuration(context.after_text))
    # Line 0 in an example means that no fault is expected.
    if line == 0:
        assert faults == [], faults
        return
    class_names_and_lines = [
        (type(fault).__name__, fault.location.line_number) for fault in faults
    ]
    assert (error, line) in class_names_and_lines, class_names_and_lines


def _is_repeatable(request, service):
    method, path = request.split()
    parsed_service = _parse_configuration(
        _read_example("perch-guard")
    ).services[service]
    return parsed_service.is_repeatable(method, path)


@then('"{request}" of "{service}" may not be repeated')
def check_not_repeatable(context, request, service):
    assert not _is_repeatable(request, service)


@then('"{request}" of "{service}" may be repeated')
def check_repeatable(context, request, service):
    assert _is_repeatable(request, service)


@then('the only difference is "{path}" from {before} to {after}')
def check_difference(context, path, before, after):
    differences = diff.compare(
        _parse_configuration(context.before_text),
        _parse_configuration(context.after_text),
    )
    assert [
        (difference.key_path, difference.before, difference.after)
        for difference in differences
    ] == [(path, before, after)], differences


@given("6 texts of which 1 is faulty and 2 share a version")
def make_six_offers(context):
    context.offers = [
        (1, texts.make_text(1)),
        (2, texts.make_text(2)),
        (3, "format_version = 9"),
        (4, texts.make_text(4)),
        (5, texts.make_text(5)),
        (5, texts.make_text(6)),
    ]


@then("every order and repetition of offers leads to the same text")
def check_all_orders(context):
    random_source = random.Random(3)
    final_order_keys = set()
    for ordered_offers in itertools.permutations(context.offers):
        configuration_coordinator = coordinator.ConfigurationCoordinator()
        loaded_versions = []
        configuration_coordinator.add_listener(
            lambda loaded, seen=loaded_versions: seen.append(loaded.version)
        )
        for version, text in (
            *ordered_offers,
            *random_source.choices(ordered_offers, k=6),
        ):
            configuration_coordinator.offer(
                version=version, text=text, source="test"
            )
        assert loaded_versions == sorted(loaded_versions), loaded_versions
        final_order_keys.add(configuration_coordinator.order_key)
    assert len(final_order_keys) == 1, final_order_keys
    assert next(iter(final_order_keys))[0] == 5


@given("a coordinator with version 3 in force")
def make_coordinator(context):
    context.coordinator = coordinator.ConfigurationCoordinator()
    context.coordinator.offer(
        version=3, text=texts.make_text(3), source="test"
    )


@when("a faulty text is offered as version 4")
def offer_faulty_text(context):
    offer_result = context.coordinator.offer(
        version=4, text="format_version = 1", source="test"
    )
    assert offer_result is coordinator.OfferResult.REJECTED


@then("version 3 is in force and the faults are kept")
def check_version_kept(context):
    assert context.coordinator.version == 3
    rejected = context.coordinator.last_rejected
    assert rejected.version == 4
    assert len(rejected.faults) == 2, rejected


@then("a valid text offered as version 5 is accepted")
def check_accepted(context):
    offer_result = context.coordinator.offer(
        version=5, text=texts.make_text(5), source="test"
    )
    assert offer_result is coordinator.OfferResult.ACCEPTED
