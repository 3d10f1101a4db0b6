"""Numbers the starts of tasks, across the owners of a shard."""

from .job_states import Job

# Run numbers begin at the epoch times this. An owner that starts more tasks uses numbers of the
# epochs that follow.
RUN_NUMBERS_PER_EPOCH = 100_000


class RunNumbers:
    """The run numbers of one ownership; each is higher than those before.

    An executor turns a start down whose number isn't higher than that of a run of the task that has
    ended there. A former owner's numbers may be higher than this epoch's first one; so this owner
    goes by all that are stored or reported, and far beyond one that is turned down.

    :param epoch: the number of the ownership.
    """

    def __init__(self, *, epoch: int) -> None:
        self._last = epoch * RUN_NUMBERS_PER_EPOCH

    def next(self) -> int:
        """The number of the next start."""
        self._last += 1
        return self._last

    def note_used(self, number: int) -> None:
        """Note that a number was used, by whichever owner."""
        self._last = max(self._last, number)

    def note_stored(self, job: Job) -> None:
        """Note the numbers in the stored progress of a job."""
        if not (job.has_failures or job.has_crashes):
            return
        for task in job.tasks():
            self.note_used(max((*task.failed_runs, *task.crashes), default=0))

    def note_too_low(self, number: int) -> None:
        """Note that a start was turned down because a run with a higher number has ended there."""
        self.note_used(number + RUN_NUMBERS_PER_EPOCH)
