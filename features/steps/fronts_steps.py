"""Steps of the platform's HTTP interface: each request's one answer, however its handling ends."""

import asyncio
from types import SimpleNamespace

from behave import then, when

from features.support.front_rigs import (
    ANSWER_TIMEOUT_S,
    JOB,
    LEAVE_S,
    NO_BODY,
    PATH,
    REQUESTS,
    Connection,
    ask,
    send_and_begin,
    told,
    with_front,
)
from mustardgap import metrics
from mustardgap.platform.daemon import leaving_steps
from mustardgap.platform.front import Answer
from tools.processes import free_ports

HEAD_PATHS = {
    "for no queue": "/nowhere/" + JOB,
    "under a bad id": PATH + "zz",
    "of the metrics page": "/metrics",
}


def _unanswered_count():
    return sum(count.value for count in metrics.unanswered_requests.read(None))


@when("callers send requests to a front, and their handling ends without an answer")
def send_requests(context):
    async def scene(rig, request):
        before = _unanswered_count()
        answer = await ask(rig, request)
        return SimpleNamespace(
            answer=answer, lines=rig.unanswered, counted=_unanswered_count() - before
        )

    context.rows = [row.as_dict() for row in context.table]
    context.played = [
        with_front(row["handling"], lambda rig, row=row: scene(rig, row["request"]))
        for row in context.rows
    ]


@when("a front is stopped while a caller waits for its new job, and the handling {ends}")
def stop_front(context, ends):
    async def scene(rig):
        connection = await send_and_begin(rig)
        goes_on = ends != "gives its answer"
        timeout_s = LEAVE_S if goes_on else ANSWER_TIMEOUT_S
        stopping = asyncio.create_task(rig.front.stop(timeout_s=timeout_s))
        # The front has begun to stop when the handling may end.
        await asyncio.sleep(0)
        if not goes_on:
            rig.gateway.may_end.set()
        context.answer = await connection.answer()
        context.ended = await connection.has_ended()
        await stopping

    with_front(ends, scene)


@when("a front is stopped while a caller waits, and another one sends a job on its idle connection")
def stop_front_beside_idle(context):
    async def scene(rig):
        idle = await Connection.open(rig.port)
        idle.send("POST", "/nowhere/" + JOB, NO_BODY)
        assert (await idle.answer()).status == 404
        connection = await send_and_begin(rig)
        stopping = asyncio.create_task(rig.front.stop(timeout_s=ANSWER_TIMEOUT_S))
        await asyncio.sleep(0)
        idle.send(*REQUESTS["new job"])
        context.idle_ended = await idle.has_ended()
        context.begun = rig.gateway.count
        rig.gateway.may_end.set()
        context.answer = await connection.answer()
        context.ended = await connection.has_ended()
        await stopping

    with_front("goes on until it may end", scene)


@when("a front is stopped just as it has taken a job from an idle connection's socket")
def stop_front_at_reading(context):
    async def scene(rig):
        connection = await Connection.open(rig.port)
        connection.send("POST", "/nowhere/" + JOB, NO_BODY)
        assert (await connection.answer()).status == 404
        rig.gateway.may_end.set()
        connection.send(*REQUESTS["new job"])
        while rig.connection().is_idle:
            await asyncio.sleep(0)
        assert not rig.gateway.count, "the job is being handled already"
        await rig.front.stop(timeout_s=ANSWER_TIMEOUT_S)
        context.answer = await connection.answer()
        context.ended = await connection.has_ended()

    with_front("goes on until it may end", scene)


@when("a front is stopped while a caller waits that has sent its next job already")
def stop_front_before_next(context):
    async def scene(rig):
        connection = await send_and_begin(rig)
        connection.send(*REQUESTS["new job"])
        stopping = asyncio.create_task(rig.front.stop(timeout_s=ANSWER_TIMEOUT_S))
        await asyncio.sleep(0)
        rig.gateway.may_end.set()
        context.answer = await connection.answer()
        context.ended = await connection.has_ended()
        await stopping
        context.count = rig.gateway.count

    with_front("goes on until it may end", scene)


@then("only the first of its jobs has been handled")
def check_handled(context):
    assert context.count == 1, context.count


@then("the job on the idle connection hasn't been read, and that connection ends")
def check_idle(context):
    assert (context.idle_ended, context.begun) == (True, 1)


@then("the caller is told {status} with {code}, and its connection ends")
def check_told_once(context, status, code):
    assert told(context.answer) == f"{status} {code}", told(context.answer)
    assert context.ended


@then(
    "a daemon with a grace of {grace:g} s stops reading after {stop:g} s and ends after {end:g} s"
)
def check_steps(context, grace, stop, end):
    steps = leaving_steps(grace)
    assert (round(steps.stop_s, 6), round(steps.end_s, 6)) == (stop, end), steps
    assert steps.close_s < steps.stop_s < steps.end_s < grace


@when("a caller sends a front a HEAD request {for_what}")
def send_head(context, for_what):
    async def scene(rig):
        port = rig.metrics_port if for_what == "of the metrics page" else rig.port
        connection = await Connection.open(port)
        connection.send("HEAD", HEAD_PATHS[for_what], NO_BODY)
        context.answer = await connection.answer(head_only=True)
        # What comes next on the connection is the next answer: no byte of a body is before it.
        connection.send("HEAD", HEAD_PATHS[for_what], NO_BODY)
        context.next_answer = await connection.answer(head_only=True)

    with_front("goes on", scene)


@then("the caller is told {status:d} without a body")
def check_head(context, status):
    answers = (context.answer, context.next_answer)
    assert [answer and answer.status for answer in answers] == [status, status], answers


@when("a front's answer can't be written")
def write_in_vain(context):
    async def scene(rig):
        async def handle(request):
            return Answer(200, headers={"X-Result-Code": "MG4020\r\nX-Other: 1"})

        [port] = free_ports(1)
        rig.front.listen(f"127.0.0.1:{port}", handle)
        connection = await Connection.open(port)
        connection.send(*REQUESTS["new job"])
        context.ended = await connection.has_ended()
        context.lines = [row for row in rig.events.captured if row["event"] == "answer.unwritten"]

    with_front("goes on", scene)


@then("its caller's connection ends, and the front's log tells of the answer that wasn't written")
def check_unwritten(context):
    assert context.ended and len(context.lines) == 1, (context.ended, context.lines)


@then("each caller is told as the table says")
def check_told(context):
    wrong = [
        f"{row['request']} {row['handling']}: {told(played.answer)}"
        for row, played in zip(context.rows, context.played, strict=True)
        if told(played.answer) != f"{row['status']} {row['code']}"
    ]
    assert not wrong, "\n".join(wrong)


@then("for each the front's log tells why, and its counter counts it")
def check_sight(context):
    for row, played in zip(context.rows, context.played, strict=True):
        lines = [line for line in played.lines if line["path"].startswith(PATH) and line["why"]]
        assert (len(lines), played.counted) == (1, 1), (row, played)
