"""Failure domains that the operators have evacuated."""

from trefoilstand.telemetry import events


class EvacuatedDomains:
    """Hold the failure domains whose targets get no requests."""

    def __init__(self) -> None:
        self._domains: set[str] = set()

    def __contains__(self, domain: str) -> bool:
        return domain in self._domains

    def __len__(self) -> int:
        return len(self._domains)

    def evacuate(self, domain: str) -> bool:
        """Record an evacuation.

        :param domain: failure domain.
        :returns: whether the domain was in use before.
        """
        if domain in self._domains:
            return False
        self._domains.add(domain)
        events.warning(events.DomainEvacuated(failure_domain=domain))
        return True

    def restore(self, domain: str) -> bool:
        """Record the end of an evacuation.

        :param domain: failure domain.
        :returns: whether the domain was evacuated before.
        """
        if domain not in self._domains:
            return False
        self._domains.remove(domain)
        events.info(events.DomainRestored(failure_domain=domain))
        return True
