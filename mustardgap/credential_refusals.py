"""Counts the requests that were refused for their credentials, and logs them at a bounded rate."""

from collections import Counter

from . import metrics
from .accounts import CredentialProblem
from .events import EventLog
from .timers import Clock

# A line a second and problem; a flood of guessed keys mustn't use up the lines of other events.
LINE_INTERVAL_S = 1.0


class RefusalTally:
    """Counts refused requests by problem.

    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(self, *, clock: Clock, events: EventLog) -> None:
        self._clock = clock
        self._events = events
        self._unlogged: Counter[CredentialProblem] = Counter()
        self._logged_at_by_problem: dict[CredentialProblem, float] = {}

    def note(self, problem: CredentialProblem, queue: str, version: int) -> None:
        """Count a refused request; the key itself is never logged.

        :param queue: the name of the queue that it was for.
        :param version: the version of the configuration that refused it.
        """
        metrics.refused_credentials.add(1, {"problem": problem.name.lower()})
        self._unlogged[problem] += 1
        now = self._clock.monotonic()
        if now - self._logged_at_by_problem.get(problem, float("-inf")) < LINE_INTERVAL_S:
            return
        self._logged_at_by_problem[problem] = now
        self._events.note(
            "credential.refused",
            vital=True,
            problem=problem.name.lower(),
            count=self._unlogged.pop(problem),
            queue=queue,
            version=version,
        )
