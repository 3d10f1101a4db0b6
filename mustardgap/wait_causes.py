"""Why jobs waited for the start of their first task, from the lines of all daemons."""

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable, Sequence
from enum import StrEnum
from statistics import median_low
from typing import NamedTuple

from .job_facts import JobFacts
from .job_histories import Line

# Pools are viewed each 0.2 s, so that no line on its pool explains a shorter wait.
MIN_WAIT_S = 0.25
# A pool's balance is logged each 0.2 s, so one that concerns a wait may lie just outside of it.
MARGIN_S = 0.3
# Accounts that a job waited behind are named up to this many, those with the most starts first.
MAX_ACCOUNTS = 3


class Cause(StrEnum):
    """What a job waited for."""

    STORE = "the store"
    TAKEOVER = "a takeover"
    LIMIT = "the limit of its account"
    POOL_TOO_SMALL = "a pool that was too small"
    OTHER_JOBS = "other jobs that were served first"
    UNKNOWN = "no line tells what"


class WaitCause(NamedTuple):
    """A cause of a wait, and the figures that show it."""

    cause: Cause
    text: str


class Span(NamedTuple):
    """A time from ``since`` to ``until``, in seconds since the epoch."""

    since: float
    until: float

    def overlaps(self, other: "Span") -> bool:
        """Whether two spans share a moment."""
        return self.since <= other.until and other.since <= self.until

    def widened(self, margin_s: float) -> "Span":
        """Return the span with a margin at both ends."""
        return Span(self.since - margin_s, self.until + margin_s)


class Start(NamedTuple):
    """The start of a run of a job."""

    at: float
    job_id: str
    account: str


class WaitIndex:
    """Finds the lines that explain a wait.

    :param lines: the lines of all daemons, by time.
    :param jobs_by_id: the facts on the jobs in these lines.
    """

    def __init__(self, *, lines: Sequence[Line], jobs_by_id: dict[str, JobFacts]) -> None:
        self.clock_gap_s = clock_gap_s(lines)
        self._end = lines[-1].time if lines else 0.0
        self._balances_by_service: dict[str, list[Line]] = {}
        self._starts_by_service: dict[str, list[Start]] = {}
        self._left_out = [line for line in lines if "left_out" in line.fields]
        for line in lines:
            if line.event == "pool.balance" and line.fields.get("missing", 0) > 0:
                service = line.fields.get("service", "")
                self._balances_by_service.setdefault(service, []).append(line)
            elif line.event == "run.start":
                job = jobs_by_id.get(line.fields.get("job", ""))
                if job is not None:
                    start = Start(line.time, job.job_id, job.account)
                    self._starts_by_service.setdefault(job.service, []).append(start)
        self._takeovers_by_shard = _spans(
            lines, begins=("shard.lost", "shard.gained"), ends=("shard.loaded",), end=self._end
        )
        self._outages_by_shard = _spans(
            lines, begins=("store.lost",), ends=("store.regained", "shard.loaded"), end=self._end
        )

    def wait_of(self, job: JobFacts) -> Span | None:
        """Return when a job waited for its first start, None if it didn't or no line tells.

        The length of the wait is what the owner measured, since the clocks of two owners differ.
        """
        if job.first_start is not None:
            waited_s = job.waited_s or 0.0
            if waited_s < MIN_WAIT_S:
                return None
            return Span(job.first_start.time - waited_s, job.first_start.time)
        if job.accepted is None or job.has_started:
            return None
        until = job.ended.time if job.ended is not None else self._end
        wait = Span(job.accepted.time, until)
        return wait if wait.until - wait.since >= MIN_WAIT_S else None

    def causes(self, job: JobFacts, wait: Span) -> list[WaitCause]:
        """Return what a job waited for, the cause that excludes the others first.

        :param wait: when it waited.
        """
        seen = wait.widened(MARGIN_S + self.clock_gap_s)
        found = [
            *self._of_spans(job, seen, wait),
            *self._of_limit(job, seen),
            *self._of_pool(job, seen),
            *self._of_other_jobs(job, wait),
        ]
        return found or [WaitCause(Cause.UNKNOWN, "no line tells what it waited for")]

    def started_meanwhile(self, job: JobFacts, wait: Span) -> Counter[str]:
        """Count the tasks of other jobs that started in a job's pool while it waited, by account.

        Both times are those of the owner of the pool, so that clocks of other hosts don't matter.
        """
        starts = self._starts_by_service.get(job.service, [])
        first = bisect_left(starts, wait.since, key=lambda start: start.at)
        last = bisect_left(starts, wait.until, key=lambda start: start.at)
        return Counter(start.account for start in starts[first:last] if start.job_id != job.job_id)

    def left_out(self, wait: Span) -> int:
        """Return how many lines were left out about the time of a wait."""
        # The count stands on the next line that was written, which may come a little later.
        seen = wait.widened(MARGIN_S + self.clock_gap_s)
        first = bisect_left(self._left_out, seen.since, key=lambda line: line.time)
        last = bisect_right(self._left_out, seen.until, key=lambda line: line.time)
        return sum(line.fields["left_out"] for line in self._left_out[first:last])

    def _of_spans(self, job: JobFacts, seen: Span, wait: Span) -> Iterable[WaitCause]:
        known = (
            (Cause.STORE, self._outages_by_shard, "the store took no records of shard {}"),
            (Cause.TAKEOVER, self._takeovers_by_shard, "shard {} was between two owners"),
        )
        for cause, spans_by_shard, text in known:
            for shard in sorted(job.shards):
                for span in spans_by_shard.get(shard, ()):
                    if span.overlaps(seen):
                        lasted_s = span.until - span.since
                        begin = span.since - wait.since
                        yield WaitCause(
                            cause,
                            f"{text.format(shard)} for {lasted_s:.2f} s, from {begin:+.2f} s after "
                            "it began to wait",
                        )

    def _of_limit(self, job: JobFacts, seen: Span) -> Iterable[WaitCause]:
        # A later step may be the first one that reaches the limit.
        if job.limited is not None and seen.since <= job.limited.time <= seen.until:
            fields = job.limited.fields
            used, allowed, limit = (_room(fields.get(n)) for n in ("used", "allowed", "limit"))
            yield WaitCause(
                Cause.LIMIT,
                f"its account was at its limit in the pool: used {used}, allowed {allowed}, "
                f"limit over all pools {limit}",
            )

    def _of_pool(self, job: JobFacts, seen: Span) -> Iterable[WaitCause]:
        lines = self._balances_by_service.get(job.service, [])
        first = bisect_left(lines, seen.since, key=lambda line: line.time)
        last = bisect_right(lines, seen.until, key=lambda line: line.time)
        if first < last:
            worst = max(lines[first:last], key=lambda line: line.fields["missing"]).fields
            yield WaitCause(
                Cause.POOL_TOO_SMALL,
                f"pool {job.service} was too small: wanted "
                f"{worst.get('demand_machines', 0):.1f} machines, had {worst.get('executors', 0)}, "
                f"{worst.get('coming', 0)} on their way",
            )

    def _of_other_jobs(self, job: JobFacts, wait: Span) -> Iterable[WaitCause]:
        counts = self.started_meanwhile(job, wait)
        if counts:
            named = ", ".join(
                f"{count} of {_account(account, job)}"
                for account, count in counts.most_common(MAX_ACCOUNTS)
            )
            more = len(counts) - MAX_ACCOUNTS
            tail = f" and those of {more} more accounts" if more > 0 else ""
            yield WaitCause(
                Cause.OTHER_JOBS,
                f"{counts.total()} tasks of other jobs started meanwhile in its pool: "
                f"{named}{tail}",
            )


def clock_gap_s(lines: Iterable[Line]) -> float:
    """Return by how much the clocks of two hosts differ at least, the most of all pairs.

    A job is stored between the arrival of its submission at a gateway and the answer. Where its
    owner's clock shows another time than that, the two clocks differ by at least the difference.
    The median over the jobs of a pair of hosts counts, since a submission whose first answer has
    left no line seems to have been stored before it arrived.

    :param lines: the lines of all daemons.
    """
    accepted_by_job: dict[str, Line] = {}
    answered_by_job: dict[str, Line] = {}
    for line in lines:
        if line.event == "job.accepted" and line.fields.get("stored") == "stored":
            accepted_by_job.setdefault(line.fields.get("job", ""), line)
        elif line.event == "submit.answered" and line.fields.get("code") == "MG4020":
            answered_by_job.setdefault(line.fields.get("job", ""), line)
    gaps_by_pair: dict[tuple[str, str], list[float]] = {}
    for job_id, answered in answered_by_job.items():
        accepted = accepted_by_job.get(job_id)
        if accepted is not None and accepted.host != answered.host:
            arrived = answered.time - answered.fields.get("took_s", 0.0)
            gap_s = max(accepted.time - answered.time, arrived - accepted.time, 0.0)
            gaps_by_pair.setdefault((accepted.host, answered.host), []).append(gap_s)
    return max((median_low(gaps) for gaps in gaps_by_pair.values()), default=0.0)


def _spans(
    lines: Iterable[Line], *, begins: Sequence[str], ends: Sequence[str], end: float
) -> dict[int, list[Span]]:
    """Return the spans between lines of a shard; one without an end lasts to the last line."""
    since_by_shard: dict[int, float] = {}
    loaded_epochs: dict[int, int] = {}
    found: dict[int, list[Span]] = {}
    for line in lines:
        shard, epoch = line.fields.get("shard"), line.fields.get("epoch", 0)
        if shard is None:
            continue
        if line.event == "shard.loaded":
            loaded_epochs[shard] = max(epoch, loaded_epochs.get(shard, 0))
        # A former owner that was frozen tells of its loss long after its successor has begun.
        is_former = "epoch" in line.fields and epoch < loaded_epochs.get(shard, 0)
        if line.event in begins and not is_former:
            since_by_shard.setdefault(shard, line.time)
        elif line.event in ends and shard in since_by_shard:
            found.setdefault(shard, []).append(Span(since_by_shard.pop(shard), line.time))
    for shard, since in since_by_shard.items():
        found.setdefault(shard, []).append(Span(since, end))
    return found


def _account(account: str, job: JobFacts) -> str:
    if not account:
        return "no account"
    return f"its own account {account}" if account == job.account else f"account {account}"


def _room(value: object) -> str:
    """Format an amount of resources, which is logged as a list."""
    if isinstance(value, list) and len(value) == 3:
        return f"{value[0] / 1000:g} cores, {value[1]} MB, {value[2]} GPUs"
    return "unknown" if value is None else str(value)
