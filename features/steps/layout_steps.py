import pathlib
import re
import subprocess
import sys

from behave import given
from behave import then

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_NAMES = re.compile(
    r"server-stamp|target-instance|not-executed|server-load|warmup-left"
    r"|traffic-split|route-type|max-attempts|op/config|servers/|kv-range"
    r"|api/re(solve|adiness)",
    re.IGNORECASE,
)


@given("the source files outside of the platform's folder")
def source_files(context):
    package = _ROOT / "trefoilstand"
    context.files = [
        path
        for path in package.rglob("*.py")
        if path.relative_to(package).parts[0] not in ("platform", "standins")
    ]
    assert len(context.files) > 100


@then("none holds a name of the platform's wire")
def no_names(context):
    found = [
        f"{path.name}: {match[0]}"
        for path in context.files
        if (match := _NAMES.search(path.read_text(encoding="utf-8")))
    ]
    assert not found, found


@given("the modules that the deployed daemon loads")
def loaded_modules(context):
    program = (
        "import sys, trefoilstand.platform.daemon, trefoilstand.fleet.sync;"
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


@then("each comes from the project, the language or the lock file")
def known_modules(context):
    lock = (_ROOT / "deploy" / "requirements.lock").read_text()
    locked = {
        name.lower().replace("-", "_")
        for name in re.findall(r"^([A-Za-z0-9_.-]+)==", lock, re.M)
    }
    renamed = {"absl": "absl_py", "google": "protobuf"}
    renamed |= {
        "cython_runtime": "uvloop",
        "pythonjsonlogger": "python_json_logger",
        "quantile": "quantile_python",
    }
    unknown = [
        name
        for name in context.modules
        if name not in sys.stdlib_module_names
        and not name.startswith(("_", "trefoilstand", "sitecustomize"))
        and renamed.get(name, name).lower() not in locked
    ]
    assert not unknown, unknown
