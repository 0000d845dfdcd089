import logging

from absl import logging as absl_logging

from features.support import fleet_text
from trefoilstand.client import entry_client
from trefoilstand.standins import fleet
from trefoilstand.telemetry import events

_TARGET_NETWORK_PREFIX = "127.41"


def before_all(context):
    events.configure_logging()
    absl_logging.set_verbosity(logging.CRITICAL)


def before_feature(context, feature):
    if "fleet" not in feature.tags:
        return
    context.fleet_text = fleet_text.make_text(_TARGET_NETWORK_PREFIX)
    test_fleet = fleet.Fleet(
        plan=fleet.FleetPlan(
            text=context.fleet_text,
            network="127.40",
            settings="read_timeout_s = 2\nwatch_wait_s = 5.0\n",
        )
    )
    context.fleet = test_fleet.__enter__()


def before_scenario(context, scenario):
    if "fleet" not in scenario.feature.tags:
        return
    context.calls = []
    context.client = entry_client.EntryClient(
        seeds=tuple(entry.caller_address for entry in context.fleet.entries)
    )


def after_scenario(context, scenario):
    if "fleet" in scenario.feature.tags:
        context.fleet.restore()


def after_feature(context, feature):
    if "fleet" in feature.tags:
        context.fleet.stop()
