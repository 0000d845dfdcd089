import logging

from absl import logging as absl_logging

from trefoilstand.telemetry import events


def before_all(context):
    events.set_up()
    absl_logging.set_verbosity(logging.CRITICAL)
