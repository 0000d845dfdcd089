"""Wire the parts that carry a request."""

import random

from trefoilstand.gateway import dialect as dialects
from trefoilstand.gateway import forwarding
from trefoilstand.gateway import placing
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import probing
from trefoilstand.gateway import scout
from trefoilstand.gateway import sending
from trefoilstand.gateway import state
from trefoilstand.telemetry import tally
from trefoilstand.util import clock as clocks
from trefoilstand.util import token_bucket


def build_forwarder(
    *,
    current: state.GatewayState,
    links: pool.LinkSource,
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
    :param links: connections to targets.
    :param prober: asks single targets.
    :param probe_budget: probes that this host may send.
    :param predictor: expected times.
    :param dialect: names on the wire.
    :param counts: counters of the process.
    :param clock: source of the time.
    :param random_source: breaks ties and spreads retries.
    :param own_domain: failure domain of this host.
    """
    placer = placing.Placer(
        table=current.targets,
        finder=scout.Scout(
            table=current.targets,
            links=links,
            prober=prober,
            predictor=predictor,
            budget=probe_budget,
            clock=clock,
            random_source=random_source,
            own_domain=own_domain,
        ),
        links=links,
        predictor=predictor,
        clock=clock,
        random_source=random_source,
    )
    return forwarding.Forwarder(
        current=current,
        placer=placer,
        sender=sending.Sender(
            table=current.targets,
            placer=placer,
            links=links,
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
