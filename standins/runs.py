"""The record of the requests that executors really ran."""

import os
from collections import Counter, deque
from itertools import islice
from pathlib import Path

import msgspec

MAX_LISTED = 1000


class Run(msgspec.Struct):
    """One request that was run; ``leaving_s`` is how long its executor was leaving by then."""

    sequence: int
    executor: str
    service: str
    request_id: str
    key: str
    method: str
    path: str
    start: float
    end: float
    leaving_s: float = -1.0


class Runs:
    """All runs of one executors process.

    :param kept: how many are kept; the counters go over all.
    :param path: a file that gets a line for each run, so that they outlive the process.
    """

    def __init__(self, *, kept: int, path: str = "") -> None:
        self.count = 0
        self.keys_run_twice: list[str] = []
        self.request_ids_run_twice: list[str] = []
        self._runs: deque[Run] = deque(maxlen=kept)
        self._count_by_key: Counter[tuple[str, str]] = Counter()
        self._count_by_request_id: Counter[str] = Counter()
        if path and Path(path).exists():
            for line in Path(path).read_bytes().splitlines():
                self._take(msgspec.json.decode(line, type=Run))
        # Written at once: a process that is killed would otherwise take its last runs along, and an
        # oracle would take them for not run. What the kernel has outlives the process.
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags, 0o644) if path else None

    def add(self, run: Run) -> None:
        """Record a run, before anybody can learn of it."""
        run.sequence = self.count
        if self._file is not None:
            os.write(self._file, msgspec.json.encode(run) + b"\n")
        self._take(run)

    def since(self, sequence: int, limit: int) -> list[Run]:
        """The runs from a sequence number on."""
        oldest = self.count - len(self._runs)
        first = max(0, sequence - oldest)
        return list(islice(self._runs, first, first + limit))

    def _take(self, run: Run) -> None:
        self.count += 1
        self._runs.append(run)
        self._note_twice(self._count_by_request_id, run.request_id, self.request_ids_run_twice)
        if run.key:
            self._note_twice(self._count_by_key, (run.service, run.key), self.keys_run_twice)

    def _note_twice(self, counts: Counter, what: tuple[str, str] | str, twice: list[str]) -> None:
        counts[what] += 1
        if counts[what] == 2 and len(twice) < MAX_LISTED:
            twice.append(what if isinstance(what, str) else "/".join(what))
