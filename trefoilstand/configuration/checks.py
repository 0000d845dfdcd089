"""Checks of the operators' text that span several entries."""

import collections.abc
import graphlib
import math

from trefoilstand import exceptions
from trefoilstand.configuration import const
from trefoilstand.configuration import models
from trefoilstand.helpers import toml_text


class TextTooLargeError(exceptions.TextFaultError):
    """Represent a text larger than the configuration service holds."""


class UnknownDependencyError(exceptions.TextFaultError):
    """Represent a dependency on a service that is not in the text."""


class DependencyCycleError(exceptions.TextFaultError):
    """Represent services that depend on each other in a circle."""


class DuplicateAddressError(exceptions.TextFaultError):
    """Represent one address that stands for two targets."""


class DuplicateOperationError(exceptions.TextFaultError):
    """Represent two operations of the same method and path."""


class BudgetTooSmallError(exceptions.TextFaultError):
    """Represent a budget whose share for one process allows no probe."""


class NoActiveTargetError(exceptions.TextFaultError):
    """Represent a service whose targets are all leaving."""


Faults = collections.abc.Iterator[exceptions.TextFaultError]


def find_faults(
    configuration: models.Configuration, parsed: toml_text.TomlText
) -> list[exceptions.TextFaultError]:
    """Return all faults that the schema alone cannot find.

    :param configuration: content that passed the schema.
    :param parsed: the same text with the lines of its entries.
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
                    place=parsed.place(("services", name, "depends_on")),
                    expected=f"no service is named {dependency!r}",
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
            place=parsed.place(("services", cycle[0], "depends_on")),
            expected=f"no cycle, found {' -> '.join(cycle)}",
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
                    place=parsed.place(path),
                    expected=f"{target.address} is taken by {owner}",
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
                    place=parsed.place(path),
                    expected=f"one entry for {' '.join(key)}",
                )
            seen.add(key)


def _find_services_without_active_target(
    configuration: models.Configuration, parsed: toml_text.TomlText
) -> Faults:
    for name, service in configuration.services.items():
        states = {target.state for target in service.targets}
        if models.TargetState.ACTIVE not in states:
            yield NoActiveTargetError(
                place=parsed.place(("services", name)),
                expected="at least one target that is not leaving",
            )


def _find_small_budgets(
    configuration: models.Configuration, parsed: toml_text.TomlText
) -> Faults:
    budget = configuration.measuring
    processes = budget.max_entry_processes
    budgets_per_second = {
        "fleet_probes_per_second": budget.fleet_probes_per_second,
        "fleet_bytes_per_second": (
            budget.fleet_bytes_per_second / const.PROBE_BYTES
        ),
        "target_probes_per_second": budget.target_probes_per_second,
    }
    for key, probes_per_second in budgets_per_second.items():
        window_probes = probes_per_second * const.BUDGET_WINDOW_S
        if math.floor(window_probes / processes) < 1:
            yield BudgetTooSmallError(
                place=parsed.place(("measuring", key)),
                expected=(
                    f"at least one probe of {const.PROBE_BYTES} bytes in "
                    f"{const.BUDGET_WINDOW_S} s for each of {processes} "
                    "entry processes"
                ),
            )
