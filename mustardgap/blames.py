"""Attributes failed attempts to the job, or to a worker on which every job fails."""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from .models import HostState, JobState

# Number of jobs that must fail on a worker in a row before the worker is avoided.
SUSPECT_AFTER_JOBS = 2
# Number of jobs that must fail on a worker in a row before the worker is set aside.
SET_ASIDE_AFTER_JOBS = 3
# Number of those jobs that must also have succeeded on other workers before it is set aside.
SET_ASIDE_AFTER_SUCCESSES = 2
# After this long a suspect worker gets another job; otherwise it would stay suspect for ever.
PROBE_AFTER_S = 15.0
# A job fails after max_attempts times this many attempts that failed or whose outcome is unknown.
# Unknown outcomes count for less than failures, as workers also go down by themselves, but a job
# that brings down each of its workers still fails in the end.
UNKNOWN_OUTCOME_FACTOR = 3


class WorkerFailures(NamedTuple):
    """The jobs that failed on a worker since a job last succeeded there.

    ``successes`` counts those of them that succeeded on another worker, and ``latest_start`` is
    when the latest of the failed attempts started.
    """

    jobs: frozenset[str]
    successes: int
    latest_start: float

    @property
    def is_suspect(self) -> bool:
        """Whether jobs should avoid the worker."""
        return len(self.jobs) >= SUSPECT_AFTER_JOBS

    def may_probe(self, now: float) -> bool:
        """Whether the worker may get a job again to test whether it still fails."""
        return not self.is_at_fault and now - self.latest_start > PROBE_AFTER_S

    @property
    def is_at_fault(self) -> bool:
        """Whether the worker is at fault: jobs that failed there succeeded elsewhere."""
        return (
            len(self.jobs) >= SET_ASIDE_AFTER_JOBS and self.successes >= SET_ASIDE_AFTER_SUCCESSES
        )


def failures_by_worker(
    jobs: Iterable[JobState], hosts: Mapping[str, HostState]
) -> dict[str, WorkerFailures]:
    """Find the workers on which jobs have failed and none has succeeded since.

    :param jobs: all known jobs, including ended ones.
    :param hosts: all hosts by name; failures before a host's last change of phase, such as its
        return to service, don't count.
    :return: the failures by worker.
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
    """The failed attempts of one job.

    ``failed_on`` and ``failed`` leave out attempts on workers that are at fault; ``total`` counts
    all attempts that failed or whose outcome is unknown.
    """

    failed_on: frozenset[str]
    failed: int
    total: int

    def is_exhausted(self, max_attempts: int, capable: Collection[str]) -> bool:
        """Whether the job has used up its attempts.

        :param max_attempts: number of failures, each on a different worker, that end the job.
        :param capable: the workers that could run it; once it has failed on all of them, repeated
            failures on one worker count too.
        """
        if self.total >= max_attempts * UNKNOWN_OUTCOME_FACTOR:
            return True
        if len(self.failed_on) >= max_attempts:
            return True
        return self.failed >= max_attempts and self.failed_on.issuperset(capable)


def count_failed_attempts(
    job: JobState, hosts: Mapping[str, HostState], faulty_workers: Collection[str]
) -> FailedAttempts:
    """Count the failed attempts of a job, excluding failures on workers that are at fault.

    :param job: the job.
    :param hosts: all hosts by name.
    :param faulty_workers: workers that are known to be at fault. Suspect ones must not be
        included: a job that fails everywhere would make every worker suspect and be retried for
        ever.
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
