"""Run all checks and tests and close with one line of counts."""

import dataclasses
import json
import pathlib
import re
import subprocess
import sys
import tempfile
import typing

_ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED: typing.Final = _ROOT / "KNOWN-RED.txt"
_RED_PATTERN: typing.Final = re.compile(r"^scenario: (?P<name>.+)$", re.M)
_CHECKS: typing.Final = {
    "ruff format": ("-m", "ruff", "format", "--check", "."),
    "ruff check": ("-m", "ruff", "check", "."),
    "mypy": ("-m", "mypy"),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """Hold the result of one check or scenario."""

    name: str
    is_passed: bool
    detail: str = ""


def run_tool(name: str, arguments: tuple[str, ...]) -> Verdict:
    """Run one tool of the virtual environment."""
    result = subprocess.run(
        [sys.executable, *arguments],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return Verdict(
        name=name,
        is_passed=result.returncode == 0,
        detail=result.stdout + result.stderr,
    )


def check_generated_code() -> Verdict:
    """Compare the committed code of the protocol with its source."""
    with tempfile.TemporaryDirectory() as folder:
        result = subprocess.run(
            [_ROOT / "script" / "generate", folder],
            capture_output=True,
            text=True,
            check=False,
        )
        differing = [
            str(path.relative_to(folder))
            for path in pathlib.Path(folder).rglob("*.py*")
            if path.read_bytes()
            != (_ROOT / path.relative_to(folder)).read_bytes()
        ]
    is_passed = result.returncode == 0 and not differing
    return Verdict(
        name="generated code",
        is_passed=is_passed,
        detail=result.stderr + " ".join(differing),
    )


def run_scenarios(selected: list[str]) -> list[Verdict]:
    """Run behave and return one verdict for each scenario."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        result = subprocess.run(
            [
                sys.executable,
                "-m",
                "behave",
                "--format=json",
                f"--outfile={report}",
                "--format=progress",
                *selected,
            ],
            cwd=_ROOT,
            check=False,
        )
        try:
            features = json.loads(report.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            return [Verdict(name="behave", is_passed=False, detail=str(error))]
    verdicts = [
        _read_scenario(feature, element)
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    if result.returncode and all(item.is_passed for item in verdicts):
        # An error outside of scenarios must not go unnoticed.
        verdicts.append(Verdict(name="behave", is_passed=False))
    return verdicts


def _read_scenario(
    feature: dict[str, typing.Any], element: dict[str, typing.Any]
) -> Verdict:
    messages = [
        _read_message(step["result"].get("error_message", ""))
        for step in element["steps"]
        if step.get("result", {}).get("status") not in ("passed", "skipped")
        and "result" in step
    ]
    return Verdict(
        name=f"{feature['name']} / {element['name']}".strip(),
        is_passed=element.get("status") == "passed",
        detail="\n".join(messages),
    )


def _read_message(message: str | list[str]) -> str:
    """Return the message of a step, which the reporter may split."""
    return message if isinstance(message, str) else "\n".join(message)


def main() -> int:
    """Run everything and return the exit code."""
    verdicts = [run_tool(name, parts) for name, parts in _CHECKS.items()]
    verdicts.append(check_generated_code())
    verdicts.extend(run_scenarios(sys.argv[1:]))
    known_red: set[str] = set()
    if _KNOWN_RED.exists():
        text = _KNOWN_RED.read_text(encoding="utf-8")
        known_red = {
            match.group("name") for match in _RED_PATTERN.finditer(text)
        }
    failed = 0
    skipped = 0
    for verdict in verdicts:
        if verdict.is_passed:
            continue
        if verdict.name in known_red:
            skipped += 1
            print(f"KNOWN RED {verdict.name}")
            continue
        failed += 1
        print(f"FAILED {verdict.name}\n{verdict.detail[-3000:]}")
    passed = len(verdicts) - failed - skipped
    tail = f", {skipped} skipped" if skipped else ""
    print(f"{passed} passed, {failed} failed{tail}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
