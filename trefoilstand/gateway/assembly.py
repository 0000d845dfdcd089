"""Wire the components that forward requests."""

import collections.abc
import dataclasses
import random

from trefoilstand.fleet import rate_limits
from trefoilstand.gateway import candidates
from trefoilstand.gateway import forwarding
from trefoilstand.gateway import hedger
from trefoilstand.gateway import leaving_reader
from trefoilstand.gateway import limit_reader
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import probing
from trefoilstand.gateway import repeats
from trefoilstand.gateway import scheduling
from trefoilstand.gateway import sending
from trefoilstand.gateway import state
from trefoilstand.gateway import target_protocol
from trefoilstand.gateway import target_quota
from trefoilstand.gateway import target_selection
from trefoilstand.telemetry import metric_store
from trefoilstand.util import clock as clocks
from trefoilstand.util import token_bucket


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitHandling:
    """Hold the components that handle the request limits of targets.

    :param reader: records the limits that responses state.
    :param quota: tells when targets with a limit may be sent to.
    """

    reader: limit_reader.LimitReader
    quota: target_quota.TargetQuota


def build_limit_handling(
    *,
    table: rate_limits.RateLimitTable,
    ranking: target_quota.HostRanking,
    protocol: target_protocol.TargetProtocol,
    counts: metric_store.MetricStore,
    on_new_limit: collections.abc.Callable[[], None],
) -> LimitHandling:
    """Return the components that handle the request limits of targets.

    :param table: limits that are known.
    :param ranking: ranks the hosts for each target.
    :param protocol: header fields shared with callers and targets.
    :param counts: metrics of the process.
    :param on_new_limit: called when a target without a limit states one.
    """
    return LimitHandling(
        reader=limit_reader.LimitReader(
            protocol=protocol,
            limits=table,
            counts=counts,
            on_new_limit=on_new_limit,
        ),
        quota=target_quota.TargetQuota(limits=table, ranking=ranking),
    )


def build_forwarder(
    *,
    gateway_state: state.GatewayState,
    connections: pool.ConnectionSource,
    prober: probing.TargetProber,
    probe_budget: token_bucket.TokenBucket,
    predictor: prediction.Predictor,
    protocol: target_protocol.TargetProtocol,
    limits: LimitHandling,
    counts: metric_store.MetricStore,
    clock: clocks.Clock,
    random_source: random.Random,
    own_domain: str,
) -> forwarding.Forwarder:
    """Return the forwarder of one entry host.

    :param gateway_state: configuration and targets in force.
    :param connections: connections to targets.
    :param prober: probes the load of single targets.
    :param probe_budget: rate limit of the probes of this host.
    :param predictor: predicts how long requests take.
    :param protocol: header fields shared with callers and targets.
    :param limits: records and keeps the limits that targets state.
    :param counts: metrics of the process.
    :param clock: monotonic clock.
    :param random_source: breaks ties and jitters retries.
    :param own_domain: failure domain of this host.
    """
    scheduler = scheduling.RequestScheduler(
        table=gateway_state.targets,
        selector=target_selection.TargetSelector(
            finder=candidates.CandidateFinder(
                table=gateway_state.targets,
                predictor=predictor,
                quota=limits.quota,
                clock=clock,
                random_source=random_source,
                own_domain=own_domain,
            ),
            connections=connections,
            prober=prober,
            predictor=predictor,
            budget=probe_budget,
            clock=clock,
        ),
        connections=connections,
        predictor=predictor,
        quota=limits.quota,
        clock=clock,
        random_source=random_source,
    )
    gateway_state.absence_listeners.append(scheduler.handle_absence)
    sender = sending.Sender(
        table=gateway_state.targets,
        scheduler=scheduler,
        connections=connections,
        protocol=protocol,
        predictor=predictor,
        limits=limits.reader,
        leaving=leaving_reader.LeavingReader(
            protocol=protocol,
            marks=gateway_state.registry.leaving,
            clock=clock,
        ),
        quota=limits.quota,
        counts=counts,
        clock=clock,
    )
    repeat_limiter = repeats.RepeatLimiter(
        gateway_state=gateway_state, clock=clock
    )
    return forwarding.Forwarder(
        gateway_state=gateway_state,
        scheduler=scheduler,
        sender=sender,
        hedges=hedger.Hedger(
            scheduler=scheduler,
            sender=sender,
            repeats=repeat_limiter,
            predictor=predictor,
            counts=counts,
            clock=clock,
        ),
        repeat_limiter=repeat_limiter,
        protocol=protocol,
        predictor=predictor,
        counts=counts,
        clock=clock,
        random_source=random_source,
    )
