"""Finds the crashes of executors that a former owner didn't record, as it ended beside them."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from .crashes import CrashSite
    from .job_states import Job, Task
    from .workloads import ExecutorId, TaskId


class UnseenCrash(NamedTuple):
    """An executor that crashed before it reported to this owner, and whether that is confirmed."""

    site: "CrashSite"
    confirmed: bool


class UnseenCrashes:
    """Attributes unrecorded crashes to the long-running tasks that may have caused them.

    Starts aren't stored, so a new owner doesn't know what ran on an executor that has crashed. But
    once all others have reported, a long-running task that none of them runs was most likely there.
    Only a task that waited, or whose job had just been accepted, is mistaken for one.

    Tasks that end by themselves are left out: many of them wait at any time, and their bounds are
    low enough without this.
    """

    def __init__(self) -> None:
        self._crashes_by_executor: dict[ExecutorId, UnseenCrash] = {}
        self._recorded_sites_by_task: defaultdict[TaskId, set[ExecutorId]] = defaultdict(set)
        self._reported: set[TaskId] = set()

    def note_recorded(self, task_id: "TaskId", executor: "ExecutorId") -> None:
        """Note that a former owner recorded a crash of an executor under a task."""
        self._recorded_sites_by_task[task_id].add(executor)

    def note_reported(self, task_id: "TaskId") -> None:
        """Note that an executor has reported a run of a task, or the end of one."""
        self._reported.add(task_id)

    def note_crashed(self, site: "CrashSite") -> None:
        """Note that an executor has crashed that hasn't reported to this owner."""
        self._crashes_by_executor.setdefault(site.executor, UnseenCrash(site, confirmed=False))

    def confirm(self, executor: "ExecutorId") -> None:
        """Note that the machine of an executor that crashed has a new one."""
        if (crash := self._crashes_by_executor.get(executor)) is not None:
            self._crashes_by_executor[executor] = crash._replace(confirmed=True)

    def retract(self, executor: "ExecutorId") -> None:
        """Note that an executor didn't crash after all."""
        self._crashes_by_executor.pop(executor, None)

    def attribute(self, jobs: Iterable["Job"]) -> Iterator[tuple["Task", UnseenCrash]]:
        """Pair each inherited long-running task that no executor reported with a crash.

        A task is left out if a former owner recorded its crash on one of these executors, as it
        hasn't been started since. Of several executors any may have run it; it is paired with one.
        """
        for job in jobs:
            crashes = [
                crash
                for crash in self._crashes_by_executor.values()
                if crash.site.service == job.service
            ]
            if not crashes or not job.lasting or job.phase:
                continue
            executors = {crash.site.executor for crash in crashes}
            for task in job.tasks():
                recorded = self._recorded_sites_by_task.get(task.task_id, set())
                if self._is_unaccounted(task) and not recorded & executors:
                    yield task, crashes[0]

    def _is_unaccounted(self, task: "Task") -> bool:
        waits = task.inherited and task.run is None and not task.given_up
        return waits and task.step.lasting and task.task_id not in self._reported

    def clear(self) -> None:
        """Forget everything, once all executors of the former owner are accounted for."""
        self._crashes_by_executor.clear()
        self._recorded_sites_by_task.clear()
        self._reported.clear()
