"""Keeps one owner's starts of tasks within the allowances of client accounts."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING, NamedTuple

from . import metrics
from .accounts import Grant, PoolAllowances, PoolUse, fits
from .events import EventLog
from .job_states import Job, JobPhase, Task
from .resources import NO_ROOM, Room, largest, total
from .workloads import JobSpec, Step

if TYPE_CHECKING:
    from .dispatchers import Dispatcher


class _PoolAccount(NamedTuple):
    """An account in the pool of one service."""

    service: str
    account: str


def charge(step: Step) -> Room:
    """What one task of a step counts against its account's limit.

    A filling step's processor time is left over by others, but it is used by the account.
    """
    return Room(step.cpu, step.memory_mb, step.gpus)


def largest_unit(spec: JobSpec) -> Room:
    """The most that has to be started at once: of each resource, by any task or gang of a job."""
    return largest(charge(step).times(step.width if step.gang else 1) for step in spec.steps)


class AccountLimits:
    """Counts what accounts use of the pools of one shard, and says what may be started.

    :param dispatcher: the owner of the shard.
    :param events: the process's event log.
    """

    def __init__(self, *, dispatcher: "Dispatcher", events: EventLog) -> None:
        self._dispatcher = dispatcher
        self._events = events
        self._allowances_by_service: dict[str, PoolAllowances] = defaultdict(PoolAllowances)
        self._used: dict[_PoolAccount, Room] = {}
        # Jobs that wait for their account's limit; each is logged once as it begins to wait.
        self._waiting_jobs: set[str] = set()

    @property
    def are_set(self) -> bool:
        """Whether any account has a limit, or had one and is still held to it."""
        if self._dispatcher.accounts is None:
            return False
        if any(a.accounts() for a in self._allowances_by_service.values()):
            return True
        return any(self._limited_accounts())

    def apply(self, service: str, grant: Grant) -> None:
        """Apply a grant of the fleet's owner for the pool of a service."""
        self._allowances_by_service[service].apply(grant)

    def never_holds(self, account: str, spec: JobSpec) -> bool:
        """Whether a part of a job is larger than all that its account may have running."""
        limit = self._limit(account)
        return limit is not None and not fits(NO_ROOM, largest_unit(spec), limit, limit)

    def begin_pass(self) -> None:
        """Count anew what accounts use, before a placing pass."""
        self._used = self._count_used() if self.are_set else {}

    def startable(self, job: Job, tasks: Sequence[Task]) -> list[Task]:
        """Return the tasks of one step that the limit of their account lets start, in order."""
        if not self._is_limited(job):
            return list(tasks)
        added = NO_ROOM
        allowed: list[Task] = []
        for task in tasks:
            if not self._fits(job, added, charge(task.step)):
                break
            added = added.plus(charge(task.step))
            allowed.append(task)
        self._note_waiting(job, waits=len(allowed) < len(tasks))
        return allowed

    def holds_gang(self, job: Job, tasks: Sequence[Task]) -> bool:
        """Whether all tasks of a gang may be started at once."""
        if not self._is_limited(job):
            return True
        may = self._fits(job, NO_ROOM, charge(tasks[0].step).times(len(tasks)))
        self._note_waiting(job, waits=not may)
        return may

    def note_started(self, job: Job, step: Step) -> None:
        """Count a task that is being started."""
        _add(self._used, job, step)

    def uses(self, service: str) -> dict[str, PoolUse]:
        """Return each account's use of the pool of a service, for the fleet's owner."""
        if not self.are_set:
            return {}
        allowances = self._allowances_by_service[service]
        used_by_account = {
            key.account: used for key, used in self._count_used().items() if key.service == service
        }
        waiting_by_account = self._waiting_units(service)
        uses: dict[str, PoolUse] = {}
        for account in sorted({*self._limited_accounts(), *allowances.accounts()}):
            units = waiting_by_account.get(account, [])
            use = PoolUse(
                used=used_by_account.get(account, NO_ROOM),
                ceiling=allowances.granted(account),
                waiting=total(unit.room for unit in units),
                unit=largest(unit.room for unit in units),
                task=largest(unit.room for unit in units if not unit.gang),
            )
            if use != PoolUse():
                uses[account] = use
        return uses

    def _limited_accounts(self) -> Iterator[str]:
        accounts = self._dispatcher.accounts
        for account in accounts.by_name.values() if accounts is not None else ():
            if account.is_limited:
                yield account.name

    def _limit(self, account: str) -> Room | None:
        """An account's limit, None if it has none or isn't in the configuration."""
        accounts = self._dispatcher.accounts
        found = accounts.by_name.get(account) if accounts is not None else None
        return found.limit if found is not None and found.is_limited else None

    def _is_limited(self, job: Job) -> bool:
        """Whether a job's starts are bounded.

        The jobs of an account that was removed go by the last limit for as long as the fleet's
        owner remembers it. Afterwards they aren't bounded: they were accepted and have to run.
        """
        accounts = self._dispatcher.accounts
        if not job.account or accounts is None:
            return False
        if job.account in accounts.by_name:
            return self._limit(job.account) is not None
        return job.account in self._allowances_by_service[job.service].accounts()

    def _fits(self, job: Job, pending: Room, added: Room) -> bool:
        used = self._used_by(job).plus(pending)
        allowances = self._allowances_by_service[job.service]
        return allowances.may_start(job.account, used, added, self._limit(job.account))

    def _used_by(self, job: Job) -> Room:
        """What a job's account uses of the job's pool."""
        return self._used.get(_PoolAccount(job.service, job.account), NO_ROOM)

    def _note_waiting(self, job: Job, *, waits: bool) -> None:
        if not waits:
            self._waiting_jobs.discard(job.job_id)
            return
        if job.job_id in self._waiting_jobs:
            return
        self._waiting_jobs.add(job.job_id)
        metrics.limited_jobs.add(1)
        self._events.note(
            "job.limited",
            job=job.job_id,
            account=job.account,
            service=job.service,
            used=self._used_by(job),
            allowed=self._allowances_by_service[job.service].granted(job.account),
            limit=self._limit(job.account),
        )

    def forget(self, job_id: str) -> None:
        """Forget a job that has ended."""
        self._waiting_jobs.discard(job_id)

    def _count_used(self) -> dict[_PoolAccount, Room]:
        """Sum up what accounts may have running.

        A former owner's tasks count as running until all executors that it used have reported, as
        any of them may be at work. If they didn't count, a takeover would start as much again.
        """
        used: dict[_PoolAccount, Room] = {}
        jobs_by_id = self._dispatcher.jobs_by_id
        for link in self._dispatcher.roster.links_by_executor.values():
            for run in link.runs_by_key.values():
                _add(used, jobs_by_id.get(run.task.task_id.job), run.task.step)
            for task_id in link.foreign_tasks:
                job = jobs_by_id.get(task_id.job)
                step = job.step_of(task_id) if job is not None else None
                if step is not None:
                    _add(used, job, step)
        if self._dispatcher.roster.awaiting_report:
            for job in jobs_by_id.values():
                for task in job.tasks() if job.account else ():
                    if task.inherited:
                        _add(used, job, task.step)
        return used

    def _waiting_units(self, service: str) -> dict[str, list["_Unit"]]:
        """What waits to be started, by account; a gang is one unit."""
        units: dict[str, list[_Unit]] = defaultdict(list)
        for job in self._dispatcher.jobs_by_id.values():
            if job.service != service or not job.account or job.phase is not JobPhase.LIVE:
                continue
            for tasks in job.ready_steps():
                waiting = [task for task in tasks if task.is_waiting]
                room = charge(tasks[0].step)
                if tasks[0].step.gang and waiting:
                    units[job.account].append(_Unit(room.times(len(waiting)), True))
                elif waiting:
                    units[job.account].extend([_Unit(room, False)] * len(waiting))
        return units


def _add(used: dict[_PoolAccount, Room], job: Job | None, step: Step) -> None:
    """Count one task of a job; a job without an account, or that isn't known, counts for nobody."""
    if job is not None and job.account:
        key = _PoolAccount(job.service, job.account)
        used[key] = used.get(key, NO_ROOM).plus(charge(step))


class _Unit(NamedTuple):
    """What has to be started at once: a task, or a whole gang."""

    room: Room
    gang: bool
