"""Table of targets and identity of leaving target processes."""

import collections
import typing

from trefoilstand.configuration import models as configuration_models
from trefoilstand.decision import models


class TargetTable:
    """Hold targets, their health and own in-flight requests by address.

    :ivar targets_by_service: targets of each service by its name.
    :ivar health: observed health by address.
    :ivar in_flight_started_s: start times of own in-flight requests by
        address, then by attempt id, in monotonic seconds.
    :ivar targets_by_address: target by address.
    """

    def __init__(self) -> None:
        self.targets_by_service: dict[
            str, tuple[models.TargetEntity, ...]
        ] = {}
        self.health: dict[str, models.TargetHealth] = {}
        self.in_flight_started_s: dict[str, dict[int, float]] = {}
        self.targets_by_address: dict[str, models.TargetEntity] = {}

    def apply_configuration(
        self, configuration: configuration_models.Configuration
    ) -> None:
        """Replace all targets, but keep the health of those that remain.

        In-flight requests to removed targets stay counted.

        :param configuration: configuration that lists the targets.
        """
        self.targets_by_service = {
            name: tuple(
                _make_target(name, configured_target)
                for configured_target in service.targets
            )
            for name, service in configuration.services.items()
        }
        self.targets_by_address = {
            target.address: target
            for targets in self.targets_by_service.values()
            for target in targets
        }
        self.health = {
            address: self.health.get(address, models.TargetHealth())
            for address in self.targets_by_address
        }
        retained = {
            address: started_s_by_id
            for address, started_s_by_id in self.in_flight_started_s.items()
            if started_s_by_id or address in self.targets_by_address
        }
        self.in_flight_started_s = collections.defaultdict(dict, retained)

    def make_candidate(
        self, target: models.TargetEntity, now_s: float
    ) -> models.Candidate:
        """Return a target with the data that selection policies use.

        :param target: a target of the table.
        :param now_s: monotonic time in seconds.
        """
        started_s_by_id = self.in_flight_started_s[target.address]
        oldest_age_ms = 0.0
        if started_s_by_id:
            # The dict keeps insertion order, so the first entry is the oldest.
            oldest_age_ms = (
                now_s - next(iter(started_s_by_id.values()))
            ) * 1000
        return models.Candidate(
            target=target,
            health=self.health[target.address],
            own_in_flight=len(started_s_by_id),
            oldest_age_ms=oldest_age_ms,
        )


def _make_target(
    service_name: str, configured_target: configuration_models.Target
) -> models.TargetEntity:
    return models.TargetEntity(
        service_name=service_name,
        address=configured_target.address,
        failure_domain=configured_target.failure_domain,
        slots=configured_target.slots,
        configured_leaving=(
            configured_target.state is configuration_models.TargetState.LEAVING
        ),
    )


class LeavingMark(typing.NamedTuple):
    """Identify a target process that is leaving.

    An empty incarnation stands for a process whose incarnation is
    unknown.
    """

    address: str
    incarnation: str
