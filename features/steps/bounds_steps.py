"""Steps that check why jobs were late, and how the pools' machines were used, from the log."""

from behave import then, when

from mustardgap.day_outcomes import job_outcomes, uses_by_pool, worst_windows
from mustardgap.job_histories import Line
from mustardgap.pool_demands import Forecast
from mustardgap.pool_uses import PoolTally, split_use
from mustardgap.pool_views import ExecutorView, PoolView

REFUSED = ("submit.answered", {"status": 503, "code": "MG4027", "why": "nobody owns the queue yet"})
ACCEPTED = ("job.accepted", {"stored": "stored"})
STARTED = ("run.start", {"waited_s": 0.1})
STARTED_LATE = ("run.start", {"waited_s": 2.5})
FAILED_RUN = ("run.end", {"how": "FAILED"})


def ended(phase, age_s):
    """Return the end of a job that may wait for 1.5 s and take 3 s in all."""
    return ("job.ended", {"phase": phase, "age_s": age_s, "objective_s": 3.0, "slack_s": 1.5})


HISTORIES = {
    "refused as nobody owned the queue": [REFUSED],
    "refused, then accepted and done in time": [
        REFUSED,
        ACCEPTED,
        STARTED,
        ended("COMPLETED", 2.0),
    ],
    "accepted and done in time": [ACCEPTED, STARTED, ended("COMPLETED", 2.0)],
    "accepted, started after its slack, late": [ACCEPTED, STARTED_LATE, ended("COMPLETED", 4.0)],
    "accepted, started at once, failed once, late": [
        ACCEPTED,
        STARTED,
        FAILED_RUN,
        ended("COMPLETED", 4.0),
    ],
    "accepted, started at once, late": [ACCEPTED, STARTED, ended("COMPLETED", 4.0)],
    "accepted, started by no line, late": [ACCEPTED, ended("COMPLETED", 4.0)],
    "done in time by its only line": [ended("COMPLETED", 2.0)],
    "accepted and never done": [ACCEPTED, STARTED],
    "accepted and failed": [ACCEPTED, STARTED, ended("FAILED", 1.0)],
    "accepted and cancelled": [ACCEPTED, STARTED, ended("CANCELLED", 1.0)],
    "of lasting tasks": [("job.accepted", {"stored": "stored", "steps": [[3]]}), STARTED],
}


def lines_of(job, queue, history, at):
    """Return the log lines of one job, 10 ms apart."""
    return [
        Line(at + n / 100, "e1", event, {"job": job, "queue": queue, **fields})
        for n, (event, fields) in enumerate(HISTORIES[history])
    ]


@then("a job that was {history} counts as {outcome}")
def check_outcome(context, history, outcome):
    seen = [found.outcome for found in job_outcomes(lines_of("j1", "cuts", history, 0.0))]
    assert seen == ([] if outcome == "nothing" else [outcome]), seen


@when(
    "{many:d} jobs of cuts start too late at {first:d} s, "
    "and {few:d} of quotes at {second:d} s, of {count:d} each"
)
def log_late_jobs(context, many, first, few, second, count):
    lines = [Line(0.0, "e1", "daemon.start", {})]
    for queue, late, at in (("cuts", many, first), ("quotes", few, second)):
        for number in range(count):
            is_late = number < late
            history = "accepted, started after its slack, late"
            history = history if is_late else "accepted and done in time"
            lines += lines_of(f"{queue}-{number}", queue, history, at + number / 10)
    context.worst = worst_windows(sorted(lines, key=lambda line: line.time))


@then(
    "the worst window is that of {first} from {since:d} s, "
    "and the next that of {second} from {later:d} s"
)
def check_worst(context, first, since, second, later):
    seen = [(window.queue, window.since, window.missed) for window in context.worst]
    assert seen == [(first, since, 3), (second, later, 1)], seen
    assert context.worst[0].outcomes == {"in time": 2, "waited for capacity": 3}, context.worst[0]


FORECASTS = {
    "not risen yet": Forecast(has_risen=False, rise_due=False),
    "risen": Forecast(has_risen=True, rise_due=False),
    "risen and is due to rise": Forecast(has_risen=True, rise_due=True),
}


def view_of(size, busy):
    """Return a view of a pool; its first executors are fully busy, the others idle."""
    executors = [
        ExecutorView(f"x{n}", 1000, 1000 if n < busy else 0, 0, 0, True, False) for n in range(size)
    ]
    return PoolView("cuts", 0, busy * 1000, 0, executors)


@then(
    "a pool of {size:d} machines, {busy:d} of them busy, "
    "that has {state} has {idle:d} machines for {purpose}"
)
def check_use(context, size, busy, state, idle, purpose):
    use = split_use(view_of(size, busy), FORECASTS[state], coming=0, leaving=0, seconds=1.0)
    assert use.at_work == busy and getattr(use, purpose) == idle, use
    assert sum(use) == size, use


@when("a pool of {size:d} machines is viewed every 0.2 s for {seconds:d} s")
def view_pool(context, size, seconds):
    tally = PoolTally()
    uses = [
        tally.note(view_of(size, 1), FORECASTS["risen"], coming=0, leaving=0, now=n / 5)
        for n in range(seconds * 5)
    ]
    context.lines = [
        Line(0.0, "e1", "pool.use", {"service": "cuts", **use._asdict()}) for use in uses if use
    ]


@then("the log lines add up to between {least:d} and {most:d} machine-seconds, in 9 or 10 lines")
def check_logged(context, least, most):
    total = sum(uses_by_pool(context.lines)["cuts"])
    assert least <= total <= most, total
    assert len(context.lines) in (9, 10), len(context.lines)
