"""Fuzzes the whole system: real processes under load, and faults drawn from a seed.

Each run starts a platform, two executors processes and four daemons, carries out a schedule of
faults and operators' actions, heals everything, and judges what callers and operators were told
by the stand-ins' own record.

Hypothesis draws other steps for the same seed when the code's constants have changed, so results
and failed runs keep their steps, to be run again with ``--steps``.
"""

import json
import shutil
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import click

from . import fuzz_schedules
from .fuzz_checks import PROMISES
from .fuzz_runs import Run
from .fuzz_schedules import Step
from .oracle import Fault
from .processes import ROOT, Processes

RESULTS = ROOT / "results" / "fuzz.json"
SETTING_UP = "not serving"
STEPS_FILE = "steps.json"


class Verdict(NamedTuple):
    """How one run ended."""

    seed: int
    schedule: list[Step]
    requests: int
    by_outcome: Counter[str]
    by_code: Counter[str]
    runs: int
    faults: list[Fault]
    notes: list[str]
    folder: str

    def of(self, promise: str) -> int:
        """How many breaches of one promise."""
        return sum(fault.promise == promise for fault in self.faults)


def fuzz(
    seed: int, schedule: list[Step], *, seconds: float, rate: float, keep: bool = False
) -> Verdict:
    """Carry out one schedule on a system of its own.

    :param seed: the seed of the load and of the stand-ins' draws.
    :param schedule: the steps.
    :param seconds: how long faults strike.
    :param rate: requests a second.
    :param keep: whether the processes' output is kept also when nothing was broken.
    """
    folder = tempfile.mkdtemp(prefix=f"mustardgap-fuzz-{seed}-")
    processes = Processes(folder=folder)
    run = Run(processes=processes, seed=seed)
    try:
        run.carry_out(schedule, seconds=seconds, rate=rate)
    except (RuntimeError, TimeoutError, OSError) as exc:
        run.faults.append(Fault(SETTING_UP, "system", f"{type(exc).__name__}: {exc}"))
    finally:
        processes.stop_all()
    if run.faults or keep:
        steps = json.dumps(fuzz_schedules.encode(schedule))
        (processes.folder / STEPS_FILE).write_text(steps, encoding="utf-8")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return Verdict(
        seed=seed,
        schedule=schedule,
        requests=len(run.told),
        by_outcome=Counter(one.outcome for one in run.told),
        by_code=Counter(f"MG{one.code}" for one in run.told if one.code >= 0),
        runs=run.runs,
        faults=run.faults,
        notes=run.world.notes,
        folder=folder,
    )


def lines(verdict: Verdict) -> list[str]:
    """A line for the outcomes, one a promise, and the breaches."""
    outcomes = ", ".join(f"{n} {outcome}" for outcome, n in sorted(verdict.by_outcome.items()))
    found = [
        f"seed {verdict.seed}: {verdict.requests} requests ({outcomes}), {verdict.runs} runs, "
        f"{len(verdict.schedule)} steps",
        "  " + ", ".join(f"{n} {code}" for code, n in sorted(verdict.by_code.items())),
    ]
    found += [f"  {promise}: {verdict.of(promise)}" for promise in PROMISES]
    found += [f"    {f.promise}: {f.name}: {f.detail}" for f in verdict.faults[:30]]
    if verdict.faults:
        found.append(f"  logs, and {STEPS_FILE} for --steps, are in {verdict.folder}")
    return found


def shrink(verdict: Verdict, *, seconds: float, rate: float) -> list[Step]:
    """Leave out steps, halves first, while the same promises are broken.

    :return: the steps without which it isn't broken, as far as runs that differ allow it.
    """
    schedule, size = verdict.schedule, len(verdict.schedule) // 2
    wanted = {fault.promise for fault in verdict.faults}
    while size:
        for first in range(0, len(schedule), size):
            fewer = schedule[:first] + schedule[first + size :]
            tried = fuzz(verdict.seed, fewer, seconds=seconds, rate=rate)
            if wanted & {fault.promise for fault in tried.faults}:
                schedule = fewer
                break
        else:
            size //= 2
    return schedule


def _as_json(verdict: Verdict) -> dict[str, Any]:
    return {
        "seed": verdict.seed,
        "schedule": fuzz_schedules.encode(verdict.schedule),
        "requests": verdict.requests,
        "by_outcome": dict(verdict.by_outcome),
        "by_code": dict(verdict.by_code),
        "runs": verdict.runs,
        "breaches": {p: verdict.of(p) for p in PROMISES if verdict.of(p)},
        "faults": [list(fault) for fault in verdict.faults[:30]],
    }


def write_results(verdicts: list[Verdict], path: Path, **facts: Any) -> None:
    """Write seeds and counts as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    value = {
        **facts,
        "requests": sum(v.requests for v in verdicts),
        "steps": sum(len(v.schedule) for v in verdicts),
        "promises": {p: sum(v.of(p) for v in verdicts) for p in PROMISES},
        "runs": [_as_json(v) for v in verdicts],
    }
    path.write_text(json.dumps(value, indent=1) + "\n", encoding="utf-8")


def _chosen(seed: int, seconds: float, only: str, steps_file: str) -> list[Step]:
    if steps_file:
        found = json.loads(Path(steps_file).read_text(encoding="utf-8"))
        schedule = sorted(fuzz_schedules.decode(found))
    else:
        schedule = fuzz_schedules.draw(seed, seconds)
    return fuzz_schedules.pick(schedule, map(int, only.split(","))) if only else schedule


@click.command()
@click.option("--seed", default=1, show_default=True, help="The (first) seed.")
@click.option("--seconds", default=20.0, show_default=True, help="How long faults strike a run.")
@click.option("--rate", default=120.0, show_default=True, help="Requests a second.")
@click.option("--requests", default=0, help="Go on with further seeds until so many were judged.")
@click.option("--only", default="", help="Carry out only the steps of these numbers: 0,3,7.")
@click.option("--steps", "steps_file", default="", help="Take the steps from a file of JSON.")
@click.option("--shrink", "is_shrinking", is_flag=True, help="Leave out steps that aren't needed.")
@click.option("--keep", is_flag=True, help="Keep the processes' output.")
@click.option("--out", default=str(RESULTS), help="Where --requests writes its results.")
def main(
    seed: int,
    seconds: float,
    rate: float,
    requests: int,
    only: str,
    steps_file: str,
    is_shrinking: bool,
    keep: bool,
    out: str,
) -> None:
    """Fuzz the whole system on loopback; the status is 0 when every promise was kept."""
    # Without this a SIGTERM would end the fuzz at once and leave its processes behind.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    verdicts: list[Verdict] = []
    while not verdicts or sum(v.requests for v in verdicts) < requests:
        schedule = _chosen(seed + len(verdicts), seconds, only, steps_file)
        click.echo("\n".join(fuzz_schedules.lines(schedule)))
        verdict = fuzz(seed + len(verdicts), schedule, seconds=seconds, rate=rate, keep=keep)
        verdicts.append(verdict)
        if keep or verdict.faults:
            click.echo("\n".join(verdict.notes))
        click.echo("\n".join(lines(verdict)))
        if requests:
            write_results(verdicts, Path(out), seconds=seconds, rate=rate, first_seed=seed)
    if is_shrinking and verdicts[-1].faults:
        left = shrink(verdicts[-1], seconds=seconds, rate=rate)
        click.echo("\n".join(fuzz_schedules.lines(left)))
        click.echo(json.dumps(fuzz_schedules.encode(left)))
    sys.exit(1 if any(v.faults for v in verdicts) else 0)


if __name__ == "__main__":
    main()
