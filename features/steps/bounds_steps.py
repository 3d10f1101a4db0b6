"""Steps of what a report says of the callers that weren't served, and of the pools' machines."""

from behave import then, when

from mustardgap.day_bounds import fates, uses_by_pool, worst_windows
from mustardgap.job_stories import Line
from mustardgap.pool_demands import Forecast
from mustardgap.pool_uses import PoolTally, split_use
from mustardgap.pool_views import ExecutorView, PoolView

REFUSED = ("submit.answered", {"status": 503, "code": "MG4027", "why": "nobody owns the queue yet"})
ACCEPTED = ("job.accepted", {"stored": "stored"})
BEGUN = ("run.start", {"waited_s": 0.1})
WAITED = ("run.start", {"waited_s": 2.5})
FAILED_RUN = ("run.end", {"how": "FAILED"})


def ended(phase, age_s):
    """A job's end, for a job that may wait for 1.5 s and take 3 s."""
    return ("job.ended", {"phase": phase, "age_s": age_s, "objective_s": 3.0, "slack_s": 1.5})


STORIES = {
    "refused as nobody owned the queue": [REFUSED],
    "refused, then accepted and done in time": [REFUSED, ACCEPTED, BEGUN, ended("COMPLETED", 2.0)],
    "accepted and done in time": [ACCEPTED, BEGUN, ended("COMPLETED", 2.0)],
    "accepted, started after its slack, late": [ACCEPTED, WAITED, ended("COMPLETED", 4.0)],
    "accepted, begun at once, failed once, late": [
        ACCEPTED,
        BEGUN,
        FAILED_RUN,
        ended("COMPLETED", 4.0),
    ],
    "accepted, begun at once, late": [ACCEPTED, BEGUN, ended("COMPLETED", 4.0)],
    "accepted and never done": [ACCEPTED, BEGUN],
    "accepted and failed": [ACCEPTED, BEGUN, ended("FAILED", 1.0)],
    "accepted and cancelled": [ACCEPTED, BEGUN, ended("CANCELLED", 1.0)],
    "of tasks that last": [("job.accepted", {"stored": "stored", "steps": [[3]]}), BEGUN],
}


def lines_of(job, queue, story, at):
    """The lines of one job, 10 ms apart."""
    return [
        Line(at + n / 100, "e1", event, {"job": job, "queue": queue, **fields})
        for n, (event, fields) in enumerate(STORIES[story])
    ]


@then("a job that was {story} counts as {fate}")
def check_fate(context, story, fate):
    seen = [found.fate for found in fates(lines_of("j1", "cuts", story, 0.0))]
    assert seen == ([] if fate == "nothing" else [fate]), seen


@when(
    "{many:d} jobs of cuts wait too long at {first:d} s, "
    "and {few:d} of quotes at {second:d} s, of {count:d} each"
)
def two_windows(context, many, first, few, second, count):
    lines = [Line(0.0, "e1", "daemon.start", {})]
    for queue, late, at in (("cuts", many, first), ("quotes", few, second)):
        for number in range(count):
            late_one = number < late
            story = "accepted, started after its slack, late"
            story = story if late_one else "accepted and done in time"
            lines += lines_of(f"{queue}-{number}", queue, story, at + number / 10)
    context.worst = worst_windows(sorted(lines, key=lambda line: line.time))


@then(
    "the worst window is that of {first} from {since:d} s, "
    "and the next that of {second} from {later:d} s"
)
def check_worst(context, first, since, second, later):
    seen = [(window.queue, window.since, window.lost) for window in context.worst]
    assert seen == [(first, since, 3), (second, later, 1)], seen
    assert context.worst[0].fates == {"in time": 2, "waited for room": 3}, context.worst[0]


FORECASTS = {
    "not risen yet": Forecast(has_risen=False, rise_due=False),
    "risen": Forecast(has_risen=True, rise_due=False),
    "risen, and will": Forecast(has_risen=True, rise_due=True),
}


def view_of(size, busy):
    """A pool of some machines, the first of which are at work."""
    executors = [
        ExecutorView(f"x{n}", 1000, 1000 if n < busy else 0, 0, 0, True, False) for n in range(size)
    ]
    return PoolView("cuts", 0, busy * 1000, 0, executors)


@then(
    "a pool of {size:d} machines, {busy:d} of them at work, "
    "that has {state} has {idle:d} machines for {purpose}"
)
def check_use(context, size, busy, state, idle, purpose):
    use = split_use(view_of(size, busy), FORECASTS[state], coming=0, leaving=0, seconds=1.0)
    assert use.at_work == busy and getattr(use, purpose) == idle, use
    assert sum(use) == size, use


@when("a pool of {size:d} machines is noted each 0.2 s for {seconds:d} s")
def note_pool(context, size, seconds):
    tally = PoolTally()
    told = [
        tally.note(view_of(size, 1), FORECASTS["risen"], coming=0, leaving=0, now=n / 5)
        for n in range(seconds * 5)
    ]
    context.lines = [
        Line(0.0, "e1", "pool.use", {"service": "cuts", **use._asdict()}) for use in told if use
    ]


@then("what is told adds up to between {least:d} and {most:d} machine-seconds, in 9 or 10 lines")
def check_told(context, least, most):
    total = sum(uses_by_pool(context.lines)["cuts"])
    assert least <= total <= most, total
    assert len(context.lines) in (9, 10), len(context.lines)
