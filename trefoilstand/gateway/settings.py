"""Settings of a gateway process."""

import dataclasses

from trefoilstand.gateway import retry_budget


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """Hold the address of a socket to listen on or connect to.

    :param ip: IP address.
    :param port: TCP port.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GatewaySettings:
    """Hold the checked settings of one gateway process.

    :param host_name: name of the host.
    :param failure_domain: failure domain of the host.
    :param caller_endpoint: address for the requests of callers.
    :param readiness_endpoint: address for readiness checks.
    :param directory_endpoint: address at which callers look up the entry
        hosts, None to not serve it.
    :param peer_endpoint: address for messages of other entry hosts.
    :param metrics_endpoint: address of the metrics page.
    :param seeds: peer addresses of entry hosts to join the fleet through.
    :param store_endpoint: address of the store.
    :param is_first_start: whether the whole fleet starts for the first
        time, with no callers waiting.
    :param drain_s: seconds after which a leaving target gets no new requests.
    :param entry_heartbeat_s: seconds between two heartbeats of a target to the
        store.
    :param grace_s: seconds from SIGTERM to SIGKILL.
    :param answer_lifetime_s: seconds for which callers may cache the
        addresses of entry hosts.
    :param retry_ratio: retries and hedges per request, over all hosts.
    :param retry_allowance: retries and hedges beyond the ratio in one
        window, over all hosts.
    :param retry_window_s: length of that window in seconds.
    :param probes_per_target_s: probes per second that a target accepts from
        all hosts together.
    :param memory_limit_bytes: memory that the process may use.
    :param link_bytes_per_s: rate of the host's link.
    :param descriptor_limit: file descriptors that the process may use.
    """

    host_name: str
    failure_domain: str
    caller_endpoint: Endpoint
    readiness_endpoint: Endpoint
    directory_endpoint: Endpoint | None
    peer_endpoint: Endpoint
    metrics_endpoint: Endpoint
    seeds: tuple[str, ...]
    store_endpoint: Endpoint
    is_first_start: bool
    drain_s: float
    entry_heartbeat_s: float
    grace_s: float
    answer_lifetime_s: float
    retry_ratio: float
    retry_allowance: float
    retry_window_s: float
    probes_per_target_s: float
    memory_limit_bytes: int
    link_bytes_per_s: float
    descriptor_limit: int

    @property
    def retry_limits(self) -> retry_budget.RetryBudgetLimits:
        """Return the retry budget of each service over all hosts."""
        return retry_budget.RetryBudgetLimits(
            ratio=self.retry_ratio,
            allowance=self.retry_allowance,
            window_s=self.retry_window_s,
        )
