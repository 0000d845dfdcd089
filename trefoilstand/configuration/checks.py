"""Checks of the configuration that span several entries."""

import collections.abc
import graphlib
import math

from trefoilstand import exceptions
from trefoilstand.configuration import const
from trefoilstand.configuration import models
from trefoilstand.helpers import toml_text


class TextTooLargeError(exceptions.TextFaultError):
    """The text exceeds the size limit of the configuration service."""


class UnknownDependencyError(exceptions.TextFaultError):
    """A service depends on one that is not configured."""


class DependencyCycleError(exceptions.TextFaultError):
    """The dependencies between services form a cycle."""


class DuplicateAddressError(exceptions.TextFaultError):
    """Two targets have the same address."""


class DuplicateOperationError(exceptions.TextFaultError):
    """Two operations of a service have the same method and path."""


class BudgetTooSmallError(exceptions.TextFaultError):
    """The share of one process in a probe budget is below one probe."""


class NoActiveTargetError(exceptions.TextFaultError):
    """All targets of a service are leaving."""


Faults = collections.abc.Iterator[exceptions.TextFaultError]


def find_faults(
    configuration: models.Configuration, parsed: toml_text.TomlText
) -> list[exceptions.TextFaultError]:
    """Return all faults that the schema does not detect.

    :param configuration: configuration that passed schema validation.
    :param parsed: parsed text, which locates the entries.
    """
    return [
        *_find_unknown_dependencies(configuration, parsed),
        *_find_cycle(configuration, parsed),
        *_find_duplicate_addresses(configuration, parsed),
        *_find_duplicate_operations(configuration, parsed),
        *_find_services_without_active_target(configuration, parsed),
        *_find_small_budgets(configuration, parsed),
    ]


def _find_unknown_dependencies(
    configuration: models.Configuration, parsed: toml_text.TomlText
) -> Faults:
    for name, service in configuration.services.items():
        for dependency in service.depends_on:
            if dependency not in configuration.services:
                yield UnknownDependencyError(
                    location=parsed.location(("services", name, "depends_on")),
                    expected=f"a configured service, found {dependency!r}",
                )


def _find_cycle(
    configuration: models.Configuration, parsed: toml_text.TomlText
) -> Faults:
    graph = {
        name: service.depends_on
        for name, service in configuration.services.items()
    }
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        cycle = error.args[1]
        yield DependencyCycleError(
            location=parsed.location(("services", cycle[0], "depends_on")),
            expected=f"no dependency cycle, found {' -> '.join(cycle)}",
        )


def _find_duplicate_addresses(
    configuration: models.Configuration, parsed: toml_text.TomlText
) -> Faults:
    owners: dict[str, str] = {}
    for name, service in configuration.services.items():
        for position, target in enumerate(service.targets):
            owner = owners.setdefault(
                target.address, f"services.{name}.targets.{position}"
            )
            path = ("services", name, "targets", position, "address")
            if owner != f"services.{name}.targets.{position}":
                yield DuplicateAddressError(
                    location=parsed.location(path),
                    expected=(
                        f"a unique address, {target.address} "
                        f"is used by {owner}"
                    ),
                )


def _find_duplicate_operations(
    configuration: models.Configuration, parsed: toml_text.TomlText
) -> Faults:
    for name, service in configuration.services.items():
        seen: set[tuple[str, str]] = set()
        for position, operation in enumerate(service.operations):
            key = (operation.method, operation.path)
            if key in seen:
                path = ("services", name, "operations", position)
                yield DuplicateOperationError(
                    location=parsed.location(path),
                    expected=f"only one operation for {' '.join(key)}",
                )
            seen.add(key)


def _find_services_without_active_target(
    configuration: models.Configuration, parsed: toml_text.TomlText
) -> Faults:
    for name, service in configuration.services.items():
        states = {target.state for target in service.targets}
        if models.TargetState.ACTIVE not in states:
            yield NoActiveTargetError(
                location=parsed.location(("services", name)),
                expected="at least one target that is not leaving",
            )


def _find_small_budgets(
    configuration: models.Configuration, parsed: toml_text.TomlText
) -> Faults:
    budget = configuration.measuring
    max_processes = budget.max_entry_processes
    budgets_per_second = {
        "fleet_probes_per_second": budget.fleet_probes_per_second,
        "fleet_bytes_per_second": (
            budget.fleet_bytes_per_second / const.PROBE_BYTES
        ),
        "target_probes_per_second": budget.target_probes_per_second,
    }
    for key, probes_per_second in budgets_per_second.items():
        window_probes = probes_per_second * const.BUDGET_WINDOW_S
        if math.floor(window_probes / max_processes) < 1:
            yield BudgetTooSmallError(
                location=parsed.location(("measuring", key)),
                expected=(
                    f"at least one probe of {const.PROBE_BYTES} bytes in "
                    f"{const.BUDGET_WINDOW_S} s for each of {max_processes} "
                    "entry processes"
                ),
            )
