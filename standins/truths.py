"""What really happened on the platform, recorded for the oracles of tests."""

import time
from collections import Counter, deque
from typing import Any

MAX_HISTORY = 500
MAX_CUTS = 10_000


class Truth:
    """The platform's own record, told apart from what it shows to its users."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.cuts: deque[dict[str, Any]] = deque(maxlen=MAX_CUTS)
        self.operations_by_id: dict[str, dict[str, Any]] = {}
        self._history_by_worker: dict[str, deque[dict[str, Any]]] = {}
        self._runs_by_job: dict[str, list[dict[str, Any]]] = {}

    def note_worker(self, worker: str, **facts: Any) -> None:
        """Note a worker's pool, epoch, state and boot, when one of them has changed."""
        history = self._history_by_worker.setdefault(worker, deque(maxlen=MAX_HISTORY))
        history.append({"time": time.time(), **facts})

    def note_asked(self, operation: str, **facts: Any) -> None:
        """Note that an operation was asked for, also when it was a repeat or refused."""
        entry = self.operations_by_id.setdefault(
            operation, {"asked": 0, "executed": 0, "time": time.time(), **facts}
        )
        entry["asked"] += 1

    def note_executed(self, operation: str) -> None:
        """Note that an operation took effect."""
        self.operations_by_id[operation]["executed"] += 1

    def note_cut(self, worker: str, kind: str, count: int, **facts: Any) -> None:
        """Note work that was cut off, such as requests or tasks by a reboot."""
        if count:
            entry = {"time": time.time(), "worker": worker, "kind": kind, "count": count}
            self.cuts.append({**entry, **facts})

    def begin_run(self, job: str, **facts: Any) -> dict[str, Any]:
        """Note that a worker has begun to run a job.

        :return: the run's record, for ``end_run``.
        """
        run = {"start": time.time(), "end": None, "outcome": "running", **facts}
        self._runs_by_job.setdefault(job, []).append(run)
        return run

    def end_run(self, run: dict[str, Any], outcome: str) -> None:
        """Note that a run has ended."""
        run["end"] = time.time()
        run["outcome"] = outcome

    def export(self, *, workers: bool = True, jobs: bool = True) -> dict[str, Any]:
        """All that was recorded, for ``GET /control/truth``."""
        histories = {w: list(h) for w, h in self._history_by_worker.items()} if workers else {}
        runs = self._runs_by_job if jobs else {}
        return {
            "time": time.time(),
            "workers": histories,
            "operations": self.operations_by_id,
            "jobs": {j: {"runs": r, "overlapping": overlapping(r)} for j, r in runs.items()},
            "cuts": list(self.cuts),
            "counters": dict(self.counters),
        }


def overlapping(runs: list[dict[str, Any]]) -> int:
    """How many runs began before an earlier one had ended."""
    count = 0
    latest_end = float("-inf")
    for run in sorted(runs, key=lambda r: r["start"]):
        if run["start"] < latest_end:
            count += 1
        latest_end = max(latest_end, float("inf") if run["end"] is None else run["end"])
    return count
