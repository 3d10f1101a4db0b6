"""One owner's link to one executor: leases, starts, stops, and what the executor reports."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from . import cancellations, metrics
from .crashes import must_run_alone, trial_s
from .events import EventLog
from .executor_clocks import ExecutorClock
from .patience import OrdersUnderWay, Patience
from .ports import (
    Executors,
    Fenced,
    NoAnswer,
    OtherIncarnation,
    Refused,
    Started,
    StartRefused,
    Stopped,
)
from .runs import Run, RunPhase
from .tickets import Ticket
from .timers import Clock
from .workloads import EndRow, ExecutorEntry, Report, Room, RunRow, TaskId

# How long what runs goes on without hearing from its owner. It outlasts a takeover (some 2 s), and
# what ran on a crashed executor is started elsewhere after little more than this.
LEASE_S = 3.5
# A start that is carried out later than this is turned down by the executor; orders that executors
# hold back arrive 2 s late or more.
START_S = 1.5
START_TRIES = 3
# Starts that one executor, and all of a shard, may have under way at once; others wait their turn,
# and only then does their time run. Sent all at once, the last ones of a burst went out later than
# an answer is waited for, were taken for lost, repeated and stopped: an owner with half a core got
# no answer 6,991 times in 45 s. Two racks of 8 executors that answer nothing hold half of the 64.
STARTS_AN_EXECUTOR, STARTS_A_SHARD = 4, 64
# How long a look waits for an end where only lasting tasks run, or none. A connection that went
# silent is noticed after this and the patience for an answer, well before the lease lapses.
IDLE_WAIT_S = 1.0
# The same where tasks run that end by themselves: a look whose answer is lost hides their ends for
# as long, and a job of many tasks waits for each.
BUSY_WAIT_S = 0.3
# The same where a task runs of which it has to be seen whether it crashes its executor.
TRIAL_WAIT_S = 0.1
# The pause between looks at an executor that doesn't answer, and between repeated orders.
RETRY_S = 0.15
# How long a look's successor waits for the ends to be durable, so that it can acknowledge them: a
# few times what the store takes. A slow store takes longer than the ends that come next may wait.
ACKNOWLEDGE_S = 0.05
# An executor that lists ends that aren't acknowledged answers at once; it is asked this often.
BEHIND_S = 0.06
# An executor lists this many ends at once at the most.
MAX_LISTED_ENDS = 500
NOTHING = Room()


class LinkOwner(Protocol):
    """What a link tells its owner."""

    def on_end(self, link: "ExecutorLink", end: EndRow, run: Run | None) -> Ticket | None:
        """A run has ended; the ticket, if any, must be durable before it is acknowledged."""

    def room_of(self, task_id: TaskId) -> Room | None:
        """What a task takes of its executor's capacity; None if the task isn't known."""

    def on_unknown_row(self, link: "ExecutorLink", row: RunRow) -> Run | None:
        """A run is there that wasn't started by this owner; it is stopped unless adopted."""

    def on_lost(self, link: "ExecutorLink", run: Run, why: str) -> None:
        """A run is certainly not there any more, and no end of it will come."""

    def on_refused(self, link: "ExecutorLink", run: Run, why: str) -> None:
        """A start was turned down."""

    def on_report(self, link: "ExecutorLink") -> None:
        """The executor has answered, and the link is up to date."""

    def on_lapsed(self, link: "ExecutorLink") -> None:
        """The executor was silent until all leases have lapsed."""

    def on_gone(self, link: "ExecutorLink") -> None:
        """The executor is gone for good."""

    def on_closed(self, link: "ExecutorLink") -> None:
        """The executor has closed its connections, and doesn't answer."""

    def on_at_work(self, run: Run) -> None:
        """A run is seen at work for the first time."""

    def on_fenced(self, link: "ExecutorLink") -> None:
        """The executor obeys a later owner."""

    def authority_s(self) -> float:
        """For how many more seconds leases may be given."""

    def may_stop(self, run: Run) -> bool:
        """Whether a run that is to be stopped may be stopped at this moment."""


class ExecutorLink:
    """Keeps one executor's lease, and its reports up to date.

    :param entry: the executor.
    :param fence: the owner's fencing token.
    :param port: sends orders.
    :param owner: is told what happens.
    :param clock: the clocks to read.
    :param events: the process's log.
    :param starting: limits the starts that the shard has under way.
    :param under_way: counts them.
    :param lapse_at: steady time at which leases of former owners have surely lapsed.
    """

    def __init__(
        self,
        *,
        entry: ExecutorEntry,
        fence: int,
        port: Executors,
        owner: LinkOwner,
        clock: Clock,
        events: EventLog,
        starting: asyncio.Semaphore,
        under_way: OrdersUnderWay,
        lapse_at: float,
    ) -> None:
        self.entry = entry
        self.fence = fence
        self.up = False
        self.audited = False
        self.lapsed = False
        self.listed = True
        self.missing_since: float | None = None
        # Set while the fleet's owner empties the machine.
        self.closing = False
        # Set while the executor is kept for tasks that may crash it, and what was last started
        # there of these.
        self.reserved = False
        self.trial: Run | None = None
        # Whether its capacity is known well enough to start more.
        self.room_known = True
        self.durable: Ticket | None = None
        self.runs_by_key: dict[tuple[Any, int], Run] = {}
        self.used = Room()
        # What runs there that isn't this owner's, by the last report; None if its size isn't known.
        self.foreign: Room | None = NOTHING
        self.lasting_runs = 0
        self.pause_until = 0.0
        self.failures_in_a_row = 0
        self.failed_at = float("-inf")
        self.failed_jobs: set[str] = set()
        self.slow_marks = 0
        self.slow_jobs: set[str] = set()
        # The time of the executor's steady clock that its last report tells of.
        self.seen_s = 0.0
        # Steady time at which its last report came.
        self.heard_at = float("-inf")
        self._port = port
        self._owner = owner
        self._clock = clock
        self._events = events
        self._starting_here = asyncio.Semaphore(STARTS_AN_EXECUTOR)
        self._starting = starting
        self._under_way = under_way
        self._executor_clock = ExecutorClock()
        self._lapse_at = lapse_at
        self._silent = False
        self._patience = Patience()
        # Whether the last look got no answer, and may still arrive.
        self._looks_again = False
        self._acknowledged = 0
        self._seen_end = 0
        self._unacknowledged: list[tuple[int, Ticket | None]] = []
        self._strays: set[tuple[Any, int]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    @property
    def on_trial(self) -> bool:
        """Whether nothing may be started beside what was last started here, which may crash it."""
        run = self.trial
        if run is None or (run.task.task_id, run.number) not in self.runs_by_key:
            return False
        if not run.at_work:
            return True
        return must_run_alone(run.task) and not run.is_at_work(self.seen_s, trial_s(run.task))

    @property
    def free(self) -> Room:
        """What is left of the executor's capacity."""
        return self.entry.capacity.minus(self.used).minus(self.foreign or NOTHING)

    def holds(self, room: Room) -> bool:
        """Whether an amount fits into what is left of the capacity."""
        if self.foreign is None:
            return False
        capacity, used = self.entry.capacity, self.used
        if self.foreign != NOTHING:
            used = used.plus(self.foreign)
        return (
            capacity.cpu - used.cpu >= room.cpu
            and capacity.memory_mb - used.memory_mb >= room.memory_mb
            and capacity.gpus - used.gpus >= room.gpus
        )

    def add(self, run: Run) -> None:
        """Count a run against the capacity."""
        self.runs_by_key[run.task.task_id, run.number] = run
        self.used = self.used.plus(run.task.step.room)
        self.lasting_runs += run.task.step.lasting

    def remove(self, run: Run) -> None:
        """Give a run's part of the capacity back."""
        if self.runs_by_key.pop((run.task.task_id, run.number), None) is not None:
            self.used = self.used.minus(run.task.step.room)
            self.lasting_runs -= run.task.step.lasting

    def begin(self, run: Run, *, payload: str, ticket: str) -> None:
        """Start a run; what becomes of it is told to the owner."""
        self.add(run)
        self._spawn(self._start(run, payload, ticket), lambda: self._end_unstarted(run))

    def end(self, run: Run, why: str) -> None:
        """Stop a run; its end is told to the owner."""
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.why_stopped = why
        self._events.note(
            "run.stop",
            job=run.task.task_id.job,
            task=run.task.task_id,
            run=run.number,
            executor=self.entry.executor,
            why=why,
        )
        self._order_stop(run.task.task_id, run.number, run)

    def keep(self, run: Run, why: str) -> None:
        """Send no stop of a run any more."""
        run.phase = RunPhase.RUNNING
        self._events.note(
            "run.kept",
            job=run.task.task_id.job,
            task=run.task.task_id,
            run=run.number,
            executor=self.entry.executor,
            why=why,
        )

    def pace(self, run: Run, percent: int) -> None:
        """Let a run work at a share of its speed."""
        run.pace = percent
        self._spawn(self._pace(run, percent), lambda: self._forget_pace(run, percent))

    def close(self) -> None:
        """End all orders that are under way."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()

    async def run(self) -> None:
        """Hold the lease and take in reports until the executor is gone, or cancelled."""
        while True:
            outcome = await self._look()
            if isinstance(outcome, Fenced | OtherIncarnation):
                self._end_use(outcome)
                return
            if isinstance(outcome, Report):
                continue
            if isinstance(outcome, NoAnswer) and outcome.sent and not self._gives_up():
                continue
            self._miss(outcome)
            await self._clock.sleep(RETRY_S)

    def _gives_up(self) -> bool:
        """Whether one more look without an answer says something of the executor.

        Some of an executor's answers may be lost, or its orders be held up. Given a long time each,
        looks showed ends 1.6 s late, and executors that were well got nothing new for as long.
        """
        given_up = self._silent or self._patience.is_over
        self._looks_again = True
        self._patience.note_missed()
        return given_up

    async def _look(self) -> Report | Fenced | OtherIncarnation | Refused | NoAnswer:
        now = self._clock.monotonic()
        await self._acknowledge()
        until = self._until(now)
        behind = bool(self._unacknowledged)
        wait_s = 0.0 if until is None or behind or not self.audited else self._wait_s
        sent_at = self._clock.monotonic()
        outcome = await self._port.hold(
            self.entry,
            fence=self.fence,
            acknowledged=self._acknowledged,
            until_ms=until,
            wait_s=wait_s,
            patience_s=self._patience.seconds,
        )
        if isinstance(outcome, Report):
            self._looks_again = False
            # An answer that came before the wait was over, as something ended, counts as prompt.
            self._patience.note_answered(max(self._clock.monotonic() - sent_at - wait_s, 0.0))
            self._take_in(outcome, sent_at)
            if behind:
                # The store takes no ends just now; they stay with the executor until it does.
                await self._clock.sleep(BEHIND_S if self._is_busy else RETRY_S)
        return outcome

    @property
    def _is_busy(self) -> bool:
        """Whether tasks run there that end by themselves."""
        return len(self.runs_by_key) > self.lasting_runs

    @property
    def _wait_s(self) -> float:
        if self.on_trial:
            return TRIAL_WAIT_S
        return BUSY_WAIT_S if self._is_busy else IDLE_WAIT_S

    def _until(self, now: float) -> int | None:
        """The lease to ask for.

        A look that gets no answer may arrive late and still extend the lease. If each repetition
        asked for more, the lease of an executor that answers nothing would never surely lapse and
        what it ran could never be started elsewhere; so repetitions ask for nothing.
        """
        lease_s = min(LEASE_S, self._owner.authority_s())
        if self._silent or self._looks_again or lease_s <= 0:
            return None
        until = self._executor_clock.until(lease_s, now=now)
        if until is not None:
            self._executor_clock.granted(until)
        return until

    async def _acknowledge(self) -> None:
        waiting = [t.outcome for _, t in self._unacknowledged if t and not t.outcome.done()]
        if waiting:
            await asyncio.wait(waiting, timeout=ACKNOWLEDGE_S)
        while self._unacknowledged:
            number, ticket = self._unacknowledged[0]
            if ticket is not None and not ticket.durable:
                return
            self._acknowledged = number
            self._unacknowledged.pop(0)

    def _take_in(self, report: Report, sent_at: float) -> None:
        now = self._clock.monotonic()
        self._executor_clock.observe(report.clock_ms, now=now)
        self.seen_s = report.clock_ms / 1000
        self.heard_at = now
        if self._silent or not self.audited:
            self._events.note(
                "executor.up",
                executor=self.entry.executor,
                service=self.entry.service,
                fence=self.fence,
                running=len(report.running),
                ended=len(report.ended),
            )
        was_silent = self._silent
        self._silent = False
        self.lapsed = False
        for end in report.ended:
            self._take_end(end)
        listed = {(row.task, row.run) for row in report.running}
        for row in report.running:
            self._take_row(row, now)
        self.foreign = self._room_of_foreign(report)
        if len(report.ended) < MAX_LISTED_ENDS:
            self._drop_missing(listed, sent_at)
        self.up = True
        self.audited = True
        if was_silent:
            self.slow_marks = 0
        self._owner.on_report(self)

    def _take_end(self, end: EndRow) -> None:
        if end.number <= self._seen_end:
            return
        self._seen_end = end.number
        run = self.runs_by_key.get((end.task, end.run))
        if run is not None:
            self.remove(run)
        self._strays.discard((end.task, end.run))
        ticket = self._owner.on_end(self, end, run)
        self._unacknowledged.append((end.number, ticket))

    def _take_row(self, row: RunRow, now: float) -> None:
        key = (row.task, row.run)
        run = self.runs_by_key.get(key)
        if run is None:
            run = self._owner.on_unknown_row(self, row)
            if run is None:
                self._stop_stray(key)
                return
            run.confirmed_at = now
            run.phase = RunPhase.RUNNING
            run.sent = True
            self.add(run)
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
            run.confirmed_at = now
        run.note_begun(self.seen_s)
        if not run.at_work and run.is_at_work(self.seen_s):
            run.at_work = True
            self._owner.on_at_work(run)
        if row.percent != run.percent:
            run.percent = row.percent
            run.moved_s = self.seen_s
        if row.checkpoint:
            run.task.checkpoint = row.checkpoint
        run.load = row.load

    def _room_of_foreign(self, report: Report) -> Room | None:
        """What is listed and isn't this owner's: it takes room until its end is listed.

        A successor has the tasks of jobs that are over stopped, which takes as long as a stop may.
        Not counted, others would be started into their room at once.
        """
        room = NOTHING
        for row in report.running:
            if (row.task, row.run) in self.runs_by_key:
                continue
            taken = self._owner.room_of(row.task)
            if taken is None:
                return None
            room = room.plus(taken)
        return room

    def _drop_missing(self, listed: set[tuple[Any, int]], sent_at: float) -> None:
        for key, run in list(self.runs_by_key.items()):
            if key in listed or run.confirmed_at is None or run.confirmed_at >= sent_at:
                continue
            self.remove(run)
            self._owner.on_lost(self, run, "not listed")

    def _stop_stray(self, key: tuple[Any, int]) -> None:
        if key in self._strays:
            return
        self._strays.add(key)
        task_id, number = key
        self._events.note(
            "run.stray",
            vital=True,
            job=task_id.job,
            task=task_id,
            run=number,
            executor=self.entry.executor,
        )
        self._order_stop(task_id, number, None)

    def _miss(self, outcome: Refused | NoAnswer) -> None:
        now = self._clock.monotonic()
        if not self._silent:
            self._silent = True
            self.up = False
            self._events.note(
                "executor.lost",
                vital=True,
                executor=self.entry.executor,
                service=self.entry.service,
                why=outcome.detail,
                closed=isinstance(outcome, NoAnswer) and outcome.closed,
                runs=len(self.runs_by_key),
            )
            if isinstance(outcome, NoAnswer) and outcome.closed:
                self._owner.on_closed(self)
        lapsed_at = self._executor_clock.lapsed_at() if self.audited else self._lapse_at
        if lapsed_at is None or now < lapsed_at or self.lapsed:
            return
        self.lapsed = True
        self._events.note(
            "executor.lapsed",
            vital=True,
            executor=self.entry.executor,
            runs=len(self.runs_by_key),
        )
        for run in list(self.runs_by_key.values()):
            self.remove(run)
            self._owner.on_lost(self, run, "lease lapsed")
        self._owner.on_lapsed(self)

    async def _start(self, run: Run, payload: str, ticket: str) -> None:
        task = run.task
        unanswered = False
        for _ in range(START_TRIES):
            async with self._starting_here, self._starting:
                if (task.task_id, run.number) not in self.runs_by_key:
                    # Given up while it waited: its task may run elsewhere by now.
                    return
                if run.phase is not RunPhase.STARTING:
                    return
                if not self.free.holds(NOTHING) and unanswered:
                    break
                why_not = self._why_not_sent()
                if why_not and not unanswered:
                    self.remove(run)
                    self._owner.on_lost(self, run, why_not)
                    return
                outcome = await self._order_start(run, payload, ticket)
            metrics.run_starts.add(1, {"outcome": type(outcome).__name__})
            if isinstance(outcome, Started):
                run.note_begun(outcome.clock_ms / 1000)
                self._confirm(run)
                return
            if isinstance(outcome, StartRefused | Refused):
                if unanswered:
                    # An earlier try may have been carried out, and the run have ended since: an
                    # executor turns the repeat down as old, and the task would be run again.
                    break
                self._refuse(run, outcome)
                return
            if isinstance(outcome, Fenced | OtherIncarnation):
                self._end_use(outcome)
                return
            unanswered = unanswered or outcome.sent
            self._patience.note_missed()
            self._events.note(
                "run.unanswered",
                vital=True,
                job=task.task_id.job,
                task=task.task_id,
                run=run.number,
                executor=self.entry.executor,
                why=outcome.detail,
            )
        # Nobody can tell whether it runs. A stop that is answered settles it: either the end is
        # listed, or the start is turned down when it arrives.
        self.end(run, "start unanswered")

    def _why_not_sent(self) -> str:
        """Why a start whose turn has come had better not be sent; empty if it may be."""
        if self._silent:
            # It certainly didn't happen, so its task needn't wait for the lease to lapse; and each
            # try would stretch the time for which the lease may last.
            return "not sent"
        if not self.free.holds(NOTHING):
            # The capacity has shrunk since; an executor that doesn't guard it would start it.
            return "no room any more"
        return ""

    async def _order_start(
        self, run: Run, payload: str, ticket: str
    ) -> Started | StartRefused | Fenced | OtherIncarnation | Refused | NoAnswer:
        task = run.task
        until = self._executor_clock.until(START_S, now=self._clock.monotonic())
        assert until is not None
        self._executor_clock.granted(until)
        self._under_way.count += 1
        sent_before, run.sent = run.sent, True
        sent_at = self._clock.monotonic()
        try:
            outcome = await self._port.start(
                self.entry,
                task=task.task_id,
                run=run.number,
                payload=payload,
                until_ms=until,
                fence=self.fence,
                checkpoint=task.checkpoint,
                ticket=ticket,
                patience_s=self._patience.beside(self._under_way.count),
            )
        finally:
            self._under_way.count -= 1
        if not isinstance(outcome, NoAnswer):
            self._patience.note_answered(self._clock.monotonic() - sent_at)
        elif not outcome.sent:
            run.sent = sent_before
        return outcome

    def _end_use(self, outcome: Fenced | OtherIncarnation) -> None:
        if isinstance(outcome, Fenced):
            self._owner.on_fenced(self)
        else:
            self._owner.on_gone(self)

    def _confirm(self, run: Run) -> None:
        if (run.task.task_id, run.number) not in self.runs_by_key:
            return
        run.confirmed_at = self._clock.monotonic()
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING

    def _refuse(self, run: Run, outcome: StartRefused | Refused) -> None:
        why = outcome.reason if isinstance(outcome, StartRefused) else outcome.detail
        if isinstance(outcome, StartRefused) and outcome.clock_ms is not None:
            self._executor_clock.observe(outcome.clock_ms, now=self._clock.monotonic())
        if (run.task.task_id, run.number) in self.runs_by_key:
            self.remove(run)
            self._owner.on_refused(self, run, why)

    def _end_unstarted(self, run: Run) -> None:
        # Its start may have arrived or not. Left as it is, it would be placed nowhere else, and its
        # job never end; the stop settles it.
        known = (run.task.task_id, run.number) in self.runs_by_key
        if known and run.phase is RunPhase.STARTING:
            self.end(run, "start failed")

    def _order_stop(
        self, task_id: Any, number: int, run: Run | None, *, pause_s: float = 0.0
    ) -> None:
        """Have a run stopped; a stop that fails is ordered again, or the run would go on."""
        self._spawn(
            self._stop(task_id, number, run, pause_s),
            lambda: self._order_stop(task_id, number, run, pause_s=RETRY_S),
        )

    async def _stop(self, task_id: Any, number: int, run: Run | None, pause_s: float) -> None:
        if pause_s:
            await self._clock.sleep(pause_s)
        unanswered = False
        while run is None or await self._has_leave_to_stop(run):
            outcome = await self._port.stop(self.entry, task=task_id, run=number, fence=self.fence)
            if isinstance(outcome, Stopped):
                if run is not None and run.confirmed_at is None:
                    run.confirmed_at = self._clock.monotonic()
                self._strays.discard((task_id, number))
                return
            if isinstance(outcome, Fenced | OtherIncarnation):
                self._end_use(outcome)
                return
            if isinstance(outcome, Refused):
                self._note_stop("run.stop_refused", task_id, number, outcome.detail)
            elif not unanswered:
                # Repeated each 0.15 s; one line tells of all.
                self._note_stop("run.stop_unanswered", task_id, number, outcome.detail)
            unanswered = True
            if run is None and self.lapsed:
                return
            if run is not None:
                run.unanswered_at = self._clock.monotonic()
            await self._clock.sleep(RETRY_S)

    async def _has_leave_to_stop(self, run: Run) -> bool:
        """Wait until a run may be stopped; False once it is gone, or is kept."""
        told = False
        while (run.task.task_id, run.number) in self.runs_by_key:
            if self._owner.may_stop(run):
                return True
            if run.phase is not RunPhase.STOPPING:
                return False
            if not told:
                self._note_stop("run.stop_waits", run.task.task_id, run.number, run.why_stopped)
            told = True
            await self._clock.sleep(RETRY_S)
        return False

    def _note_stop(self, event: str, task_id: TaskId, number: int, why: str) -> None:
        self._events.note(
            event,
            vital=event == "run.stop_refused",
            job=task_id.job,
            task=task_id,
            run=number,
            executor=self.entry.executor,
            why=why,
        )

    async def _pace(self, run: Run, percent: int) -> None:
        outcome = await self._port.pace(
            self.entry, task=run.task.task_id, run=run.number, percent=percent, fence=self.fence
        )
        if not isinstance(outcome, Stopped):
            self._forget_pace(run, percent)

    def _forget_pace(self, run: Run, percent: int) -> None:
        if run.pace == percent:
            # Not known to be in force: the next look at the run's speed orders it again.
            run.pace = -1

    def _spawn(self, work: Coroutine[Any, Any, None], on_failure: Callable[[], None]) -> None:
        """Run an order.

        :param on_failure: called when it ends by an error, or by a cancellation nobody asked for.
        """
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(lambda _: self._reap(task, on_failure))

    def _reap(self, task: asyncio.Task[None], on_failure: Callable[[], None]) -> None:
        self._tasks.discard(task)
        failure = cancellations.failure_of(task)
        if failure is None:
            return
        self._events.note(
            "order.failed", vital=True, executor=self.entry.executor, why=repr(failure)
        )
        if not self._closed:
            on_failure()
