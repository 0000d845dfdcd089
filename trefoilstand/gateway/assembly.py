"""Wire the parts that carry a request."""

import random

from trefoilstand.gateway import dialect as dialects
from trefoilstand.gateway import forwarding
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import probing
from trefoilstand.gateway import scheduling
from trefoilstand.gateway import sending
from trefoilstand.gateway import state
from trefoilstand.gateway import target_selection
from trefoilstand.telemetry import tally
from trefoilstand.util import clock as clocks
from trefoilstand.util import token_bucket


def build_forwarder(
    *,
    current: state.GatewayState,
    connections: pool.ConnectionSource,
    prober: probing.TargetProber,
    probe_budget: token_bucket.TokenBucket,
    predictor: prediction.Predictor,
    dialect: dialects.Dialect,
    counts: tally.Tally,
    clock: clocks.Clock,
    random_source: random.Random,
    own_domain: str,
) -> forwarding.Forwarder:
    """Return the forwarder of one entry host.

    :param current: configuration and targets in force.
    :param connections: connections to targets.
    :param prober: asks single targets.
    :param probe_budget: probes that this host may send.
    :param predictor: expected times.
    :param dialect: names on the wire.
    :param counts: counters of the process.
    :param clock: source of the time.
    :param random_source: breaks ties and spreads retries.
    :param own_domain: failure domain of this host.
    """
    scheduler = scheduling.RequestScheduler(
        table=current.targets,
        selector=target_selection.TargetSelector(
            table=current.targets,
            connections=connections,
            prober=prober,
            predictor=predictor,
            budget=probe_budget,
            clock=clock,
            random_source=random_source,
            own_domain=own_domain,
        ),
        connections=connections,
        predictor=predictor,
        clock=clock,
        random_source=random_source,
    )
    return forwarding.Forwarder(
        current=current,
        scheduler=scheduler,
        sender=sending.Sender(
            table=current.targets,
            scheduler=scheduler,
            connections=connections,
            dialect=dialect,
            predictor=predictor,
            counts=counts,
            clock=clock,
        ),
        dialect=dialect,
        predictor=predictor,
        counts=counts,
        clock=clock,
        random_source=random_source,
    )
