import ast
import pathlib
import re
import subprocess
import sys

from behave import given
from behave import then

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_PROTOCOL_NAMES = re.compile(
    r"server-stamp|target-instance|not-executed|server-load|warmup-left"
    r"|traffic-split|route-type|max-attempts|op/config|servers/|kv-range"
    r"|api/re(solve|adiness)|store-era",
    re.IGNORECASE,
)


@given("the source files outside of the platform's folder")
def collect_source_files(context):
    package = _ROOT / "trefoilstand"
    context.files = [
        path
        for path in package.rglob("*.py")
        if path.relative_to(package).parts[0] not in ("platform", "standins")
    ]
    assert len(context.files) > 100


@then("none contains a name of the platform's protocol")
def check_no_protocol_names(context):
    matches = [
        f"{path.name}: {match[0]}"
        for path in context.files
        if (match := _PROTOCOL_NAMES.search(path.read_text(encoding="utf-8")))
    ]
    assert not matches, matches


@given("the modules that the deployed daemon loads")
def load_daemon_modules(context):
    program = (
        "import sys, trefoilstand.platform.runner, trefoilstand.fleet.sync;"
        "import trefoilstand.fleet.heartbeat;"
        "from trefoilstand.telemetry import events;"
        "events.import_libraries();"
        "import aioprometheus.renderer;"
        "print(*sorted({n.partition('.')[0] for n in sys.modules}))"
    )
    result = subprocess.run(
        [sys.executable, "-c", program],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    context.modules = set(result.stdout.split())


@then("each comes from the project, the standard library or the lock file")
def check_modules_known(context):
    lock = (_ROOT / "deploy" / "requirements.lock").read_text()
    locked_packages = {
        name.lower().replace("-", "_")
        for name in re.findall(r"^([A-Za-z0-9_.-]+)==", lock, re.M)
    }
    package_names = {"absl": "absl_py", "google": "protobuf"}
    package_names |= {
        "cython_runtime": "uvloop",
        "pythonjsonlogger": "python_json_logger",
        "quantile": "quantile_python",
    }
    unknown_modules = [
        name
        for name in context.modules
        if name not in sys.stdlib_module_names
        and not name.startswith(("_", "trefoilstand", "sitecustomize"))
        and package_names.get(name, name).lower() not in locked_packages
    ]
    assert not unknown_modules, unknown_modules


#: Functions of the standard library that read the time of day.
_TIME_OF_DAY = {"time", "time_ns", "localtime", "gmtime", "now", "utcnow"}
#: Places that may read it: the time in log lines, the start of a process as
#: its incarnation, and experiments.
_TIME_OF_DAY_PLACES = {
    "telemetry/events.py": 1,
    "gateway/replication.py": 1,
    "assembly.py": 1,
}


@then("only log lines and incarnations read the time of day")
def check_time_of_day(context):
    package = _ROOT / "trefoilstand"
    found = {}
    for path in context.files:
        name = str(path.relative_to(package))
        if name.startswith("experiments/"):
            continue
        calls = [
            node
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
            if isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and node.func.attr in _TIME_OF_DAY
            and isinstance(node.func.value, ast.Name)
            and node.func.value.id in ("time", "datetime", "date")
        ]
        if calls:
            found[name] = len(calls)
    assert found == _TIME_OF_DAY_PLACES, found
