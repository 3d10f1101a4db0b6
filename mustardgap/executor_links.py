"""A shard owner's connection to one executor: leases, starts, stops and reports."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from . import cancellations, metrics
from .adaptive_timeouts import AdaptiveTimeout, OrdersInFlight
from .crashes import must_run_alone, trial_s
from .events import EventLog
from .executor_clocks import ExecutorClock
from .executor_lives import (
    CONFIRMED_FOR_ENDS_S,
    CONFIRMED_FOR_STARTS_S,
    Incarnation,
    compare_starts,
)
from .executor_speeds import SpeedEstimate
from .loop_monitors import work_times
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
from .report_accounts import MAX_LISTED_ENDS, Account, ReportAccounts
from .resources import NO_ROOM, Room
from .runs import Run, RunPhase, Stray
from .tickets import Ticket
from .timers import Clock
from .workloads import EndRow, ExecutorEntry, Report, RunRow, TaskId

# How long runs continue without a lease renewal. The lease has to outlast a takeover of the shard
# (about 2 s); tasks of a crashed executor are restarted elsewhere shortly after it lapses.
LEASE_S = 3.5
# An executor refuses a start order that it processes later than this. Orders that executors delay
# are processed at least 2 s late.
START_VALIDITY_S = 1.5
MAX_START_ATTEMPTS = 3
# Limits on concurrent start orders, per executor and per shard. Further starts queue, and their
# validity begins only when they are sent. Without the limits, the last orders of a burst went out
# after their answer timeout, so they counted as lost and were repeated and stopped: an owner with
# half a core counted 6,991 missing answers in 45 s. Two racks of 8 unresponsive executors occupy
# half of the 64.
MAX_STARTS_PER_EXECUTOR, MAX_STARTS_PER_SHARD = 4, 64
# How long a poll waits at the executor for a run to end, if only lasting tasks run there or none. A
# connection that went silent is noticed after this time plus the answer timeout, well before the
# lease lapses.
IDLE_POLL_WAIT_S = 1.0
# How long a poll waits if any run there ends by itself. A poll whose answer is lost hides ended
# runs for this long, and a job of many tasks waits for all of them.
BUSY_POLL_WAIT_S = 0.3
# How long a poll waits while a task runs that is suspected of crashing its executor.
TRIAL_POLL_WAIT_S = 0.1
# The pause between polls of an executor that doesn't answer, and between repeated orders.
RETRY_S = 0.15
# How long a poll is delayed until the ends of the previous report are stored and can be
# acknowledged: a few times a normal append. If the store is slower, the poll is sent without the
# acknowledgement, as waiting longer would delay the ends that come next.
ACKNOWLEDGE_WAIT_S = 0.05
# The pause between polls of a busy executor while ends are unacknowledged, as it then answers
# without waiting.
BACKLOG_POLL_S = 0.06
# An order without an answer may be carried out this much later.
MAX_ORDER_DELAY_S = 10.0


class LinkOwner(Protocol):
    """Callbacks from a link to the owner of its shard."""

    def on_end(self, link: "ExecutorLink", end: EndRow, run: Run | None) -> Ticket | None:
        """Handle the end of a run.

        :return: the ticket that has to be durable before the end is acknowledged, None for none.
        """

    def room_of(self, task_id: TaskId) -> Room | None:
        """The share of its executor's capacity that a task uses; None if the task is unknown."""

    def on_unknown_row(self, link: "ExecutorLink", row: RunRow) -> Run | Stray:
        """Handle a run that this owner didn't start.

        :return: the adopted run, or why it isn't adopted and has to be stopped.
        """

    def on_lost(self, link: "ExecutorLink", run: Run, why: str) -> None:
        """A run no longer exists on its executor, and its end won't be reported."""

    def on_refused(self, link: "ExecutorLink", run: Run, why: str) -> None:
        """A start was refused."""

    def on_report(self, link: "ExecutorLink") -> None:
        """The executor has answered, and its report has been applied."""

    def on_lapsed(self, link: "ExecutorLink") -> None:
        """The executor didn't answer until all of its leases had lapsed."""

    def on_gone(self, link: "ExecutorLink") -> None:
        """Another executor answers at the address: this one no longer exists."""

    def on_restarted(self, link: "ExecutorLink", started_ms: int, *, ends_hidden: bool) -> None:
        """A newer incarnation of the executor has answered.

        :param started_ms: when it started.
        :param ends_hidden: whether an acknowledgement for the former one has reached it.
        """

    def lists_start(self, link: "ExecutorLink", started_ms: int | None) -> bool:
        """Whether the list of executors has this start for the executor."""

    def on_start_learned(self, link: "ExecutorLink") -> None:
        """The executor has stated for the first time when it started."""

    def on_closed(self, link: "ExecutorLink") -> None:
        """The executor closed its connections and doesn't answer."""

    def on_at_work(self, run: Run) -> None:
        """A run is reported at work for the first time."""

    def on_fenced(self, link: "ExecutorLink") -> None:
        """The executor rejects this owner, as it knows a higher fencing token."""

    def authority_s(self) -> float:
        """For how many more seconds this owner may grant leases."""

    def unconfirmed_s(self) -> float:
        """Seconds since the request by which the store last confirmed this owner."""

    async def owned_at(self, at: float) -> bool:
        """Whether the shard certainly had no later owner at a monotonic time that has passed."""

    def may_stop(self, run: Run) -> bool:
        """Whether a stop of a run may be sent now."""


class ExecutorLink:
    """Renews one executor's lease and applies its reports.

    :param entry: the executor.
    :param fence: the owner's fencing token.
    :param port: sends orders to executors.
    :param owner: receives the link's callbacks.
    :param clock: the clocks to read.
    :param events: the process's event log.
    :param shard_starts: limits the concurrent start orders of the shard.
    :param orders_in_flight: counts the unanswered start orders of the shard.
    :param inherited_lapse_at: monotonic time in seconds by which all leases of former owners have
        lapsed.
    :param unknown_lease_s: the length of a lease that orders for a former incarnation may have
        granted.
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
        shard_starts: asyncio.Semaphore,
        orders_in_flight: OrdersInFlight,
        inherited_lapse_at: float,
        unknown_lease_s: float = 0.0,
    ) -> None:
        self.entry = entry
        self.fence = fence
        self.up = False
        self.has_reported = False
        self.lapsed = False
        self.listed = True
        self.missing_since: float | None = None
        # Set while the fleet's owner wants the machine emptied.
        self.closing = False
        # Whether its rack has failed, so that it probably won't answer either.
        self.rack_failed = False
        # Whether its rack has failed or is suspected to have, so that nothing should be started.
        self.rack_doubtful = False
        # Whether the executor is reserved for tasks suspected of crashing their executors.
        self.reserved = False
        # The last suspected run that was started here.
        self.trial: Run | None = None
        # Whether the known capacity is recent enough to start more runs.
        self.room_known = True
        # Set when an acknowledgement for a former incarnation has reached this one. It may hide the
        # ends of runs, which would be started a second time.
        self.ends_hidden = False
        # The start of a newer incarnation that is listed while a poll with an acknowledgement is
        # under way. Its outcome shows whether the acknowledgement reached the newer one.
        self.newer_start_ms: int | None = None
        # Until when, in monotonic time, a poll without an answer may still reach a newer
        # incarnation: with a lease by another clock, or an acknowledgement that hides its ends.
        self._late_lease_until = float("-inf")
        self._late_acknowledgement_until = float("-inf")
        self.entry_record: Ticket | None = None
        self.runs_by_key: dict[tuple[Any, int], Run] = {}
        self.used = Room()
        # Resources used by runs of other owners in the last report; None if unknown.
        self.foreign: Room | None = NO_ROOM
        # The tasks of those runs.
        self.foreign_tasks: tuple[TaskId, ...] = ()
        self.lasting_runs = 0
        self.pause_until = 0.0
        self.consecutive_failures = 0
        self.failed_at = float("-inf")
        self.failed_jobs: set[str] = set()
        self.speed = SpeedEstimate()
        self.slow_marks = 0
        self.slow_jobs: set[str] = set()
        # The executor's monotonic clock in the last report, in seconds.
        self.report_clock_s = 0.0
        # This process's monotonic time when the last report arrived.
        self.last_report_at = float("-inf")
        # Until when, in monotonic time, the incarnation is known to have been there. An answer may
        # have lain unread while this process was paused, so this is when it was due at the latest.
        self._confirmed_at = float("-inf")
        # When the first poll since the last report was found unanswered, in monotonic seconds; None
        # if none was.
        self.unanswered_since: float | None = None
        self._port = port
        self._owner = owner
        self._clock = clock
        self._events = events
        self._executor_starts = asyncio.Semaphore(MAX_STARTS_PER_EXECUTOR)
        self._shard_starts = shard_starts
        self._orders_in_flight = orders_in_flight
        self._executor_clock = ExecutorClock(unknown_lease_s=unknown_lease_s)
        self._inherited_lapse_at = inherited_lapse_at
        self._silent = False
        self._answer_timeout = AdaptiveTimeout()
        # Whether the last poll got no answer, so that it may still reach the executor.
        self._poll_unanswered = False
        self._acknowledged_number = 0
        self._last_end_number = 0
        self._unacknowledged: list[tuple[int, Ticket | None]] = []
        self._strays: set[tuple[Any, int]] = set()
        self.accounts = ReportAccounts()
        # The runs that the last report listed.
        self._listed_runs: set[tuple[Any, int]] = set()
        # The end number that the poll under way acknowledges.
        self._number_under_way = 0
        self._lease_under_way = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    @property
    def on_trial(self) -> bool:
        """Whether a suspected run is being observed, so that nothing may be started beside it."""
        run = self.trial
        if run is None or (run.task.task_id, run.number) not in self.runs_by_key:
            return False
        if not run.at_work:
            return True
        return must_run_alone(run.task) and not run.is_at_work(
            self.report_clock_s, trial_s(run.task)
        )

    @property
    def incarnation_usable(self) -> bool:
        """Whether runs may be started on the known incarnation of the executor."""
        return not self.ends_hidden and self.newer_start_ms is None

    @property
    def may_extend_lease(self) -> bool:
        """Whether a poll that extends the lease may still reach a newer incarnation."""
        return self._lease_under_way or self._clock.monotonic() < self._late_lease_until

    @property
    def may_hide_ends(self) -> bool:
        """Whether an acknowledgement may still reach a newer incarnation."""
        return self._clock.monotonic() < self._late_acknowledgement_until

    @property
    def is_acknowledging(self) -> bool:
        """Whether a poll is under way that acknowledges ends."""
        return self._number_under_way > 0

    @property
    def silent(self) -> bool:
        """Whether the executor didn't answer several polls in a row."""
        return self._silent

    @property
    def free(self) -> Room:
        """The unused capacity of the executor."""
        return self.entry.capacity.minus(self.used).minus(self.foreign or NO_ROOM)

    def holds(self, room: Room) -> bool:
        """Whether an amount of resources fits into the unused capacity."""
        if self.foreign is None:
            return False
        capacity, used = self.entry.capacity, self.used
        if self.foreign != NO_ROOM:
            used = used.plus(self.foreign)
        return (
            capacity.cpu - used.cpu >= room.cpu
            and capacity.memory_mb - used.memory_mb >= room.memory_mb
            and capacity.gpus - used.gpus >= room.gpus
        )

    def add(self, run: Run) -> None:
        """Reserve capacity for a run."""
        self.runs_by_key[run.task.task_id, run.number] = run
        self.used = self.used.plus(run.task.step.room)
        self.lasting_runs += run.task.step.lasting

    def remove(self, run: Run) -> None:
        """Release the capacity of a run."""
        if self.runs_by_key.pop((run.task.task_id, run.number), None) is not None:
            self.used = self.used.minus(run.task.step.room)
            self.lasting_runs -= run.task.step.lasting

    def start_run(self, run: Run, *, payload: str, ticket: str) -> None:
        """Start a run; the outcome is reported to the owner."""
        self.add(run)
        self._spawn(self._start(run, payload, ticket), lambda: self._settle_failed_start(run))

    def stop_run(self, run: Run, why: str) -> None:
        """Stop a run; its end is reported to the owner."""
        if run.phase in (RunPhase.STOPPING, RunPhase.ENDED):
            return
        run.phase = RunPhase.STOPPING
        run.stop_reason = why
        self._events.note(
            "run.stop",
            job=run.task.task_id.job,
            task=run.task.task_id,
            run=run.number,
            executor=self.entry.executor,
            why=why,
        )
        self._order_stop(run.task.task_id, run.number, run)

    def cancel_stop(self, run: Run, why: str) -> None:
        """Withdraw the stop of a run, so that it isn't sent again."""
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
        """Set the speed of a run.

        :param percent: the share of its full speed.
        """
        run.pace = percent
        self._spawn(self._pace(run, percent), lambda: self._reset_pace(run, percent))

    def take_over_uncertain(self, former: "ExecutorLink") -> None:
        """Take over the runs that may have been started on this incarnation instead of the former.

        Their start was sent, and no report of the former incarnation listed them. A stop settles
        whether they exist: either the end is reported, or the start is refused when it arrives.
        """
        for run in former.uncertain_runs():
            former.remove(run)
            run.link = self
            run.phase = RunPhase.STARTING
            run.confirmed_at = run.first_seen_s = None
            run.at_work = False
            run.percent = 0
            run.speed_sampled = False
            self.add(run)
            self.stop_run(run, "start may have reached a newer incarnation")

    def uncertain_runs(self) -> list[Run]:
        """The runs whose start was sent and that no report has listed."""
        return [
            run
            for key, run in self.runs_by_key.items()
            if run.sent and key not in self._listed_runs and run.phase is not RunPhase.ENDED
        ]

    def close(self) -> None:
        """Cancel all orders in flight."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()

    async def run(self) -> None:
        """Renew the lease and apply reports until cancelled, fenced off or the executor is gone."""
        while True:
            outcome = await self._poll()
            if isinstance(outcome, Fenced | OtherIncarnation):
                self._notify_unusable(outcome)
                return
            if self.newer_start_ms is not None and not self._closed:
                hidden = self.may_hide_ends
                self._owner.on_restarted(self, self.newer_start_ms, ends_hidden=hidden)
            if self._closed:
                return
            if isinstance(outcome, Report):
                continue
            if self.unanswered_since is None:
                self.unanswered_since = self._clock.monotonic()
            if isinstance(outcome, NoAnswer) and outcome.sent and not self._note_unanswered_poll():
                continue
            await self._note_silence(outcome)
            await self._clock.sleep(RETRY_S)

    def _note_unanswered_poll(self) -> bool:
        """Extend the answer timeout after a poll that got no answer.

        Single answers may be lost and single orders delayed, so polls are repeated after a short
        timeout first. With a fixed long timeout, ends were seen 1.6 s late and healthy executors
        got no new runs meanwhile.

        :return: whether the executor now counts as silent: the poll had the longest timeout.
        """
        is_silent = self._silent or self._answer_timeout.is_at_max
        self._poll_unanswered = True
        self._answer_timeout.note_unanswered()
        return is_silent

    async def _poll(self) -> Report | Fenced | OtherIncarnation | Refused | NoAnswer:
        now = self._clock.monotonic()
        await self._acknowledge()
        acknowledged = self._acknowledged_number if self._is_confirmed() else 0
        until_ms = self._lease_until_ms(now)
        has_backlog = bool(self._unacknowledged)
        wait_s = (
            0.0 if until_ms is None or has_backlog or not self.has_reported else self._poll_wait_s
        )
        sent_at = self._clock.monotonic()
        self._number_under_way = acknowledged
        self._lease_under_way = until_ms is not None
        outcome = await self._port.hold(
            self.entry,
            fence=self.fence,
            acknowledged=acknowledged,
            until_ms=until_ms,
            wait_s=wait_s,
            patience_s=self._answer_timeout.seconds,
        )
        self._number_under_way = 0
        self._lease_under_way = False
        if isinstance(outcome, NoAnswer) and outcome.sent and not outcome.closed:
            # If it was closed, it reached nobody, or a process that has ended.
            late_until = self._clock.monotonic() + MAX_ORDER_DELAY_S
            if acknowledged:
                self._late_acknowledgement_until = late_until
            if until_ms is not None:
                self._late_lease_until = late_until
        if isinstance(outcome, Report):
            incarnation = compare_starts(self.entry.started_ms, outcome.started_ms)
            has_restarted = incarnation is Incarnation.NEWER or (
                # The machine's wall clock was set back. Nothing of the known incarnation can run.
                incarnation is Incarnation.OLDER
                and self.lapsed
                and self._owner.lists_start(self, outcome.started_ms)
            )
            if incarnation is Incarnation.OLDER and not has_restarted:
                return NoAnswer(sent=True, detail="an older incarnation answered")
            if has_restarted and outcome.started_ms is not None:
                ends_hidden = acknowledged > 0 or self.may_hide_ends
                if until_ms is not None:
                    self._late_lease_until = self._clock.monotonic() + MAX_ORDER_DELAY_S
                self._owner.on_restarted(self, outcome.started_ms, ends_hidden=ends_hidden)
                return outcome
            self._learn_start(outcome.started_ms)
            self._confirmed_at = min(sent_at + wait_s, self._clock.monotonic())
            self._poll_unanswered = False
            # An answer that came early, because a run ended, counts as immediate.
            self._answer_timeout.note_answered(max(self._clock.monotonic() - sent_at - wait_s, 0.0))
            with work_times.measure("reports"):
                self._apply_report(outcome, sent_at)
            if has_backlog:
                # The store isn't accepting records; the executor keeps the ends until it does.
                await self._clock.sleep(BACKLOG_POLL_S if self._is_busy else RETRY_S)
        return outcome

    def _is_confirmed(self) -> bool:
        """Whether an acknowledgement can be expected to reach the incarnation that has reported."""
        if self.entry.started_ms is None:
            return True
        if self._silent or self._poll_unanswered:
            return False
        return self._clock.monotonic() - self._confirmed_at <= CONFIRMED_FOR_ENDS_S

    def _learn_start(self, started_ms: int | None) -> None:
        if started_ms is not None and self.entry.started_ms is None:
            self.entry = self.entry._replace(started_ms=started_ms)
            self._owner.on_start_learned(self)

    @property
    def _is_busy(self) -> bool:
        """Whether any run on the executor ends by itself."""
        return len(self.runs_by_key) > self.lasting_runs

    @property
    def _poll_wait_s(self) -> float:
        if self.on_trial:
            return TRIAL_POLL_WAIT_S
        return BUSY_POLL_WAIT_S if self._is_busy else IDLE_POLL_WAIT_S

    def _lease_until_ms(self, now: float) -> int | None:
        """The lease to request, or None to request no extension.

        A poll without an answer may arrive late and still extend the lease. If each repetition
        requested an extension, the lease of an unresponsive executor could never be known to have
        lapsed and its tasks could never be restarted elsewhere. So only the first poll does.

        :return: the end of the lease by the executor's clock, in ms.
        """
        lease_s = min(LEASE_S, self._owner.authority_s())
        if self._silent or self._poll_unanswered or lease_s <= 0:
            return None
        until_ms = self._executor_clock.deadline_ms(lease_s, now=now)
        if until_ms is not None:
            self._executor_clock.note_granted(until_ms)
        return until_ms

    async def _acknowledge(self) -> None:
        waiting = [t.outcome for _, t in self._unacknowledged if t and not t.outcome.done()]
        if waiting:
            await asyncio.wait(waiting, timeout=ACKNOWLEDGE_WAIT_S)
        while self._unacknowledged:
            number, ticket = self._unacknowledged[0]
            if ticket is not None and not ticket.durable:
                return
            self._acknowledged_number = number
            self._unacknowledged.pop(0)

    def _apply_report(self, report: Report, sent_at: float) -> None:
        now = self._clock.monotonic()
        self._executor_clock.observe(report.clock_ms, now=now)
        self.report_clock_s = report.clock_ms / 1000
        self.last_report_at = now
        if self._silent or not self.has_reported:
            self._events.note(
                "executor.up",
                executor=self.entry.executor,
                service=self.entry.service,
                fence=self.fence,
                running=len(report.running),
                ended=len(report.ended),
                all_ends=len(report.ended) < MAX_LISTED_ENDS,
            )
        was_silent = self._silent
        self._silent = False
        self.unanswered_since = None
        self.lapsed = False
        for end in report.ended:
            self._apply_end(end)
        listed = self._listed_runs = {(row.task, row.run) for row in report.running}
        for row in report.running:
            self._apply_row(row, now)
        account = Account(listed, sent_at, received_at=now)
        if self.accounts.note_report(report, account):
            self._drop_missing(account)
        else:
            self._note_unlisted_ends(account)
        self._note_foreign(report)
        self.up = True
        self.has_reported = True
        if was_silent:
            self.slow_marks = 0
        self._owner.on_report(self)

    def _apply_end(self, end: EndRow) -> None:
        if end.number <= self._last_end_number:
            return
        self._last_end_number = end.number
        run = self.runs_by_key.get((end.task, end.run))
        if run is not None:
            self.remove(run)
        self._strays.discard((end.task, end.run))
        ticket = self._owner.on_end(self, end, run)
        self._unacknowledged.append((end.number, ticket))
        if account := self.accounts.note_end(end, run):
            self._drop_missing(account)

    def _apply_row(self, row: RunRow, now: float) -> None:
        key = (row.task, row.run)
        run = self.runs_by_key.get(key)
        if run is None:
            adopted = self._owner.on_unknown_row(self, row)
            if isinstance(adopted, Stray):
                self._stop_stray(key, adopted.why)
                return
            run = adopted
            run.confirmed_at = now
            run.phase = RunPhase.RUNNING
            run.sent = True
            self.add(run)
        if run.phase is RunPhase.STARTING:
            run.confirmed_at = now
        if run.phase in (RunPhase.STARTING, RunPhase.ENDED):
            run.phase = RunPhase.RUNNING
        run.note_first_seen(self.report_clock_s)
        if not run.at_work and run.is_at_work(self.report_clock_s):
            run.at_work = True
            self._owner.on_at_work(run)
        if row.percent != run.percent:
            run.percent = row.percent
            run.progress_changed_s = self.report_clock_s
        if row.checkpoint:
            run.task.checkpoint = row.checkpoint
        run.load = row.load

    def _note_foreign(self, report: Report) -> None:
        """Note the runs that aren't this owner's, and what they use.

        Those whose ends may not be listed yet count on.
        """
        foreign = [r.task for r in report.running if (r.task, r.run) not in self.runs_by_key]
        if not self.accounts.lists_all_ends:
            known = {*foreign, *(end.task for end in report.ended)}
            foreign += [task for task in self.foreign_tasks if task not in known]
        self.foreign_tasks = tuple(foreign)
        # Former owners' runs whose ends aren't listed yet are unknown.
        self.foreign = self._sum_foreign() if self.accounts.any_full else None

    def _sum_foreign(self) -> Room | None:
        """The resources of reported runs that aren't this owner's.

        They are in use until their end is reported: a new owner stops the tasks of ended jobs,
        which takes up to the stop timeout. If they weren't counted, new tasks would be started into
        their capacity at once.

        :return: the sum, None if the size of one is unknown.
        """
        room = NO_ROOM
        for task_id in self.foreign_tasks:
            taken = self._owner.room_of(task_id)
            if taken is None:
                return None
            room = room.plus(taken)
        return room

    def _missing_runs(self, account: Account) -> list[Run]:
        """The runs that were gone from the executor as it made a report."""
        return [
            run
            for key, run in self.runs_by_key.items()
            if key not in account.listed
            and run.confirmed_at is not None
            and run.confirmed_at < account.sent_at
        ]

    def _drop_missing(self, account: Account) -> None:
        for run in self._missing_runs(account):
            self.remove(run)
            self._owner.on_lost(self, run, "not listed")

    def _note_unlisted_ends(self, account: Account) -> None:
        """Count the runs as ended whose ends are still to be listed.

        Taken for running, they would look stalled, and be blamed for a crash of their executor.
        """
        for run in self._missing_runs(account):
            run.at_work = False
            if run.phase is not RunPhase.STOPPING:
                run.phase = RunPhase.ENDED

    def _stop_stray(self, key: tuple[Any, int], why: str) -> None:
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
            why=why,
        )
        self._order_stop(task_id, number, None)

    async def _note_silence(self, outcome: Refused | NoAnswer) -> None:
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
        lapsed_at = self._lapsed_at()
        if lapsed_at is None or now < lapsed_at or self.lapsed:
            return
        if not await self._owner.owned_at(lapsed_at):
            # A later owner may have renewed the leases, and the runs go on.
            return
        if self._lapsed_at() != lapsed_at:
            # An order that was sent meanwhile may extend them.
            return
        self.lapsed = True
        self.accounts.note_lapse()
        self._events.note(
            "executor.lapsed",
            vital=True,
            executor=self.entry.executor,
            fence=self.fence,
            unconfirmed_s=self._owner.unconfirmed_s(),
            reported=self.has_reported,
            runs=len(self.runs_by_key),
        )
        for run in list(self.runs_by_key.values()):
            self.remove(run)
            self._owner.on_lost(self, run, "lease lapsed")
        self._owner.on_lapsed(self)

    def _lapsed_at(self) -> float | None:
        """Monotonic time by which all known leases have lapsed; None if that can't be told yet."""
        if self.has_reported:
            return self._executor_clock.lapsed_at()
        return self._inherited_lapse_at

    async def _start(self, run: Run, payload: str, ticket: str) -> None:
        task = run.task
        unanswered = False
        for _ in range(MAX_START_ATTEMPTS):
            async with self._executor_starts, self._shard_starts:
                if (task.task_id, run.number) not in self.runs_by_key:
                    # The run was dropped while it was queued; its task may run elsewhere by now.
                    return
                if run.phase is not RunPhase.STARTING:
                    return
                if not self.free.holds(NO_ROOM) and unanswered:
                    break
                reason_not_sent = self._reason_not_to_send()
                if reason_not_sent and not unanswered:
                    self.remove(run)
                    self._owner.on_lost(self, run, reason_not_sent)
                    return
                outcome = await self._order_start(run, payload, ticket)
            metrics.run_starts.add(1, {"outcome": type(outcome).__name__})
            if isinstance(outcome, Started):
                run.note_first_seen(outcome.clock_ms / 1000)
                self._confirm_start(run)
                return
            if isinstance(outcome, StartRefused | Refused):
                if unanswered:
                    # An earlier attempt may have started the run, which may have ended since. The
                    # executor then refuses the repeat as old; treated as refused, the task would
                    # run twice.
                    break
                self._handle_refusal(run, outcome)
                return
            if isinstance(outcome, Fenced | OtherIncarnation):
                self._notify_unusable(outcome)
                return
            unanswered = unanswered or outcome.sent
            self._answer_timeout.note_unanswered()
            self._events.note(
                "run.unanswered",
                vital=True,
                job=task.task_id.job,
                task=task.task_id,
                run=run.number,
                executor=self.entry.executor,
                why=outcome.detail,
            )
        # It is unknown whether the run exists. An answered stop settles it: either its end is
        # reported, or the start is refused when it arrives.
        self.stop_run(run, "start unanswered")

    def _reason_not_to_send(self) -> str:
        """The reason not to send a start whose turn has come; empty if it may be sent."""
        if self._silent:
            # An unsent start can't have happened, so its task needn't wait for the lease to lapse.
            # Each attempt would also extend the time by which the lease is known to have lapsed.
            return "not sent"
        unconfirmed_s = self._clock.monotonic() - self._confirmed_at
        if self.entry.started_ms is not None and unconfirmed_s > CONFIRMED_FOR_STARTS_S:
            # The start may reach a newer incarnation, whose clock doesn't show that it is outdated.
            return "not confirmed lately"
        if not self.free.holds(NO_ROOM):
            # The capacity has shrunk since, and not every executor enforces it.
            return "no room any more"
        return ""

    async def _order_start(
        self, run: Run, payload: str, ticket: str
    ) -> Started | StartRefused | Fenced | OtherIncarnation | Refused | NoAnswer:
        task = run.task
        until_ms = self._executor_clock.deadline_ms(START_VALIDITY_S, now=self._clock.monotonic())
        assert until_ms is not None
        self._executor_clock.note_granted(until_ms)
        self._orders_in_flight.count += 1
        sent_before, run.sent = run.sent, True
        sent_at = self._clock.monotonic()
        try:
            outcome = await self._port.start(
                self.entry,
                task=task.task_id,
                run=run.number,
                payload=payload,
                until_ms=until_ms,
                fence=self.fence,
                checkpoint=task.checkpoint,
                ticket=ticket,
                patience_s=self._answer_timeout.with_orders_in_flight(self._orders_in_flight.count),
            )
        finally:
            self._orders_in_flight.count -= 1
        if not isinstance(outcome, NoAnswer):
            self._answer_timeout.note_answered(self._clock.monotonic() - sent_at)
        elif not outcome.sent:
            run.sent = sent_before
        return outcome

    def _notify_unusable(self, outcome: Fenced | OtherIncarnation) -> None:
        if isinstance(outcome, Fenced):
            self._owner.on_fenced(self)
        else:
            self._owner.on_gone(self)

    def _confirm_start(self, run: Run) -> None:
        if (run.task.task_id, run.number) not in self.runs_by_key:
            return
        run.confirmed_at = self._clock.monotonic()
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING

    def _handle_refusal(self, run: Run, outcome: StartRefused | Refused) -> None:
        why = outcome.reason if isinstance(outcome, StartRefused) else outcome.detail
        if isinstance(outcome, StartRefused) and outcome.clock_ms is not None:
            self._executor_clock.observe(outcome.clock_ms, now=self._clock.monotonic())
        if (run.task.task_id, run.number) in self.runs_by_key:
            self.remove(run)
            self._owner.on_refused(self, run, why)

    def _settle_failed_start(self, run: Run) -> None:
        # The start may or may not have arrived. Without a stop to settle it, the task would never
        # be placed again and its job never end.
        known = (run.task.task_id, run.number) in self.runs_by_key
        if known and run.phase is RunPhase.STARTING:
            self.stop_run(run, "start failed")

    def _order_stop(
        self, task_id: Any, number: int, run: Run | None, *, pause_s: float = 0.0
    ) -> None:
        """Order a stop, and order it again if it fails, as the run would continue otherwise."""
        self._spawn(
            self._stop(task_id, number, run, pause_s),
            lambda: self._order_stop(task_id, number, run, pause_s=RETRY_S),
        )

    async def _stop(self, task_id: Any, number: int, run: Run | None, pause_s: float) -> None:
        if pause_s:
            await self._clock.sleep(pause_s)
        unanswered = False
        while run is None or await self._wait_until_stop_allowed(run):
            outcome = await self._port.stop(self.entry, task=task_id, run=number, fence=self.fence)
            if isinstance(outcome, Stopped):
                if run is not None and run.confirmed_at is None:
                    run.confirmed_at = self._clock.monotonic()
                self._strays.discard((task_id, number))
                return
            if isinstance(outcome, Fenced | OtherIncarnation):
                self._notify_unusable(outcome)
                return
            if isinstance(outcome, Refused):
                self._note_stop("run.stop_refused", task_id, number, outcome.detail)
            elif not unanswered:
                # The stop is repeated every RETRY_S; only the first missing answer is logged.
                self._note_stop("run.stop_unanswered", task_id, number, outcome.detail)
            unanswered = True
            if run is None and self.lapsed:
                return
            if run is not None:
                run.stop_unanswered_at = self._clock.monotonic()
            await self._clock.sleep(RETRY_S)

    async def _wait_until_stop_allowed(self, run: Run) -> bool:
        """Wait until a run may be stopped.

        :return: False if the run has ended, or its stop was withdrawn.
        """
        logged = False
        while (run.task.task_id, run.number) in self.runs_by_key:
            if self._owner.may_stop(run):
                return True
            if run.phase is not RunPhase.STOPPING:
                return False
            if not logged:
                self._note_stop("run.stop_waits", run.task.task_id, run.number, run.stop_reason)
            logged = True
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
            self._reset_pace(run, percent)

    def _reset_pace(self, run: Run, percent: int) -> None:
        if run.pace == percent:
            # The order may not have taken effect; the next check of the run's speed repeats it.
            run.pace = -1

    def _spawn(self, work: Coroutine[Any, Any, None], on_failure: Callable[[], None]) -> None:
        """Run an order in a task of its own.

        :param on_failure: called when the order raises an error, or is cancelled by something that
            it awaited.
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
