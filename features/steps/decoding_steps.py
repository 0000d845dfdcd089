import json
import random

from behave import given
from behave import then
from behave import when

from features.support import scripted_http
from trefoilstand.fleet import codec
from trefoilstand.fleet import rate_limits
from trefoilstand.gateway import limit_reader
from trefoilstand.gateway import targets
from trefoilstand.http import models
from trefoilstand.peers import peer_pb2
from trefoilstand.platform import decoder
from trefoilstand.platform import settings as platform_settings
from trefoilstand.platform import target_protocol
from trefoilstand.telemetry import metric_store


@given("a configuration with a route of type {route_type}")
def configuration_with_route(context, route_type):
    document = {
        "version": "r3",
        "routes": {
            "r": {
                "host": "app.example",
                "prefix": "/q/",
                "route-type": route_type,
                "service": "quotes",
                "timeout": "500ms",
            }
        },
        "services": {"quotes": {}},
    }
    context.configuration = decoder.StoreDecoder().decode_configuration(
        json.dumps(document).encode()
    )


@then("its requests {may} run more than once")
def check_idempotent(context, may):
    route = context.configuration.routes["r"]
    assert route.is_idempotent == (may == "may")


_NEXT_RESPONSE_S = 2.0


@given("a target that stated a limit of 4 requests a second")
def state_limit(context):
    context.limits = rate_limits.RateLimitTable(random_source=random.Random(1))
    context.reader = limit_reader.LimitReader(
        protocol=target_protocol.PlatformTargetProtocol(),
        limits=context.limits,
        counts=metric_store.MetricStore(),
        on_new_limit=lambda: None,
    )
    target = scripted_http.ScriptedTarget(target_id="t", behaviour="whole")
    target.port = 1
    context.target = targets.Target(record=target.record(), now_s=0.0)
    _read_response(context, [(b"server-limit", b"4")], 0.0)


def _read_response(context, fields, now_s):
    context.reader.read_response(
        context.target,
        models.Response(status=200, fields=fields, body=b""),
        now_s,
        is_request=True,
    )


@when("its next response states {value}")
def read_next_response(context, value):
    fields = []
    if value == "an empty one":
        fields = [(b"server-limit", b"")]
    elif value != "no limit":
        fields = [(b"server-limit", value.encode())]
    _read_response(context, fields, _NEXT_RESPONSE_S)


@when("a host reports a limit of {value}")
def apply_report(context, value):
    report = peer_pb2.TargetLimit(
        target_id="t", incarnation=1, requests_per_s=float(value), age_ms=0
    )
    observation = codec.decode_limit(report, _NEXT_RESPONSE_S)
    if observation is not None:
        context.limits.record(
            observation, now_s=_NEXT_RESPONSE_S, source="host"
        )


@then("its limit is {limit}")
def check_limit(context, limit):
    observation = context.limits.find("t", 1, _NEXT_RESPONSE_S)
    if limit == "none":
        assert observation is None, observation
    else:
        assert observation.requests_per_s == float(limit), observation


@given("settings of the platform whose heartbeat is {heartbeat}")
def settings_with_heartbeat(context, heartbeat):
    endpoint = "10.0.0.1:8640"
    context.settings = platform_settings.parse_settings(
        json.dumps(
            {
                "node": "front-1",
                "zone": "a",
                "ip": "10.0.0.1",
                "listen": {"front": endpoint, "ready": endpoint},
                "internal-ports": [7620, 7635],
                "bounds": [],
                "platform": {"address": "10.0.0.9:8642"},
                "heartbeat": json.loads(heartbeat),
            }
        )
    )


@then("entries are expected to be renewed every {seconds:g} s")
def check_heartbeat(context, seconds):
    assert context.settings.entry_heartbeat_s == seconds
