"""Runs each feature in a behave process of its own and closes with the count of scenarios.

The last line is ``N passed, N failed``. Scenarios listed in KNOWN-RED.txt that fail are printed
and passed over; a feature whose process crashes, or runs no scenario, counts as failed.
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import click
from behave.formatter.base import Formatter

ROOT = Path(__file__).resolve().parent.parent
AT_ONCE = 4
MAX_KNOWN_RED = 12
# Features whose entries don't count towards the bound, as the developers' board says.
UNCOUNTED = ("crowds",)
FEATURE_TIMEOUT_S = 900.0
LONG_FEATURE_TIMEOUT_S = 3 * 3600.0
# Sets of names are walked in an order that follows the hash seed: with a seed of its own in each
# run, the drawn histories differ although hypothesis' own seed is fixed, and so does the verdict.
HASH_SEED = {"PYTHONHASHSEED": "0"}
# The tag of a feature that measures what others beside it would disturb.
ALONE = "@alone"
CRASHED = "(the whole feature)"


class ScenarioResult(NamedTuple):
    """How one scenario ended; ``feature`` is the file's stem."""

    feature: str
    scenario: str
    passed: bool
    status: str


class FeatureResult(NamedTuple):
    """How one feature's process ended, with all it printed."""

    feature: str
    scenarios: list[ScenarioResult]
    output: str
    took_s: float

    def failures(self) -> list[ScenarioResult]:
        """The scenarios that didn't pass."""
        return [s for s in self.scenarios if not s.passed]


class KnownRed(NamedTuple):
    """One line of KNOWN-RED.txt: a scenario that is known to fail."""

    feature: str
    scenario: str
    cause: str
    issue: str


class Outcomes(Formatter):
    """A behave formatter that writes one line of JSON when a scenario has ended.

    Lines are written one by one, so that those before a crash are kept.
    """

    name = "outcomes"
    description = "One line of JSON a scenario"

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.stream = self.open()
        self._scenario: Any = None

    def scenario(self, scenario: Any) -> None:
        """Note that the scenario before has ended."""
        self._write()
        self._scenario = scenario

    def eof(self) -> None:
        """Note that the feature has ended."""
        self._write()

    def _write(self) -> None:
        if self._scenario is None:
            return
        line = {"scenario": self._scenario.name.strip(), "status": self._scenario.status.name}
        self.stream.write(json.dumps(line) + "\n")
        self.stream.flush()
        self._scenario = None


def read_known_red(path: Path) -> list[KnownRed]:
    """Read the list of scenarios that are known to fail.

    :param path: the file, which may be absent.
    :raises ValueError: a line is malformed, or there are too many.
    """
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines()]
    entries = [_known_red(line) for line in lines if line and not line.startswith("#")]
    counted = [entry for entry in entries if entry.feature not in UNCOUNTED]
    if len(counted) > MAX_KNOWN_RED:
        raise ValueError(f"{path.name} lists {len(counted)} scenarios, more than {MAX_KNOWN_RED}")
    return entries


def _known_red(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split("|")]
    feature, colon, scenario = parts[0].partition(":")
    if len(parts) != 3 or not colon or not all(parts):
        raise ValueError(f"KNOWN-RED.txt: not 'feature: scenario | cause | issue': {line}")
    return KnownRed(feature.strip(), scenario.strip(), parts[1], parts[2])


async def run_feature(root: Path, path: Path, *, timeout_s: float) -> FeatureResult:
    """Run one feature in a process of its own.

    :param root: the folder that holds ``features``.
    :param path: the feature's file.
    :param timeout_s: seconds after which the process is killed and counts as failed.
    """
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="mustardgap-test-") as folder:
        outcomes = Path(folder) / "outcomes"
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "behave", "--no-color", "--no-snippets", "--no-source"),
            *("--format", "tools.testing:Outcomes", "--outfile", str(outcomes)),
            *("--format", "plain", str(path.relative_to(root))),
            cwd=root,
            env={**HASH_SEED, **os.environ, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            start_new_session=True,
        )
        output, why = await _wait(process, timeout_s)
        lines = outcomes.read_text(encoding="utf-8").splitlines() if outcomes.exists() else []
    scenarios = [_scenario_result(path.stem, line) for line in lines]
    scenarios += _process_failures(path.stem, scenarios, why)
    return FeatureResult(path.stem, scenarios, output, time.monotonic() - started)


async def _wait(process: asyncio.subprocess.Process, timeout_s: float) -> tuple[str, str]:
    """Wait for the process; returns its output and how it ended."""
    reader = asyncio.create_task(process.communicate())
    try:
        done, _ = await asyncio.wait({reader}, timeout=timeout_s)
    finally:
        if process.returncode is None:
            # With its group, or the processes that its scenario started would stay behind.
            os.killpg(process.pid, signal.SIGKILL)
    output, _ = await reader
    why = f"exit status {process.returncode}" if done else f"no end within {timeout_s:.0f} s"
    return output.decode("utf-8", errors="replace"), why if process.returncode else ""


def _scenario_result(feature: str, line: str) -> ScenarioResult:
    value = json.loads(line)
    return ScenarioResult(feature, value["scenario"], value["status"] == "passed", value["status"])


def _process_failures(
    feature: str, scenarios: list[ScenarioResult], why: str
) -> list[ScenarioResult]:
    # A crash, a broken hook or an import error fails the process without failing a scenario, and
    # a signal may hit after some failed. Each is one failure more, so that it is never missed.
    if not scenarios:
        return [ScenarioResult(feature, CRASHED, False, why or "it ran no scenario")]
    if why and (all(s.passed for s in scenarios) or why != "exit status 1"):
        return [ScenarioResult(feature, CRASHED, False, why)]
    return []


async def run_all(root: Path, paths: Iterable[Path], *, timeout_s: float) -> list[FeatureResult]:
    """Run features, a few at once and then those that run alone, and print each as it ends."""
    places = asyncio.Semaphore(AT_ONCE)

    async def run_beside_others(path: Path) -> FeatureResult:
        async with places:
            return await run(path)

    async def run(path: Path) -> FeatureResult:
        result = await run_feature(root, path, timeout_s=timeout_s)
        failed = len(result.failures())
        passed = len(result.scenarios) - failed
        click.echo(f"{path.name}: {passed} passed, {failed} failed ({result.took_s:.1f} s)")
        return result

    alone = [path for path in paths if runs_alone(path)]
    others = [path for path in paths if path not in alone]
    results = list(await asyncio.gather(*map(run_beside_others, others)))
    return results + [await run(path) for path in alone]


def runs_alone(path: Path) -> bool:
    """Whether a feature is to run while no other does; its first line says so."""
    with path.open(encoding="utf-8") as lines:
        return ALONE in lines.readline().split()


def report(results: list[FeatureResult], known: list[KnownRed]) -> tuple[int, int]:
    """Print failures and what is known to fail.

    :return: the scenarios that passed and those that failed and weren't known to.
    """
    scenarios = [s for result in results for s in result.scenarios]
    known_by_name = {(entry.feature, entry.scenario): entry for entry in known}
    failed = [s for s in scenarios if not s.passed and (s.feature, s.scenario) not in known_by_name]
    for result in results:
        if any(s in failed for s in result.scenarios):
            click.echo(f"\n=== {result.feature} ===\n{result.output}")
    for scenario in failed:
        click.echo(f"FAILED {scenario.feature}: {scenario.scenario} ({scenario.status})")
    for entry in known:
        click.echo(_describe_known(entry, scenarios))
    return sum(s.passed for s in scenarios), len(failed)


def _describe_known(entry: KnownRed, scenarios: list[ScenarioResult]) -> str:
    name = f"{entry.feature}: {entry.scenario}"
    found = [s for s in scenarios if (s.feature, s.scenario) == (entry.feature, entry.scenario)]
    if not found:
        return f"KNOWN RED, NOT RUN {name}"
    if all(s.passed for s in found):
        return f"KNOWN RED, BUT PASSED {name}: take it off KNOWN-RED.txt"
    return f"KNOWN RED {name}: {entry.cause} ({entry.issue})"


@click.command()
@click.argument("features", nargs=-1, type=click.Path(exists=True))
@click.option("--long", "is_long", is_flag=True, help="Fuzz for longer (MUSTARDGAP_LONG=1).")
@click.option("--root", default=str(ROOT), hidden=True)
def main(features: tuple[str, ...], is_long: bool, root: str) -> None:
    """Run the FEATURES named, or all of them."""
    timeout_s = LONG_FEATURE_TIMEOUT_S if is_long else FEATURE_TIMEOUT_S
    if is_long:
        os.environ["MUSTARDGAP_LONG"] = "1"
    folder = Path(root).resolve()
    paths = [Path(path).resolve() for path in features]
    paths = paths or sorted((folder / "features").glob("*.feature"))
    try:
        known = read_known_red(folder / "KNOWN-RED.txt")
    except ValueError as exc:
        click.echo(f"{exc}\n0 passed, 1 failed")
        sys.exit(1)
    results = asyncio.run(run_all(folder, paths, timeout_s=timeout_s))
    passed, failed = report(results, known)
    click.echo(f"{passed} passed, {failed} failed")
    sys.exit(0 if passed and not failed else 1)


if __name__ == "__main__":
    main()
