"""Run all checks and tests and print one summary line at the end."""

import dataclasses
import json
import pathlib
import re
import subprocess
import sys
import tempfile
import typing

_REPOSITORY: typing.Final = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED_PATH: typing.Final = _REPOSITORY / "KNOWN-RED.txt"
_KNOWN_RED_PATTERN: typing.Final = re.compile(
    r"^scenario: (?P<name>.+)$", re.M
)
_CHECKS: typing.Final = {
    "ruff format": ("-m", "ruff", "format", "--check", "."),
    "ruff check": ("-m", "ruff", "check", "."),
    "mypy": ("-m", "mypy"),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckResult:
    """Hold the result of one check or scenario.

    :param name: name of the check, or "feature / scenario".
    :param is_passed: True if it passed.
    :param detail: output or error messages of a failure.
    """

    name: str
    is_passed: bool
    detail: str = ""


def run_tool(name: str, arguments: tuple[str, ...]) -> CheckResult:
    """Run one Python tool of the virtual environment.

    :param name: name of the check.
    :param arguments: arguments of the Python interpreter.
    """
    process = subprocess.run(
        [sys.executable, *arguments],
        cwd=_REPOSITORY,
        capture_output=True,
        text=True,
        check=False,
    )
    return CheckResult(
        name=name,
        is_passed=process.returncode == 0,
        detail=process.stdout + process.stderr,
    )


def check_generated_code() -> CheckResult:
    """Check that the committed protocol code matches its source."""
    with tempfile.TemporaryDirectory() as directory:
        process = subprocess.run(
            [_REPOSITORY / "script" / "generate", directory],
            capture_output=True,
            text=True,
            check=False,
        )
        differing = [
            str(path.relative_to(directory))
            for path in pathlib.Path(directory).rglob("*.py*")
            if path.read_bytes()
            != (_REPOSITORY / path.relative_to(directory)).read_bytes()
        ]
    is_passed = process.returncode == 0 and not differing
    return CheckResult(
        name="generated code",
        is_passed=is_passed,
        detail=process.stderr + " ".join(differing),
    )


def run_scenarios(selected: list[str]) -> list[CheckResult]:
    """Run behave and return one result for each scenario.

    :param selected: feature files or directories, empty for all.
    """
    with tempfile.TemporaryDirectory() as directory:
        report_path = pathlib.Path(directory) / "report.json"
        process = subprocess.run(
            [
                sys.executable,
                "-m",
                "behave",
                "--format=json",
                f"--outfile={report_path}",
                "--format=progress",
                *selected,
            ],
            cwd=_REPOSITORY,
            check=False,
        )
        try:
            features = json.loads(report_path.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            return [
                CheckResult(name="behave", is_passed=False, detail=str(error))
            ]
    results = [
        _read_scenario(feature, element)
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    if process.returncode and all(item.is_passed for item in results):
        # Reports an error outside of scenarios, for example in a hook.
        results.append(CheckResult(name="behave", is_passed=False))
    return results


def _read_scenario(
    feature: dict[str, typing.Any], element: dict[str, typing.Any]
) -> CheckResult:
    messages = [
        _read_message(step["result"].get("error_message", ""))
        for step in element["steps"]
        if step.get("result", {}).get("status") not in ("passed", "skipped")
        and "result" in step
    ]
    return CheckResult(
        name=f"{feature['name']} / {element['name']}".strip(),
        is_passed=element.get("status") == "passed",
        detail="\n".join(messages),
    )


def _read_message(message: str | list[str]) -> str:
    """Return the error message of a step.

    The JSON formatter of behave may write it as a list of lines.
    """
    return message if isinstance(message, str) else "\n".join(message)


def main() -> int:
    """Run all checks and tests and return the exit code."""
    results = [
        run_tool(name, arguments) for name, arguments in _CHECKS.items()
    ]
    results.append(check_generated_code())
    results.extend(run_scenarios(sys.argv[1:]))
    known_red: set[str] = set()
    if _KNOWN_RED_PATH.exists():
        text = _KNOWN_RED_PATH.read_text(encoding="utf-8")
        known_red = {
            match.group("name") for match in _KNOWN_RED_PATTERN.finditer(text)
        }
    failed = 0
    skipped = 0
    for result in results:
        if result.is_passed:
            continue
        if result.name in known_red:
            skipped += 1
            print(f"KNOWN RED {result.name}")
            continue
        failed += 1
        print(f"FAILED {result.name}\n{result.detail[-3000:]}")
    passed = len(results) - failed - skipped
    skipped_text = f", {skipped} skipped" if skipped else ""
    print(f"{passed} passed, {failed} failed{skipped_text}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
