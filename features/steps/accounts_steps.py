"""Steps for client accounts: their keys, and what callers may do with them."""

import asyncio

from behave import then, when

from features.support.account_cases import (
    CHANGES,
    CREDENTIALS,
    JOINERS_KEY,
    KEYS_BY_CALLER,
    directory,
    gateway,
)
from features.support.front_rigs import REQUESTS, Connection
from mustardgap.accounts import CredentialProblem
from mustardgap.events import EventLog
from mustardgap.job_replies import JobReply
from mustardgap.platform.front import CREDENTIAL_HEADER, Front
from tools.owner_troubles import TWO_STEPS
from tools.owner_worlds import QUEUE, play
from tools.processes import free_ports

JOB = "00000000000000a1"
# Within this a key that was taken away is refused everywhere; the tests' store answers at once.
IN_FORCE_S = 3.0


@then("a request with {credential} is identified as {outcome}")
def identified(context, credential, outcome):
    identity = directory().identify(CREDENTIALS[credential], 1)
    got = identity.name if isinstance(identity, CredentialProblem) else identity.account
    assert got == outcome, identity


@when("a caller sends {request} with {credential} to a front")
def send_to_front(context, request, credential):
    async def scene():
        made, owners = gateway()
        front = Front(gateway=made, ready=lambda: True, events=EventLog(host="e1"))
        [port] = free_ports(1)
        front.listen(f"127.0.0.1:{port}", front.jobs)
        connection = await Connection.open(port)
        method, path, body = REQUESTS[request]
        lines = [f"{method} {path} HTTP/1.1", f"Host: {QUEUE.host}", f"Content-Length: {len(body)}"]
        lines += [f"{CREDENTIAL_HEADER}: {key}" for key in CREDENTIALS[credential]]
        connection.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        answer = await connection.answer()
        await front.stop(timeout_s=1.0)
        return answer, owners.calls

    context.answer, context.calls = asyncio.run(scene())


@then("the front answers {status:d} with {code}, and the owner has heard {calls:d} calls")
def front_answers(context, status, code, calls):
    assert context.answer is not None, "the front gave no answer"
    assert context.answer.status == status, context.answer
    assert context.answer.fields["X-Result-Code"] == code, context.answer
    assert ("Www-Authenticate" in context.answer.fields) == (status == 401), context.answer
    assert context.calls == calls, context.calls


async def _accepted(world):
    world.publish_accounts(directory(), 2)
    await asyncio.sleep(IN_FORCE_S)
    for _ in range(20):
        reply = await world.submit(JOB, TWO_STEPS, "e1", [JOINERS_KEY])
        if str(reply.code) == "MG4020":
            return
        await asyncio.sleep(0.3)
    raise AssertionError(reply)


async def _call(world, host, caller, call):
    made = world.daemon(host).gateway
    identity = made.identify(QUEUE, KEYS_BY_CALLER[caller])
    if isinstance(identity, JobReply):
        return identity
    if call == "a question":
        return await made.state(queue=QUEUE, job_id=JOB, identity=identity)
    if call == "a cancelling":
        return await made.cancel(queue=QUEUE, job_id=JOB, identity=identity)
    return await made.submit(queue=QUEUE, job_id=JOB, spec=TWO_STEPS, identity=identity)


@when("joiners submit a job, and {who} makes {call}")
def submit_and_call(context, who, call):
    async def scene(world):
        await _accepted(world)
        context.reply = await _call(world, "e2", who, call)

    play(scene)


@when("joiners submit a job, the operator publishes {change}, and {who} asks for the job")
def change_and_ask(context, change, who):
    async def scene(world):
        await _accepted(world)
        world.publish_accounts(directory(CHANGES[change]), 3)
        await asyncio.sleep(IN_FORCE_S)
        context.reply = await _call(world, "e2", who, "a question")

    play(scene)


@then("that caller is told {code}")
def told(context, code):
    assert str(context.reply.code) == code, context.reply


@when("the store turns a host away, and the key of joiners is taken away")
def turned_away(context):
    async def scene(world):
        await _accepted(world)
        owner = world.owner()
        away = next(name for name in world.names if name != owner)
        world.store.cut_hosts.add(away)
        await asyncio.sleep(1.0)
        identity = world.daemon(away).gateway.identify(QUEUE, [JOINERS_KEY])
        world.publish_accounts(directory(CHANGES["the key of joiners taken away"]), 3)
        await asyncio.sleep(1.0)
        # As if the host hadn't learned of it: the identity is that of the older version.
        context.by_owner = await world.daemon(away).gateway.state(
            queue=QUEUE, job_id=JOB, identity=identity
        )
        await asyncio.sleep(IN_FORCE_S - 1.0)
        context.by_host = world.daemon(away).gateway.identify(QUEUE, [JOINERS_KEY])

    play(scene)


@then("the key is refused through that host within 3 s, and by the queue's owner at once")
def refused_there(context):
    assert str(context.by_owner.code) == "MG4030", context.by_owner
    assert isinstance(context.by_host, JobReply), context.by_host
    assert str(context.by_host.code) == "MG4030", context.by_host


@when("joiners submit a job, and lose all their keys")
def lose_keys(context):
    async def scene(world):
        await _accepted(world)
        world.publish_accounts(directory(CHANGES["joiners removed"]), 3)
        await asyncio.sleep(IN_FORCE_S)
        context.phase = world.dispatcher().jobs_by_id[JOB].durable_phase.name

    play(scene)


@then("the job has run to its end")
def has_run(context):
    assert context.phase == "COMPLETED", context.phase


@when("{who} submit a job that runs with one failure to its end")
def run_with_failure(context, who):
    async def scene(world):
        if who == "joiners":
            await _accepted(world)
        else:
            await asyncio.sleep(IN_FORCE_S)
            assert await world.submit_until_accepted(JOB, TWO_STEPS)
        runs = []
        while not runs:
            await asyncio.sleep(0.05)
            runs = list(world.dispatcher().running())
        runs[0].link.stop_run(runs[0], "a test")
        job = world.dispatcher().jobs_by_id[JOB]
        while job.durable_phase.name == "LIVE":
            await asyncio.sleep(0.2)
        assert job.durable_phase.name == "COMPLETED", job.end_reason
        context.lines = [
            row
            for daemon in world.daemons_by_address.values()
            for row in daemon.events.captured
            if row.get("job") == JOB
        ]

    play(scene)


@then("its lines from submit.answered to job.ended tell {account}")
def check_lines_account(context, account):
    events = {row["event"] for row in context.lines}
    needed = {"submit.answered", "job.accepted", "run.start", "run.stop", "run.end", "job.ended"}
    assert events >= needed, events
    expected = {None} if account == "no account" else {account}
    assert {row.get("account") for row in context.lines} == expected, context.lines


@when("{count:d} requests with guessed keys come within a second")
def guessed(context, count):
    async def scene():
        context.events = EventLog(host="e1")
        made, context.owners = gateway(context.events)
        for number in range(count):
            assert isinstance(made.identify(QUEUE, [f"guess-{number}"]), JobReply)

    asyncio.run(scene())


@then("no owner was called, and one line tells of them")
def one_line(context):
    assert context.owners.calls == 0
    lines = [row for row in context.events.captured if row["event"] == "credential.refused"]
    # A second may have begun anew while they came.
    assert 1 <= len(lines) <= 2, lines
    assert not any("guess" in str(row) for row in context.events.captured)
