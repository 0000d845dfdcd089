"""Tables of entities that the systems run over."""

import collections
import typing

from trefoilstand.configuration import models as configuration_models
from trefoilstand.decision import models


class TargetTable:
    """Hold targets, their health and own requests by address."""

    def __init__(self) -> None:
        self.by_service: dict[str, tuple[models.TargetEntity, ...]] = {}
        self.health: dict[str, models.TargetHealth] = {}
        self.in_flight: dict[str, dict[int, float]] = {}
        self.entities: dict[str, models.TargetEntity] = {}

    def load(self, content: configuration_models.Configuration) -> None:
        """Replace all targets, and keep what is known of those that stay."""
        self.by_service = {
            name: tuple(_make_target(name, item) for item in service.targets)
            for name, service in content.services.items()
        }
        self.entities = {
            target.address: target
            for targets in self.by_service.values()
            for target in targets
        }
        self.health = {
            address: self.health.get(address, models.TargetHealth())
            for address in self.entities
        }
        kept = {
            address: calls
            for address, calls in self.in_flight.items()
            if calls or address in self.entities
        }
        self.in_flight = collections.defaultdict(dict, kept)

    def candidate(
        self, target: models.TargetEntity, now_s: float
    ) -> models.Candidate:
        """Return a target with everything that a policy looks at."""
        calls = self.in_flight[target.address]
        age_ms = 0.0
        if calls:
            # Insertion order makes the first entry the oldest one.
            age_ms = (now_s - next(iter(calls.values()))) * 1000
        return models.Candidate(
            target=target,
            health=self.health[target.address],
            own_in_flight=len(calls),
            oldest_age_ms=age_ms,
        )


def _make_target(
    service_name: str, item: configuration_models.Target
) -> models.TargetEntity:
    return models.TargetEntity(
        service_name=service_name,
        address=item.address,
        failure_domain=item.failure_domain,
        slots=item.slots,
        configured_leaving=(
            item.state is configuration_models.TargetState.LEAVING
        ),
    )


class LeavingMark(typing.NamedTuple):
    """Identify a target process that is leaving.

    An empty incarnation stands for any process at the address.
    """

    address: str
    incarnation: str
