"""Chooses which of a team's jobs are paused for a more urgent one when its quota is full."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from .job_queues import Running, Waiting
from .models import JobSpec
from .states import TeamUsage, size_in_thousandths


class Excess(NamedTuple):
    """What exceeds a quota in thousandths of a core and of a GB; negative while some is left."""

    cores: int
    memory: int

    @property
    def is_over(self) -> bool:
        """Whether the quota is exceeded."""
        return self.cores > 0 or self.memory > 0

    def plus(self, spec: JobSpec, sign: int = 1) -> "Excess":
        """The excess with a job added, or removed with ``sign=-1``."""
        cores, memory = size_in_thousandths(spec)
        return Excess(self.cores + sign * cores, self.memory + sign * memory)


class Quotas:
    """The decisions on quotas in one pass over the queue.

    :param state: the folded state.
    :param running_of_team: returns the jobs of a team that hold capacity.
    """

    def __init__(self, *, state: Any, running_of_team: Callable[[str], list[Running]]) -> None:
        self.state = state
        self.running_of_team = running_of_team
        self._wanted_by_team: dict[str, list[JobSpec]] = {}
        self._failed_urgency_by_team: dict[str, int] = {}
        self._claim_urgency_by_team: Counter[str] = Counter()

    def must_yield(self, job: Waiting) -> bool:
        """Whether a job must not take the quota that is being freed for a more urgent one.

        A paused job is back in the queue before the last of them has left. It would be placed into
        the quota that it has just freed, and the urgent job would never have enough.
        """
        return (
            job.team in self._wanted_by_team and job.urgency > self._claim_urgency_by_team[job.team]
        )

    def victims(self, job: Waiting, chosen: Iterable[str]) -> list[Running] | None:
        """Choose the jobs to pause: the least urgent first, of these the latest started.

        :param job: the job that waits for its team's quota.
        :param chosen: the jobs that this pass already takes off their workers.
        :return: the jobs, empty if enough are leaving; None if the quota isn't full, or pausing
            the team's less urgent jobs doesn't free enough of it.
        """
        team = self.state.value("team", job.team)
        if team is None or job.urgency >= self._failed_urgency_by_team.get(
            job.team, job.urgency + 1
        ):
            return None
        held = self.state.usage_by_team.get(job.team, TeamUsage())
        over = Excess(
            held.cores - round(team["max_cores"] * 1000),
            held.memory - round(team["max_memory_gb"] * 1000),
        )
        if over.is_over:
            # The quota was lowered: all jobs beyond it would be paused for this one.
            return None
        wanted = [*self._wanted_by_team.get(job.team, ()), self._spec(job.job)]
        for spec in wanted:
            over = over.plus(spec)
        if not over.is_over:
            return None
        found = self._choose(job, over, set(chosen))
        if found is None:
            self._failed_urgency_by_team[job.team] = job.urgency
            return None
        self._wanted_by_team[job.team] = wanted
        self._claim_urgency_by_team[job.team] = job.urgency
        return found

    def _choose(self, job: Waiting, over: Excess, chosen: set[str]) -> list[Running] | None:
        possible = []
        for running in self.running_of_team(job.team):
            if running.is_leaving or running.job in chosen:
                over = over.plus(self._spec(running.job), -1)
            elif running.may_pause and running.urgency > job.urgency:
                possible.append(running)
        found: list[Running] = []
        for victim in sorted(possible, key=lambda r: (-r.urgency, -r.started)):
            if not over.is_over:
                break
            over = over.plus(self._spec(victim.job), -1)
            found.append(victim)
        return None if over.is_over else found

    def _spec(self, job: str) -> JobSpec:
        spec: JobSpec = self.state.jobs_by_id[job]["spec"]
        return spec
