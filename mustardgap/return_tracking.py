"""Measures when refused callers come back, against when they were told to."""

from typing import NamedTuple

from . import metrics

# A caller waits 3 s in total and makes at most five attempts, so later submissions of the same id
# aren't returns. A refusal that is older than this is forgotten.
FORGET_AFTER_S = 10.0
# At most this many refusals are remembered, the latest ones; some 100 KB.
MAX_TRACKED = 1000


class Return(NamedTuple):
    """When a caller was told to come back, and when it did, in seconds after the refusal."""

    promised_s: float
    actual_s: float


class ReturnTracker:
    """Remembers when callers were told to come back, and measures when they do."""

    def __init__(self) -> None:
        # In the order of refusals, the oldest first.
        self._refused_by_job: dict[str, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._refused_by_job)

    def note_refused(self, job_id: str, retry_after_s: float, now: float) -> None:
        """Note a refusal with a return time.

        :param now: monotonic seconds.
        """
        metrics.promised_return.record(retry_after_s)
        self._refused_by_job.pop(job_id, None)
        self._refused_by_job[job_id] = (retry_after_s, now)
        while self._is_oldest_obsolete(now):
            del self._refused_by_job[next(iter(self._refused_by_job))]

    def note_submitted(self, job_id: str, now: float) -> Return | None:
        """Note a submission.

        :param now: monotonic seconds.
        :return: what was promised and done, None unless the job was refused a short time ago.
        """
        refused = self._refused_by_job.pop(job_id, None)
        if refused is None or now - refused[1] > FORGET_AFTER_S:
            return None
        returned = Return(promised_s=refused[0], actual_s=now - refused[1])
        metrics.actual_return.record(returned.actual_s)
        return returned

    def _is_oldest_obsolete(self, now: float) -> bool:
        _, refused_at = next(iter(self._refused_by_job.values()))
        return len(self._refused_by_job) > MAX_TRACKED or now - refused_at > FORGET_AFTER_S
