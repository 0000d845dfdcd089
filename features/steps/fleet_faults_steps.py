import pathlib

from behave import then
from behave import when

from trefoilstand.decision import models as decision_models
from trefoilstand.experiments import faults


@when(
    "faults of seed {seed:d} are injected into {hosts:d} entry hosts of "
    '"{name}" for {seconds:d} seconds'
)
def run_faults(context, seed, hosts, name, seconds):
    path = pathlib.Path("examples") / f"{name}.toml"
    context.verdict = faults.run(
        text=path.read_text(encoding="utf-8"),
        entry_hosts=hosts,
        seconds=seconds,
        seed=seed,
    )


@then("the verdict of the run is good")
def check_verdict(context):
    assert context.verdict.is_good, context.verdict
    assert context.verdict.calls[decision_models.Outcome.ANSWERED] > 100
