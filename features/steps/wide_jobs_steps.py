"""Steps for the progress of wide jobs, on virtual time."""

import asyncio

from behave import then, when

from features.support.owner_jobs import START_S, job_id_of, log_lines, until
from features.support.progress_plays import (
    JOB,
    SETTLE_S,
    Play,
    end,
    facts_of,
    fill,
    make_job,
    save,
    simulate,
    unreadable_record,
)
from features.support.work_counts import counted_calls
from mustardgap.job_progress import encode_whole
from mustardgap.record_limits import RecordLimits
from mustardgap.shard_logs import PROGRESS_KEY
from mustardgap.workloads import JobSpec, Step
from tools.owner_troubles import LASTING
from tools.owner_worlds import play
from tools.virtual_time import run

DEFAULT_BYTES = 262_144
ENDS = 50
SMALL_RECORDS = RecordLimits(4000, 20_000)


def _store_and_read(context, job, limit, change=lambda play, owner: None):
    """Store a job's progress with one owner, and have the next one read it."""

    async def scene():
        game = Play(limits=RecordLimits(limit, 1_000_000))
        owner = await game.first_owner(job)
        change(game, owner)
        ticket = owner.progress.store(job, job.tasks())
        await asyncio.sleep(SETTLE_S)
        assert ticket.durable, "the progress isn't stored"
        await owner.die()
        context.lines = list(owner.events.captured)
        successor = await game.next_owner()
        await successor.die()
        context.stored, context.successor = facts_of(job), successor
        context.found = facts_of(successor.job)
        context.rejected = game.store.rejected

    run(scene())


@when("a job of {width:d} tasks has stored progress with {content}, in records of {limit:d} bytes")
def store_progress(context, width, content, limit):
    job = make_job(width)
    if content.startswith("a checkpoint of"):
        fill(job, "failures")
        fill(job, "checkpoints")
        context.large = next(t for t in job.tasks() if t.task_id.number == 7)
        save(job, context.large, int(content.split()[-2]))
    else:
        fill(job, content)
    _store_and_read(context, job, limit)


@then("the next owner finds the same progress, and no record was refused")
def same_progress(context):
    assert not context.successor.invalid, context.successor.invalid[:3]
    assert context.found == context.stored, _difference(context)
    assert context.rejected == 0, context.rejected
    assert not [line for line in context.lines if line["event"] == "record.rejected"]


def _difference(context):
    places = context.found.keys() | context.stored.keys()
    rows = [(p, context.stored.get(p), context.found.get(p)) for p in sorted(places)]
    return [row for row in rows if row[1] != row[2]][:3]


@then("the next owner finds all but that checkpoint, and one log line tells of it")
def all_but_checkpoint(context):
    task = context.large.task_id
    context.stored[task.step, task.number].checkpoint = ""
    assert context.found == context.stored, _difference(context)
    assert context.rejected == 0, context.rejected
    lines = [line for line in context.lines if line["event"] == "checkpoint.rejected"]
    assert len(lines) == 1 and lines[0]["limit"] == DEFAULT_BYTES, lines


@then("no owner from seed {first:d} to {last:d} lacks what a former one knew to be stored")
def simulate_owners(context, first, last):
    found = {seed: simulate(seed) for seed in range(first, last + 1)}
    context.problems = [f"{seed}: {why}" for seed, problems in found.items() for why in problems]
    lost = [why for why in context.problems if "was stored" in why or "too large" in why]
    assert not lost, lost[:5]


@then("no release that knows one record a job takes a part of a progress for the whole")
def no_part_for_whole(context):
    taken = [why for why in context.problems if "former release" in why]
    assert not taken, taken[:5]


@then("nothing of the blocks is left once the job has ended")
def nothing_left(context):
    assert not context.problems, context.problems[:5]


@when("a job of {width:d} tasks has progress in one record, and one more task ends")
def move_to_blocks(context, width):
    job = make_job(width)
    fill(job, "failures")
    last = list(job.tasks())[-1]

    def store_whole(game, owner):
        game.store.place(1, False).values_by_key[PROGRESS_KEY + JOB] = encode_whole(job)
        end(job, last)

    async def scene():
        game = Play(limits=RecordLimits())
        first = await game.first_owner(job)
        store_whole(game, first)
        await first.die()
        owner = await game.next_owner()
        task = list(owner.job.tasks())[-1]
        end(owner.job, task)
        ticket = owner.progress.store(owner.job, [task])
        await asyncio.sleep(SETTLE_S)
        assert ticket.durable
        await owner.die()
        context.lines = list(owner.events.captured)
        context.successor = await game.next_owner()
        await context.successor.die()
        context.stored, context.found = facts_of(job), facts_of(context.successor.job)
        context.rejected = game.store.rejected

    run(scene())


def _die_while_moving(appends):
    """Let an owner die after some appends of the move of a whole record to blocks.

    :return: what the next owner lacks, and whether the move was complete.
    """
    job = make_job(600)
    fill(job, "failures")

    async def scene():
        game = Play(limits=RecordLimits(DEFAULT_BYTES, 3000))
        game.store.record_bytes = game.store.request_bytes = None
        first = await game.first_owner(job)
        place = game.store.place(1, False)
        place.values_by_key[PROGRESS_KEY + JOB] = encode_whole(job)
        await first.die()
        owner = await game.next_owner()
        await asyncio.sleep(SETTLE_S)
        task = next(owner.job.tasks())
        began = place.next_sequence
        end(owner.job, task)
        ticket = owner.progress.store(owner.job, [task])
        await until(lambda: ticket.durable or place.next_sequence >= began + appends, 5, 0.0005)
        await owner.die()
        successor = await game.next_owner()
        await successor.die()
        stored, found = facts_of(job), facts_of(successor.job)
        lacking = [
            at
            for at, row in stored.items()
            if at not in found or row.failed_runs != found[at].failed_runs
        ]
        return lacking, ticket.durable

    return run(scene())


@then("an owner that dies after any append of that move leaves all of it to the next one")
def nothing_lost_while_moving(context):
    appends = 0
    moved = False
    while not moved:
        lacking, moved = _die_while_moving(appends)
        assert not lacking, (appends, lacking[:5])
        appends += 1
    assert appends > 3, "the move took few appends only"


@when("a wide job's own record can't be read, and a task of it ends")
def end_with_unreadable(context):
    job = make_job(600)
    fill(job, "failures")

    async def scene():
        game = Play(limits=RecordLimits())
        first = await game.first_owner(job)
        first.progress.store(job, job.tasks())
        await asyncio.sleep(SETTLE_S)
        await first.die()
        values = game.store.place(1, False).values_by_key
        context.head, values[PROGRESS_KEY + JOB] = values[PROGRESS_KEY + JOB], unreadable_record()
        owner = await game.next_owner()
        assert owner.job.progress_unreadable
        context.task = list(owner.job.tasks())[70]
        end(owner.job, context.task)
        ticket = owner.progress.store(owner.job, [context.task])
        await asyncio.sleep(SETTLE_S)
        assert ticket.durable
        await owner.die()
        context.left = values[PROGRESS_KEY + JOB]
        values[PROGRESS_KEY + JOB] = context.head
        reader = await game.next_owner()
        await reader.die()
        end(job, next(t for t in job.tasks() if t.task_id == context.task.task_id))
        context.stored, context.found = facts_of(job), facts_of(reader.job)

    run(scene())


@then("the record is still there, and whoever can read it finds that end, too")
def unreadable_kept(context):
    assert context.left == unreadable_record(), context.left
    assert context.found == context.stored, _difference(context)


def _cost_of_ends(width, content):
    """The calls made, and the bytes queued, for the ends of some tasks after the first one."""

    async def scene():
        game = Play(limits=RecordLimits())
        job = make_job(width)
        if content == "checkpoints":
            fill(job, content)
        owner = await game.first_owner(job)
        sizes, put = [], owner.log.put
        first, *tasks = list(job.tasks())[: ENDS + 1]
        end(job, first)
        owner.progress.store(job, [first])
        await asyncio.sleep(SETTLE_S)
        owner.log.put = lambda key, value: sizes.append(len(key) + len(value)) or put(key, value)
        with counted_calls() as counts:
            for task in tasks:
                end(job, task)
                owner.progress.store(job, [task])
        await owner.die()
        return sum(counts.values()), sum(sizes)

    return run(scene())


@when("{count:d} tasks end in a job of {few:d} and in one of {many:d} tasks, with {content}")
def count_cost(context, count, few, many, content):
    assert count == ENDS
    context.cost, context.wide_cost = _cost_of_ends(few, content), _cost_of_ends(many, content)


@then("the wider job's owner made no more calls, and stored no more bytes, by over a tenth")
def cost_alike(context):
    for narrow, wide in zip(context.cost, context.wide_cost, strict=True):
        assert wide <= 1.1 * narrow, (context.cost, context.wide_cost)


@when(
    "a job of {width:d} tasks with checkpoints fails some of them, "
    "in a store that takes records of {limit:d} bytes"
)
def fail_some(context, width, limit):
    assert limit == SMALL_RECORDS.record_bytes
    wide = JobSpec("wide", (Step(width, 20, 20, 0, 8.0, checkpointing=True),))
    small = [job_id_of(number) for number in range(1, 4)]

    async def scene(world):
        world.fleet.record.checkpoint_of = lambda task: f"{task.number:032x}"
        await asyncio.sleep(START_S)
        for job_id in small:
            assert await world.submit_until_accepted(job_id, LASTING)
        assert await world.submit_until_accepted(job_id_of(9), wide)
        runs = world.fleet.record.runs
        assert await until(lambda: sum(run.task.job == job_id_of(9) for run in runs) >= width)
        await asyncio.sleep(1.0)
        grey = next(iter(world.fleet.by_address.values()))
        failed = [key for key in grey.runs if key[0].job == job_id_of(9)][:10]
        for key in failed:
            grey.runs[key].done_s, grey.fails = 1e9, True
            await asyncio.sleep(0.05)
            grey.fails = False
        began = world.loop.time()
        statuses = [await world.cancel(job_id, world.owner()) for job_id in small]
        context.cancelled = statuses, world.loop.time() - began
        assert await until(lambda: len(world.fleet.record.acknowledged) >= len(failed), 5)
        world.kill(world.owner())
        await asyncio.sleep(3)
        context.rejected = world.store.rejected
        context.lines = log_lines(world)
        context.state = await world.final_state(job_id_of(9), 60)
        context.ended = sum(len(e.ended) for e in world.fleet.by_address.values())
        await asyncio.sleep(2)
        context.acknowledged = len(world.fleet.record.acknowledged)

    context.world = play(scene, work_s=8.0, record_limits=SMALL_RECORDS)


@then("cancels of other jobs are answered, all ends are acknowledged, and no record was refused")
def others_served(context):
    statuses, took_s = context.cancelled
    assert statuses == [200] * 3 and took_s < 3.0, context.cancelled
    assert context.acknowledged == context.ended, (context.acknowledged, context.ended)
    assert context.rejected == 0, context.rejected
    assert not [line for line in context.lines if line["event"] == "record.rejected"]


@then("its next owner runs it to its end, and no promise was broken")
def wide_job_ends(context):
    assert context.state == "completed", context.state
    assert not context.world.problems(), context.world.problems()[:5]
