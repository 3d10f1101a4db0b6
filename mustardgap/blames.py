"""Whose fault a failed attempt is: the job's, or that of a worker that fails everything."""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from .models import HostState, JobState

# This many jobs must have failed on a worker one after the other before it is avoided, and set
# aside when as many as PROOFS of them ended well elsewhere.
SUSPECT_AFTER = 2
SET_ASIDE_AFTER = 3
PROOFS = 2
# A suspect is given a job again after this long, else it would stay under suspicion for ever.
PROBE_S = 15.0
# An attempt that nobody can tell the end of is held against the job much later than a failure, as
# workers go down by themselves; a job that brings each of its workers down ends at last.
UNKNOWN_FACTOR = 3


class Failures(NamedTuple):
    """The jobs that failed on a worker since one last ended well there, and when one last did."""

    jobs: frozenset[str]
    proofs: int
    latest: float

    @property
    def is_suspect(self) -> bool:
        """Whether jobs had better go elsewhere."""
        return len(self.jobs) >= SUSPECT_AFTER

    def may_probe(self, now: float) -> bool:
        """Whether it is time to see if the suspicion holds."""
        return not self.is_proven and now - self.latest > PROBE_S

    @property
    def is_proven(self) -> bool:
        """Whether the worker is at fault: what failed there ended well elsewhere."""
        return len(self.jobs) >= SET_ASIDE_AFTER and self.proofs >= PROOFS


def failures_by_worker(
    jobs: Iterable[JobState], hosts: Mapping[str, HostState]
) -> dict[str, Failures]:
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
            latest = max(started_by_job[name] for name in names)
            found[worker] = Failures(names, len(names & done_elsewhere), latest)
    return found


class Tries(NamedTuple):
    """What a job's own attempts say against it; ``total`` counts all that didn't end well."""

    failed_on: frozenset[str]
    failed: int
    total: int

    def is_spent(self, max_attempts: int, capable: Collection[str]) -> bool:
        """Whether the job has had all its tries.

        :param max_attempts: how many failures end it, each on a different worker.
        :param capable: the workers that could run it; when it has failed on all of them, failures
            on the same worker count too.
        """
        if self.total >= max_attempts * UNKNOWN_FACTOR:
            return True
        if len(self.failed_on) >= max_attempts:
            return True
        return self.failed >= max_attempts and self.failed_on.issuperset(capable)


def tries_of(job: JobState, hosts: Mapping[str, HostState], blamed: Collection[str]) -> Tries:
    """Count the failures of a job, without those on workers that are at fault themselves.

    :param job: the job.
    :param hosts: all hosts.
    :param blamed: workers that are shown to be at fault. A mere suspicion doesn't count: jobs that
        fail everywhere would make every worker suspect, and be tried for ever.
    """
    failed_on = []
    total = 0
    for attempt in job["attempts"]:
        total += attempt["outcome"] in ("failed", "unknown")
        host = hosts.get(attempt["worker"])
        is_set_aside = host is not None and host["phase"] == "set_aside"
        if attempt["outcome"] == "failed" and not is_set_aside and attempt["worker"] not in blamed:
            failed_on.append(attempt["worker"])
    return Tries(frozenset(failed_on), len(failed_on), total)
