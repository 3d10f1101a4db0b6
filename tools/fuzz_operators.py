"""The operators of a fuzzed run: what they ask for through the entry hosts, and are told."""

import asyncio
import random
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Any, NamedTuple

from mustardgap import clients, status_codes
from mustardgap.exceptions import MustardgapError

from .clusters import Cluster
from .fuzz_fleet import DAEMONS, FIELDS, VALUES_BY_KEY, job
from .fuzz_schedules import Step

ACTIONS = ("wave", "wave_pause", "drain", "race", "job", "job_cancelled")
OPERATOR_TIMEOUT_S = 8.0


class Attempt(NamedTuple):
    """One operator's change: what was asked and what the operator was told.

    ``told`` is ``accepted`` (with the record's offset), ``rejected`` for all that says that nothing
    was changed, or ``unknown``.
    """

    key: str
    base: int
    value: Any
    told: str
    offset: int
    detail: str


class Operators:
    """What operators have asked for in one run.

    :param cluster: the processes of the run.
    """

    def __init__(self, *, cluster: Cluster) -> None:
        self.cluster = cluster
        self.attempts: list[Attempt] = []
        self.jobs: dict[str, bool] = {}
        self.waves: list[str] = []
        self._drained: set[str] = set()
        self._count_lock = threading.Lock()
        self._counted = 0

    def act(self, step: Step) -> str | None:
        """Carry out one of ``ACTIONS``.

        :return: what came of it, for the notes.
        :raises MustardgapError: the entry hosts refused it, or couldn't be reached.
        """
        action: Callable[[Step], str | None] = getattr(self, f"_{step.action}")
        return action(step)

    def take_drains_back(self) -> None:
        """Undrain every host that an operator may have left drained."""
        for name in sorted(self._drained):
            with suppress(MustardgapError):
                self.call(lambda client: client.undrain(name))  # noqa: B023

    def number(self) -> int:
        """A number that was never handed out before."""
        with self._count_lock:
            self._counted += 1
            return self._counted

    def call(self, function: Callable[[clients.Client], Any], *daemons: str) -> Any:
        """Use the operators' interface through some daemons, in turn.

        :param function: from a client to the coroutine of a call.
        """

        async def run() -> Any:
            entries = [self.cluster.daemons_by_name[name].operators for name in daemons or DAEMONS]
            async with clients.Client(entries=entries, timeout_s=OPERATOR_TIMEOUT_S) as client:
                return await function(client)

        return asyncio.run(run())

    def _wave(self, step: Step) -> str:
        name = f"wave-{self.number()}"
        self.call(lambda client: client.start_wave(name, rack=step.on))
        self.waves.append(name)
        return name

    def _wave_pause(self, step: Step) -> str:
        if not self.waves:
            return "no wave"
        name = self.waves[-1]
        self.call(lambda client: client.step_wave(name, "pause"))
        time.sleep(step.for_s)
        self.call(lambda client: client.step_wave(name, "resume"))
        return name

    def _drain(self, step: Step) -> None:
        self._drained.add(step.on)
        self.call(lambda client: client.drain(step.on))
        time.sleep(step.for_s)
        self.call(lambda client: client.undrain(step.on))

    def _job(self, step: Step) -> str:
        name = f"job-{self.number()}"
        self.jobs[name] = idempotent = step.on == "twice"
        spec: Any = job(idempotent=idempotent, run_s=step.number)
        self.call(lambda client: client.submit(name, spec))
        return name

    def _job_cancelled(self, step: Step) -> str:
        name = self._job(step)
        time.sleep(step.for_s)
        self.call(lambda client: client.cancel([name]))
        return name

    def _race(self, step: Step) -> str:
        """Two operators read the same version and publish different changes of it."""
        first, second = random.Random(step.at_s).sample(DAEMONS, 2)
        current = self.call(lambda c: c.declarations(), first, second)["items"][step.on]
        now = current["value"][FIELDS[step.on]]
        choices = [value for value in VALUES_BY_KEY.get(step.on, ()) if value != now]
        choices = choices or [200 + self.number(), 200 + self.number()]
        with ThreadPoolExecutor(2) as pool:
            found = list(
                pool.map(
                    lambda pair: self._publish(step.on, current, pair[0], pair[1]),
                    zip((first, second), choices[:2], strict=True),
                )
            )
        self.attempts += found
        return ", ".join(f"{a.told} {a.offset}" for a in found)

    def _publish(self, key: str, current: Any, entry: str, number: int) -> Attempt:
        base = current["version"]
        value = {**current["value"], FIELDS[key]: number}
        change: Any = {"key": key, "base": base, "value": value}
        others = [name for name in DAEMONS if name != entry]
        try:
            found = self.call(lambda client: client.apply([change]), entry, *others)
        except MustardgapError as exc:
            told = "unknown" if exc.code is status_codes.LOG_ANSWER_LOST else "rejected"
            return Attempt(key, base, value, told, -1, str(exc)[:80])
        return Attempt(key, base, value, "accepted", found["offset"], "")
