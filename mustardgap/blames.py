"""Whose fault a failed attempt is: the job's, or that of a worker that fails everything."""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from .models import HostState, JobState

# This many jobs must have failed on a worker one after the other before it is avoided, and set
# aside when as many as SET_ASIDE_AFTER_SUCCESSES of them ended well elsewhere.
SUSPECT_AFTER_JOBS = 2
SET_ASIDE_AFTER_JOBS = 3
SET_ASIDE_AFTER_SUCCESSES = 2
# A suspect is given a job again after this long, else it would stay under suspicion for ever.
PROBE_AFTER_S = 15.0
# An attempt that nobody can tell the end of is held against the job much later than a failure, as
# workers go down by themselves; a job that brings each of its workers down ends at last.
UNKNOWN_OUTCOME_FACTOR = 3


class WorkerFailures(NamedTuple):
    """The jobs that failed on a worker since one last ended well there, and when one last did."""

    jobs: frozenset[str]
    successes: int
    latest_start: float

    @property
    def is_suspect(self) -> bool:
        """Whether jobs had better go elsewhere."""
        return len(self.jobs) >= SUSPECT_AFTER_JOBS

    def may_probe(self, now: float) -> bool:
        """Whether it is time to see if the suspicion holds."""
        return not self.is_at_fault and now - self.latest_start > PROBE_AFTER_S

    @property
    def is_at_fault(self) -> bool:
        """Whether the worker is at fault: what failed there ended well elsewhere."""
        return (
            len(self.jobs) >= SET_ASIDE_AFTER_JOBS and self.successes >= SET_ASIDE_AFTER_SUCCESSES
        )


def failures_by_worker(
    jobs: Iterable[JobState], hosts: Mapping[str, HostState]
) -> dict[str, WorkerFailures]:
    """Find the workers on which nothing has ended well since some jobs failed there.

    :param jobs: all jobs known, those that have ended too.
    :param hosts: all hosts; what failed before a host came back into service doesn't count.
    """
    failed: dict[str, dict[str, float]] = {}
    succeeded: dict[str, float] = {}
    done_elsewhere: set[str] = set()
    for job in jobs:
        for attempt in job["attempts"]:
            worker, started = attempt["worker"], attempt["started"]
            if attempt["outcome"] == "failed":
                failed.setdefault(worker, {})[job["job"]] = started
            elif attempt["outcome"] == "done":
                succeeded[worker] = max(succeeded.get(worker, 0.0), started)
                done_elsewhere.add(job["job"])
    found = {}
    for worker, started_by_job in failed.items():
        host = hosts.get(worker)
        if host is None:
            continue
        since = max(host["since"], succeeded.get(worker, 0.0))
        names = frozenset(name for name, at in started_by_job.items() if at >= since)
        if names:
            latest_start = max(started_by_job[name] for name in names)
            found[worker] = WorkerFailures(names, len(names & done_elsewhere), latest_start)
    return found


class FailedAttempts(NamedTuple):
    """What a job's own attempts say against it; ``total`` counts all that didn't end well."""

    failed_on: frozenset[str]
    failed: int
    total: int

    def is_exhausted(self, max_attempts: int, capable: Collection[str]) -> bool:
        """Whether the job has had all its tries.

        :param max_attempts: how many failures end it, each on a different worker.
        :param capable: the workers that could run it; when it has failed on all of them, failures
            on the same worker count too.
        """
        if self.total >= max_attempts * UNKNOWN_OUTCOME_FACTOR:
            return True
        if len(self.failed_on) >= max_attempts:
            return True
        return self.failed >= max_attempts and self.failed_on.issuperset(capable)


def count_failed_attempts(
    job: JobState, hosts: Mapping[str, HostState], faulty_workers: Collection[str]
) -> FailedAttempts:
    """Count the failures of a job, without those on workers that are at fault themselves.

    :param job: the job.
    :param hosts: all hosts.
    :param faulty_workers: workers that are shown to be at fault. A mere suspicion doesn't count:
        jobs that fail everywhere would make every worker suspect, and be tried for ever.
    """
    failed_on = []
    total = 0
    for attempt in job["attempts"]:
        total += attempt["outcome"] in ("failed", "unknown")
        host = hosts.get(attempt["worker"])
        is_set_aside = host is not None and host["phase"] == "set_aside"
        if (
            attempt["outcome"] == "failed"
            and not is_set_aside
            and attempt["worker"] not in faulty_workers
        ):
            failed_on.append(attempt["worker"])
    return FailedAttempts(frozenset(failed_on), len(failed_on), total)
