"""Steps for explanations of jobs and accounts from the daemons' log lines."""

import asyncio
import json

from behave import then, when

from features.support.account_cases import FITTERS_KEY, JOINERS_KEY, directory
from features.support.command_line import run_command
from features.support.owner_jobs import START_S, job_id_of
from mustardgap.resources import Room
from tools.owner_troubles import TWO_STEPS
from tools.owner_worlds import play

OWNER, GATEWAY, FLEET = "e1", "e2", "e3"
ROOM, HALF = [8000, 8000, 0], [4000, 4000, 0]
JOB = {"job": "j1", "queue": "cuts", "account": "small-1"}


def line(at, event, host=OWNER, **fields):
    """Return a structured line; ``at`` is seconds since the start."""
    return {"time": 1000.0 + at, "host": host, "event": event, **fields}


def accepted(at=0.0, **job):
    """Return the lines on the acceptance of a job."""
    fields = {**JOB, **job, "shard": 3}
    return [
        line(at, "job.accepted", service="cutting", epoch=7, stored="stored", **fields),
        line(at + 0.01, "submit.answered", GATEWAY, code="MG4020", took_s=0.05, **fields),
    ]


def refused(at=0.0, retry_after_s=2, code="MG4033", **job):
    """Return the owner's line on a refusal."""
    figures = {"forecast_s": 12.34, "limit_s": 9.0}
    if retry_after_s is not None:
        figures["retry_after_s"] = retry_after_s
    why = f"forecast {at:.2f} s late" if job.get("job") == "s4" else "forecast"
    return [line(at, "job.refused", code=code, why=why, **figures, **{**JOB, **job})]


def started(at, waited_s, job="j1", account="small-1", step=0, failures=0):
    """Return the line on a started run."""
    task = [job, 0, step, 0]
    fields = {"job": job, "account": account, "task": task, "run": 1, "failures": failures}
    return [line(at, "run.start", waited_s=waited_s, **fields)]


def ended(at, age_s, phase="COMPLETED", why="all tasks are done", **job):
    """Return the line on the end of a job that may wait for 1.5 s and take 3 s."""
    figures = {"age_s": age_s, "objective_s": 3.0, "slack_s": 1.5}
    return [line(at, "job.ended", phase=phase, why=why, **figures, **{**JOB, **job})]


WAITED = [*accepted(), *started(2.5, 2.5), *ended(4.0, 4.0)]
OTHERS = [
    *accepted(-1.0, job="b1", account="big-1"),
    *accepted(-1.0, job="s2"),
    *(start for n in range(4) for start in started(0.5 + n / 10, 1.5, "b1", "big-1")),
    *started(1.0, 2.0, "s2"),
    # These started before and after the wait.
    *started(-0.5, 0.5, "b1", "big-1"),
    *started(3.0, 4.0, "b1", "big-1"),
]
BALANCE = line(
    1.0,
    "pool.balance",
    FLEET,
    service="cutting",
    demand_machines=93.0,
    executors=43,
    coming=7,
    missing=43,
)
OTHER_POOL = {**BALANCE, "service": "sewing", "executors": 1}
STORE = [
    line(0.2, "store.lost", shard=3, epoch=7, why="no answer in time"),
    line(1.0, "store.regained", shard=3, lasted_s=0.8),
]
TAKEOVER = [
    line(0.3, "shard.gained", GATEWAY, shard=3, epoch=8),
    line(1.5, "shard.loaded", GATEWAY, shard=3, epoch=8, took_s=1.2),
]
# The former owner was frozen, and tells of its loss after its successor has begun.
FORMER_LOSS = [
    line(-9.0, "shard.gained", GATEWAY, shard=3, epoch=8),
    line(-8.0, "shard.loaded", GATEWAY, shard=3, epoch=8, took_s=1.0),
    line(-7.0, "shard.lost", OWNER, shard=3, epoch=7, why="fenced"),
]
GATEWAY_REFUSAL = line(
    0.0,
    "submit.answered",
    GATEWAY,
    code="MG4027",
    status=503,
    why="nobody owns the queue yet",
    **JOB,
)
LIMITED = line(0.1, "job.limited", service="cutting", used=HALF, allowed=HALF, limit=ROOM, **JOB)
LAST = [line(4.0, "executor.up", executor="x1")]

HISTORIES = {
    "was refused on a forecast": refused(),
    "was refused and didn't come back": refused(),
    "was refused and came back": [
        *refused(),
        *accepted(2.5),
        *started(2.6, 0.1),
        *ended(3.5, 1.0),
    ],
    "was refused by its gateway": [GATEWAY_REFUSAL],
    "was refused by owner and gateway": [*refused(code="MG4034"), GATEWAY_REFUSAL],
    "started at once": [*accepted(), *started(0.1, 0.1), *ended(1.0, 1.0)],
    "waited behind a large account": [*WAITED, *OTHERS],
    "waited for a pool that was too small": [*WAITED, BALANCE, OTHER_POOL],
    "waited for its account's limit": [*WAITED, LIMITED],
    "waited, and a later step reached the limit": [*WAITED, {**LIMITED, "time": 1003.5}],
    "waited for a takeover": [*WAITED, *TAKEOVER],
    "waited while another shard had a takeover": [*WAITED, *({**t, "shard": 4} for t in TAKEOVER)],
    "waited after a former owner told of its loss": [*WAITED, *FORMER_LOSS],
    "waited for the store": [*WAITED, *STORE],
    "waited and no line tells why": WAITED,
    "left no line on its first step's start": [
        *accepted(),
        *started(2.5, 2.5, step=1),
        *ended(4.0, 4.0),
    ],
    "left no line on its first try's start": [
        *accepted(),
        *started(2.5, 2.5, failures=1),
        *ended(4.0, 4.0),
    ],
    "was never started": [*accepted(), *LAST],
    "ended late": WAITED,
    "ended too late": [*accepted(), *started(0.1, 0.1), *ended(9.5, 9.5)],
    "failed": [
        *accepted(),
        *started(0.1, 0.1),
        *ended(1.0, 1.0, phase="FAILED", why="task j1.0.0.0 failed too often"),
    ],
    "nobody submitted": LAST,
}


def _shift(rows, host, by_s):
    return [{**row, "time": row["time"] + by_s} if row["host"] == host else row for row in rows]


def _without(rows, event):
    return [row for row in rows if (row["event"], row.get("job")) != (event, "j1")]


FLAWS = {
    "its acceptance missing": lambda rows: _without(rows, "job.accepted"),
    "its end missing": lambda rows: _without(rows, "job.ended"),
    "40 lines left out": lambda rows: [*rows, line(2.0, "executor.up", left_out=40)],
    "the gateway's clock 5 s ahead": lambda rows: _shift(rows, GATEWAY, 5.0),
    "the gateway's clock 5 s behind": lambda rows: _shift(rows, GATEWAY, -5.0),
    # The first answer of one job has left no line; two other jobs were answered at once.
    "a repeated submission answered later": lambda rows: [
        *_without(rows, "submit.answered"),
        line(9.0, "submit.answered", GATEWAY, code="MG4020", took_s=0.05, **JOB),
    ],
    # Each host is a gateway as well, so that its answers show the difference.
    "the fleet owner's clock 5 s ahead": lambda rows: _shift(
        [{**row, "host": FLEET} if row["host"] == GATEWAY else row for row in rows], FLEET, 5.0
    ),
}


def _write(context, rows, raw_last=""):
    paths = []
    for host in (OWNER, GATEWAY, FLEET):
        own = sorted((row for row in rows if row["host"] == host), key=lambda row: row["time"])
        text = "starting\n" + "".join(json.dumps(row, separators=(",", ":")) + "\n" for row in own)
        path = context.folder / f"{host}.log"
        path.write_text(text + (raw_last if host == OWNER else ""))
        paths += ["--logs", str(path)]
    return paths


def _explain(context, kind, name, paths):
    context.result = run_command("explain", kind, name, *paths)


@when("a job that {history} is explained")
def explain_history(context, history):
    _explain(context, "job", "j1", _write(context, HISTORIES[history]))


@when("a job that {history} is explained from lines with {flaw}")
def explain_flawed(context, history, flaw):
    rows = HISTORIES[history]
    if flaw == "a half-written last line":
        paths = _write(context, rows, raw_last='{"time":1005.0,"host":"e1","event":"run.st')
    elif flaw.startswith("a half-written line before"):
        whole = ended(4.0, 4.0)[0]
        glued = '{"time":1003.0,"host":"e1","event":"run.st' + json.dumps(
            whole, separators=(",", ":")
        )
        paths = _write(context, _without(rows, "job.ended"), raw_last=glued + "\n")
    else:
        paths = _write(context, FLAWS[flaw](rows))
    _explain(context, "job", "j1", paths)


@then('the explanation has "{text}"')
def check_has(context, text):
    assert context.result.status == 0, context.result.stderr
    assert text in context.result.stdout, context.result.stdout


@then('the explanation hasn\'t "{text}"')
def check_has_not(context, text):
    assert context.result.status == 0, context.result.stderr
    summary = context.result.stdout.partition("\n\n")[0]
    assert summary and text not in summary, context.result.stdout


# A large account's jobs are served first. Of the small one's, one is in time, one late, one of no
# use any more, and one refused twice.
FLOOD = [
    *(row for n in range(6) for row in accepted(0.0, job=f"b{n}", account="big-1")),
    *(row for n in range(6) for row in started(0.5, 0.5, f"b{n}", "big-1")),
    *(row for n in range(6) for row in ended(1.0, 1.0, job=f"b{n}", account="big-1")),
    *accepted(0.1, job="s1"),
    *started(0.2, 0.1, "s1"),
    *ended(1.1, 1.0, job="s1"),
    *accepted(0.4, job="s2"),
    *started(0.9, 0.5, "s2"),
    *ended(4.4, 4.0, job="s2"),
    *accepted(0.45, job="s3"),
    *started(0.49, 0.04, "s3"),
    *ended(10.4, 10.0, job="s3"),
    *refused(0.5, job="s4"),
    *refused(1.5, retry_after_s=None, job="s4"),
    line(1.6, "executor.up", left_out=12),
    line(1.7, "executor.up", left_out=5, left_out_by_class={"pools": 5}),
]


@when("account {account} is explained after a flood")
def explain_account(context, account):
    _explain(context, "account", account, _write(context, FLOOD))


@when(
    "{many:d} jobs of joiners with a limit of {limit:d} and {few:d} of fitters run on 3 daemons, "
    "and account {account} is explained"
)
def run_and_explain(context, many, limit, few, account):
    rows = []

    async def scene(world):
        world.publish_accounts(directory(limit=Room(cpu=limit)), 2)
        await asyncio.sleep(START_S)
        for number in range(many):
            await world.submit(job_id_of(number), TWO_STEPS, "e1", [JOINERS_KEY])
        for number in range(few):
            await world.submit(job_id_of(many + number), TWO_STEPS, "e2", [FITTERS_KEY])
        await asyncio.sleep(30)
        for daemon in world.daemons_by_address.values():
            rows.extend(daemon.events.captured)

    play(scene)
    _explain(context, "account", account, _write(context, rows))


@when("an account is explained without logs")
def explain_without_logs(context):
    _explain(context, "account", "small-1", [])


@then("the command fails with {code} and names {text}")
def check_fails(context, code, text):
    assert context.result.status != 0
    assert code in context.result.stderr and text in context.result.stderr, context.result.stderr


@when("a page is rendered from the lines of a flood")
def render_flood(context):
    context.page = context.folder / "day.html"
    context.result = run_command("report", *_write(context, FLOOD), "--out", str(context.page))
    assert context.result.status == 0, context.result.stderr


@then("the page has these rows")
def check_page_rows(context):
    text = context.page.read_text()
    for row in context.table:
        cells = "".join(f"<td>{cell.strip()}</td>" for cell in row["row"].split(", "))
        assert f"<tr>{cells}</tr>" in text, (row["row"], text[:6000])
