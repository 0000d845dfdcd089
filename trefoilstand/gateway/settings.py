"""Settings of a gateway process."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """Name one socket to listen on.

    :param ip: IP number.
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
    :param caller_endpoint: where callers send requests.
    :param readiness_endpoint: where readiness is asked.
    :param directory_endpoint: where callers ask for addresses.
    :param peer_endpoint: where other entry hosts are served.
    :param metrics_endpoint: where metrics are served.
    :param seeds: peer addresses of hosts to join.
    :param store_endpoint: where the store is read.
    :param is_first_start: whether the whole fleet starts for the first
        time, with no callers waiting.
    :param drain_s: time after which a leaving target gets nothing new.
    :param grace_s: time from SIGTERM to SIGKILL.
    :param answer_lifetime_s: how long callers may keep addresses.
    :param retry_ratio: repeats for each request, over all hosts.
    :param retry_allowance: repeats beyond the ratio in one window.
    :param retry_window_s: length of that window.
    :param probes_per_target_s: probes that a target takes from all hosts.
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
    grace_s: float
    answer_lifetime_s: float
    retry_ratio: float
    retry_allowance: float
    retry_window_s: float
    probes_per_target_s: float
