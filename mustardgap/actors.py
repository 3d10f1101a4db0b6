"""Takes the steps of hosts and jobs on every daemon; members are ranked for each step's key."""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from functools import partial
from typing import Any

from absl import logging

from . import cancellations
from .duties import Duties
from .host_actors import HostActor
from .job_actors import JobActor
from .members import Members
from .models import LogRecord, TaskInfo
from .operations import ACTION_TIMEOUT_S, MAX_ACTIONS, Operations, count
from .outcomes import Accepted, Verdict
from .placers import Placer
from .plan_actors import PlanActor
from .registrars import Registrar
from .settings import Settings
from .streams import Log
from .timelines import Timeline
from .timers import Timers
from .workers import Workers


class Actors:
    """Takes the steps that are this daemon's duty after changes of the log or the platform.

    Each step is decided anew from the folded state and the platform's view, so a step that was
    lost, repeated or left incomplete by a daemon that died is decided again.

    :param platform: the platform.
    :param log: the state stream.
    :param members: the entry hosts.
    :param workers: the polled view of the workers.
    :param settings: the daemon's settings.
    :param timers: the timer service.
    :param timeline: records the steps taken.
    """

    def __init__(
        self,
        *,
        platform: Any,
        log: Log,
        members: Members,
        workers: Workers,
        settings: Settings,
        timers: Timers,
        timeline: Timeline,
    ) -> None:
        self.settings = settings
        self.timers = timers
        self.workers = workers
        self.log = log
        self.operations = Operations(
            platform=platform,
            log=log,
            workers=workers,
            settings=settings,
            timers=timers,
            timeline=timeline,
        )
        self.duties = Duties(
            members=members, clock=timers.clock, takeover_s=settings.capacity.takeover_s
        )
        operations, duties = self.operations, self.duties
        self.hosts = HostActor(operations=operations, duties=duties, members=members)
        self.registrar = Registrar(operations=operations, duties=duties)
        self.planner = PlanActor(operations=operations, duties=duties)
        self.placer = Placer(operations=operations, duties=duties)
        self.jobs = JobActor(operations=operations, duties=duties, placer=self.placer)
        self._tasks_by_key: dict[str, asyncio.Task[None]] = {}
        self._is_stopping = False
        self._semaphore = asyncio.Semaphore(MAX_ACTIONS)
        log.on_fold(self._on_record)
        log.on_restore(self._restart)
        workers.on_change(self._on_hosts_changed)
        workers.on_tasks(self._on_tasks_changed)
        timers.on_gap(self._cancel_all)

    async def run(self) -> None:
        """Take steps until cancelled."""
        self._restart()
        unsubscribe = self.timers.subscribe("actors", self.settings.capacity.act_s, self.act)
        try:
            await asyncio.Event().wait()
        finally:
            unsubscribe()
            self._cancel_all()

    def act(self) -> None:
        """Start the due steps that aren't running; only leases are renewed on outdated views."""
        may_begin = self.operations.may_begin()
        for number, batch in enumerate(self.jobs.leases_due()):
            self._begin(f"renew/{number}", partial(self.jobs.renew, batch))
        if not may_begin or self._is_stopping:
            return
        parts: dict[str, Any] = {
            "registrar": self.registrar,
            "planner": self.planner,
            "placer": self.placer,
        }
        for key, part in parts.items():
            self._call_logged(key, partial(self._begin_due, key, part))
        for kind, actor in (("host", self.hosts), ("job", self.jobs)):
            self._call_logged(kind, partial(self._begin_each, kind, actor))

    def leaving_workers(self, workers: Collection[str]) -> None:
        """Have workers that the platform lists as leaving on short notice replaced and emptied."""
        self.planner.leaving_workers(workers)

    @property
    def is_busy(self) -> bool:
        """Whether steps are running."""
        return bool(self._tasks_by_key)

    def close(self) -> None:
        """Cancel the running steps, as at the end of the process."""
        self._cancel_all()

    async def settle(self) -> None:
        """Start no more steps and wait for those running, as before a planned stop."""
        self._is_stopping = True
        if self._tasks_by_key:
            await asyncio.wait(list(self._tasks_by_key.values()), timeout=ACTION_TIMEOUT_S)

    def recheck_all(self) -> None:
        """Queue everything for a new decision."""
        self.hosts.recheck_all()
        self.registrar.recheck_all()
        self.jobs.recheck_all()

    def _restart(self) -> None:
        """Rebuild everything from a restored state."""
        self.placer.restart()
        self.jobs.restart()
        self.recheck_all()

    def _begin_due(self, key: str, part: Any) -> None:
        if key in self._tasks_by_key:
            return
        decided = part.due()
        if decided:
            self._begin(key, partial(part.act, decided))

    def _begin_each(self, kind: str, actor: HostActor | JobActor) -> None:
        for name, step in actor.due():
            self._begin(f"{kind}/{name}", partial(actor.act, name, step))  # type: ignore[arg-type]

    def _call_logged(self, key: str, function: Callable[[], None]) -> None:
        """Call a function and log its failure, so that the other parts still act."""
        try:
            function()
        except Exception:
            count(key, "internal")
            logging.exception("deciding on %s failed", key)

    def _begin(self, key: str, action: Callable[[], Awaitable[None]]) -> None:
        if key not in self._tasks_by_key:
            task = asyncio.create_task(self._run(key, action), name=f"act:{key}")
            self._tasks_by_key[key] = task

    async def _run(self, key: str, action: Callable[[], Awaitable[None]]) -> None:
        try:
            async with self._semaphore:
                await cancellations.run_part(action)
        except Exception:
            logging.exception("step of %s failed", key)
        finally:
            if self._tasks_by_key.get(key) is asyncio.current_task():
                del self._tasks_by_key[key]

    def _cancel_all(self, lost_s: float = 0.0) -> None:
        """Cancel all running steps and queue everything for a new decision.

        During a freeze other daemons may have taken and undone the steps that this daemon was about
        to take. Cancelling stops the steps that wait, and their tickets stop those that continue
        before the cancellation reaches them.
        """
        for task in self._tasks_by_key.values():
            task.cancel()
        self._tasks_by_key.clear()
        self.duties.clear()
        self.recheck_all()

    def _on_record(self, record: LogRecord, verdict: Verdict) -> None:
        if not isinstance(verdict, Accepted):
            return
        kind, body = record.value["kind"], record.value["body"]
        if kind == "host":
            self._on_hosts_changed({body["host"]})
        elif kind == "job":
            self.placer.follow_jobs({body["job"]})
            self.jobs.follow({body["job"]})
            self.jobs.recheck({body["job"]})
        elif kind == "config":
            self.placer.follow_hosts(set(self.log.state.hosts_by_name))

    def _on_tasks_changed(self, tasks: list[TaskInfo]) -> None:
        self.jobs.follow_tasks(tasks)
        self.jobs.recheck({task["job"] for task in tasks})
        for task in tasks:
            self.placer.learn(task)

    def _on_hosts_changed(self, hosts: set[str]) -> None:
        self.hosts.recheck(hosts)
        self.registrar.recheck(hosts)
        self.placer.follow_hosts(hosts)
        self.jobs.recheck_jobs_on(hosts)
