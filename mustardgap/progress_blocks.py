"""Which records hold the progress of a job that is stored in blocks of its tasks."""

from collections.abc import Iterator
from itertools import accumulate
from typing import NamedTuple

from .job_states import Job, Task
from .tickets import Ticket
from .workloads import JobId

# The prefix of the keys of blocks, and of tasks that have a record of their own.
BLOCK_KEY = "t/"
BLOCK_TASKS = 64


class BlockPlace(NamedTuple):
    """A block of the tasks of one occurrence of a job, or one task of it, by position."""

    job: JobId
    occurrence: int
    block: int
    position: int | None = None

    @property
    def key(self) -> str:
        """The key of its record."""
        part = "" if self.position is None else f".{self.position}"
        return f"{BLOCK_KEY}{self.job}/{self.occurrence}.{self.block}{part}"


def parse_place(key: str) -> BlockPlace:
    """The place that a key of a record names.

    :raises ValueError: it isn't such a key.
    """
    job, _, place = key.removeprefix(BLOCK_KEY).rpartition("/")
    numbers = [int(number) for number in place.split(".")]
    if not job or len(numbers) not in (2, 3) or min(numbers) < 0:
        raise ValueError(f"not the key of a block: {key}")
    return BlockPlace(job, *numbers)


class ProgressBlocks:
    """The blocks of one job.

    :param job: the job.
    """

    def __init__(self, *, job: Job) -> None:
        # The job's own record that goes with the blocks; empty while the stored one may hold
        # progress that they lack.
        self.head = b""
        self.head_ticket: Ticket | None = None
        # The records that may be stored, by place, with a checksum of the newest; None if a former
        # owner wrote it.
        self.checksums: dict[BlockPlace, int | None] = {}
        # Tasks whose checkpoint is too large to be stored.
        self.unstored: set[Task] = set()
        self._job = job
        # How many tasks of an occurrence precede each step.
        self._first_by_step = list(accumulate((s.width for s in job.spec.steps), initial=0))
        self._tasks_by_occurrence: dict[int, list[Task]] = {}
        self._turn = 0

    def place_of(self, task: Task) -> BlockPlace:
        """The block of a task."""
        index = self._first_by_step[task.task_id.step] + task.task_id.number
        occurrence = task.task_id.occurrence
        return BlockPlace(self._job.job_id, occurrence, index // BLOCK_TASKS)

    def tasks_at(self, place: BlockPlace) -> list[Task]:
        """The tasks of a block, in their positions."""
        tasks = self._tasks_of(place.occurrence)
        return tasks[place.block * BLOCK_TASKS : (place.block + 1) * BLOCK_TASKS]

    def all_places(self) -> Iterator[BlockPlace]:
        """All blocks of the occurrences that have been opened."""
        for occurrence, _ in self._job.occurrences():
            for block in range(self._count(occurrence)):
                yield BlockPlace(self._job.job_id, occurrence, block)

    def next_in_turn(self) -> BlockPlace:
        """Each block in its turn, so that all are stored again sooner or later."""
        occurrences = [occurrence for occurrence, _ in self._job.occurrences()]
        each = self._count(occurrences[0])
        self._turn = (self._turn + 1) % (each * len(occurrences))
        occurrence = occurrences[self._turn // each]
        return BlockPlace(self._job.job_id, occurrence, self._turn % each)

    def _tasks_of(self, occurrence: int) -> list[Task]:
        tasks = self._tasks_by_occurrence.get(occurrence)
        if tasks is None:
            tasks = [task for tasks in self._job.steps_of(occurrence) for task in tasks]
            self._tasks_by_occurrence[occurrence] = tasks
        return tasks

    def _count(self, occurrence: int) -> int:
        return -(-len(self._tasks_of(occurrence)) // BLOCK_TASKS)
