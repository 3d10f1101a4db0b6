"""Steps for the restarts of runs on slow executors."""

import asyncio
import copy
import itertools
from statistics import mean
from types import SimpleNamespace

from behave import then, when

from features.support.account_cases import JOINERS_KEY, directory
from features.support.owner_jobs import START_S, job_id_of
from mustardgap.crashes import Crash
from mustardgap.job_progress import encode_whole, restore_head
from mustardgap.job_states import Job, JobPhase, StoredJob, decode_job, encode_job
from mustardgap.load_features import FeatureSettings, LoadFeatures, Switch
from mustardgap.resources import Room
from mustardgap.stragglers import STRAGGLES, ExecutorEvidence, RestartBudget, RunProgress, decide
from mustardgap.workloads import EndKind, JobSpec, Step
from tools import owner_troubles
from tools.owner_daemons import SERVICE
from tools.owner_worlds import play
from tools.straggler_plays import CASES, StragglerPlay
from tools.straggler_plays import STOP_S as PLAY_STOP_S
from tools.straggler_plays import play as play_load

DURATIONS_S = [1.3, 1.4, 1.4, 1.6]
STOP_S = 0.8
RUNS = {
    "is a fifth done after 1.5 s": (RunProgress(1.5, 20), DURATIONS_S),
    "is a fifth done after 0.9 s": (RunProgress(0.9, 20), DURATIONS_S),
    "is half done after 1.5 s": (RunProgress(1.5, 50), DURATIONS_S),
    "is two thirds done after 5 s": (RunProgress(5.0, 66), DURATIONS_S),
    "is two thirds done after 6.5 s": (RunProgress(6.5, 66), DURATIONS_S),
    "is two thirds done after 10 s": (RunProgress(10.0, 66), DURATIONS_S),
    "is two thirds done after 6.5 s, all saved": (RunProgress(6.5, 66, 0, 66), DURATIONS_S),
    "is a fifth done after 1.5 s, with 2 ends": (RunProgress(1.5, 20), DURATIONS_S[:2]),
    "is a tenth done after 1.5 s since half": (RunProgress(1.5, 60, 50), DURATIONS_S),
}
# The judged runs on the executor, including the one that is decided on.
EVIDENCE = {
    "none": ExecutorEvidence(slow=1),
    "1 slow run": ExecutorEvidence(slow=2),
    "2 slow runs": ExecutorEvidence(slow=3),
    "3 slow runs": ExecutorEvidence(slow=4),
    "3 slow and 2 sound runs": ExecutorEvidence(slow=4, sound=2),
    "4 slow and 2 sound runs": ExecutorEvidence(slow=5, sound=2),
}
WORK_S, SLOW_SPEED, WIDTH = 4.0, 0.1, 12
STEP = Step(WIDTH, 1_000, 500, 0, WORK_S, anti_affinity=3)
# The store doesn't answer from before the siblings end.
STORE_DOWN_AFTER_S = 3.0


@then("with {others} beside it a straggling run that {run} is {verdict}")
def decided(context, run, others, verdict):
    progress, durations_s = RUNS[run]
    restart = decide(progress, durations_s, EVIDENCE[others], stop_s=STOP_S)
    assert (restart is not None) == (verdict == "restarted"), restart


@when('{plays:d} plays of "{load}" are made with restarts and with nothing done')
def run_plays(context, plays, load):
    seeds = range(1, plays + 1)
    context.naive = [play_load(load, seed, restarts=False) for seed in seeds]
    context.results = [play_load(load, seed, restarts=True) for seed in seeds]


def _change(context):
    """The share by which steps take longer on average than with nothing done."""
    before = mean(result.mean_s for result in context.naive)
    return mean(result.mean_s for result in context.results) / before - 1


@then("steps take {share:f} less on average with restarts than with nothing done")
def take_less(context, share):
    assert _change(context) <= -share, _change(context)


@then("steps take at most {share:f} more on average with restarts than with nothing done")
def take_hardly_more(context, share):
    assert _change(context) <= share, _change(context)


@then("at least {useful:d} of 100 restarts are useful")
def are_useful(context, useful):
    restarts = sum(result.restarts for result in context.results)
    assert sum(result.useful for result in context.results) * 100 >= useful * restarts
    assert restarts or not useful


@then("at most {share:d} of 100 core-seconds are given up")
def keep_to_budget(context, share):
    given_up_s = sum(result.given_up_s for result in context.results)
    assert given_up_s * 100 <= share * sum(result.executed_s for result in context.results)


def _set_links(play, **values):
    for link in play.links:
        for name, value in values.items():
            setattr(link, name, value)


def _set_tasks(play, **values):
    """Set attributes of the tasks of all jobs as these arrive."""
    arrive = play._arrive

    def arrive_and_set():
        arrive()
        for job in play.jobs_by_id.values():
            for task in job.tasks():
                for name, value in values.items():
                    setattr(task, name, value)

    play._arrive = arrive_and_set


def _take_over_slow(play):
    """Have the runs on slow executors started by a former owner, and all others by this one."""
    play.dispatcher.epoch = 1
    play.epoch_of = lambda link: int(link.speed == 1)


EXCLUSIONS = {
    "of gangs": lambda play: None,
    "away from their data": lambda play: None,
    "taken over from a former owner": _take_over_slow,
    "whose mark isn't durable": lambda play: setattr(
        play.dispatcher, "store_progress", lambda job, tasks: SimpleNamespace(durable=False)
    ),
    "on executors being emptied": lambda play: _set_links(play, closing=True),
    "of tasks that crashed executors": lambda play: _set_tasks(play, crashes={0: Crash.AT_WORK}),
    "of tasks restarted before": lambda play: _set_tasks(play, restarted=True),
    "with only paused executors": lambda play: _set_links(play, pause_until=float("inf")),
    "with the feature off": lambda play: setattr(play.dispatcher, "features", LoadFeatures()),
}
EXCLUDED_CASES = {"of gangs": {"gang": True}, "away from their data": {"data_rack": "r9"}}


@when("a play of wide steps on slow executors has runs {which}")
def run_excluded(context, which):
    case = CASES["a sixth at a fifth of the speed, wide steps"]
    case = case._replace(**EXCLUDED_CASES.get(which, {}))
    context.excluded = StragglerPlay(case=case, seed=1, restarts=True)
    EXCLUSIONS[which](context.excluded)
    context.excluded.run()


@when("a play of wide steps on slow executors has capacity for one task elsewhere")
def run_with_little_capacity(context):
    case = CASES["a sixth at a fifth of the speed, wide steps"]
    context.excluded = StragglerPlay(case=case, seed=1, restarts=True)
    free = copy.copy(context.excluded.links[0])
    free.entry = free.entry._replace(
        executor="free", machine="free", capacity=Room(1_500, 64_000, 0)
    )
    free.runs_by_key = {}
    context.excluded.dispatcher.starter.usable_links = lambda step, job: [free]
    context.excluded.run()


@then("runs of the play are restarted one after the other")
def restarted_in_turn(context):
    lines = [line for line in context.excluded.events.captured if line["event"] == "run.restart"]
    times = [line["time"] for line in lines]
    assert len(times) > 1
    assert all(after - before >= PLAY_STOP_S for before, after in itertools.pairwise(times)), times


@then("no run of the play was restarted")
def none_restarted(context):
    lines = context.excluded.events.captured
    assert not [line for line in lines if line["event"] in ("run.restart", "run.restarted")]


@when("a budget of a pool of {cores:d} cores is asked for 1 core-second 10 times a second for 30 s")
def ask_budget(context, cores):
    budget = RestartBudget()
    context.granted = 0
    for tick in range(300):
        budget.refill(cores, tick / 10)
        context.granted += budget.take(1.0)


@then("it grants at most {most:d} core-seconds, and at least {least:d}")
def granted(context, most, least):
    assert least <= context.granted <= most, context.granted


def _lines(context, event):
    return [
        line
        for daemon in context.daemons
        for line in daemon.events.captured
        if line["event"] == event
    ]


async def _no_fault(world, context):
    pass


async def _all_slow(world, context):
    for executor in world.fleet.by_address.values():
        executor.speed = SLOW_SPEED


async def _new_owner_all_slow(world, context):
    # The tasks run anew on other executors when the owner dies.
    await asyncio.sleep(3.0)
    await _all_slow(world, context)
    await owner_troubles.owner_killed(world)


async def _cut(world, context):
    pair = (None, context.slow.entry.executor)
    world.fleet.cut.add(pair)
    await asyncio.sleep(6)
    world.fleet.cut.discard(pair)


async def _lost(world, context):
    context.slow.crash()
    await asyncio.sleep(5)
    world.bear_again(context.slow.entry.machine)


async def _ends(world, context):
    context.slow.speed = 1_000.0


async def _cancel(world, context):
    assert await world.cancel(job_id_of(1), world.owner()) == 200


FAULTS = {
    "no fault": _no_fault,
    "a gang": _no_fault,
    "the owner killed when a stop is sent": lambda w, c: owner_troubles.owner_killed(w),
    "the owner frozen when a stop is sent": lambda w, c: owner_troubles.owner_frozen(w),
    "the executor cut off when a stop is sent": _cut,
    "the executor lost when a stop is sent": _lost,
    "stops that get no answer": lambda w, c: owner_troubles.executors_lose_answers(w),
    "the runs ending while they are stopped": _ends,
    "all executors slow after the restart": _all_slow,
    "a new owner after the restart, all slow": _new_owner_all_slow,
    "the job cancelled when a stop is sent": _cancel,
}
GANG = "a gang"
STORE_DOWN = "the store down before a stop is sent"


async def _watch_daemons(world, context):
    """Keep all daemons' logs, those of daemons that die as well."""
    while True:
        for daemon in world.daemons_by_address.values():
            if daemon not in context.daemons:
                context.daemons.append(daemon)
        await asyncio.sleep(0.05)


async def _store_down(world, context):
    await asyncio.sleep(STORE_DOWN_AFTER_S)
    context.down_from_s = world.loop.time()
    world.store.down = True
    await asyncio.sleep(4)
    context.down_until_s = world.loop.time()
    context.restarts_while_down = len(_lines(context, "run.restart"))
    world.store.down = False


async def _befall(world, context, fault):
    if fault == STORE_DOWN:
        await _store_down(world, context)
        return
    if context.switch is Switch.ON and fault != GANG:
        async with asyncio.timeout(30):
            while not _lines(context, "run.restart"):
                await asyncio.sleep(0.02)
    await FAULTS[fault](world, context)


def _play(context, fault, switch, step):
    context.daemons, context.switch = [], Switch(switch)

    async def scene(world):
        watching = asyncio.ensure_future(_watch_daemons(world, context))
        await asyncio.sleep(START_S)
        context.slow = next(iter(world.fleet.by_address.values()))
        context.slow.speed = SLOW_SPEED
        job_id = job_id_of(1)
        assert await world.submit_until_accepted(job_id, JobSpec("payload", (step,)))
        began = world.loop.time()
        work = asyncio.ensure_future(_befall(world, context, fault))
        context.state = await world.final_state(job_id, 60)
        context.took_s = world.loop.time() - began
        await work
        # What a late order starts, or an old owner, would be seen by then.
        await asyncio.sleep(6)
        watching.cancel()

    features = LoadFeatures(settings=FeatureSettings(stragglers=context.switch))
    context.world = play(scene, executors=4, work_s=WORK_S, features=features)


@when("a job runs with 3 of its 12 tasks on a slow executor, with {fault}, restarts being {switch}")
def run_job(context, fault, switch):
    _play(context, fault, switch, STEP)
    name = context.slow.entry.executor
    assert sum(run.executor == name for run in context.world.fleet.record.runs) == 3
    if fault != STORE_DOWN:
        made = len(_lines(context, "run.restart"))
        assert made == (3 if context.switch is Switch.ON else 0), made


@when("a job of 12 tasks, of which 3 and 11 were restarted, is stored and read by the next owner")
def store_restarted(context):
    stored = StoredJob("quotes", SERVICE, 0.0, JobSpec("payload", (STEP,)))
    before = Job(job_id=job_id_of(1), stored=stored)
    for task in before.tasks():
        task.restarted = task.task_id.number in (3, 11)
    context.job = decode_job(job_id_of(1), encode_job(stored))
    restore_head(context.job, encode_whole(before))


@then("only tasks 3 and 11 count as restarted")
def count_restarted(context):
    assert [t.task_id.number for t in context.job.tasks() if t.restarted] == [3, 11]


@when("a speculative gang of 12 tasks runs with 3 on a slow executor")
def run_gang(context):
    _play(context, GANG, "on", STEP._replace(gang=True, speculative=True))


@when("2 jobs of an account limited to 12 tasks run, with 3 tasks at a time on a slow executor")
def run_limited(context):
    context.daemons, context.phases = [], []

    async def scene(world):
        watching = asyncio.ensure_future(_watch_daemons(world, context))
        world.publish_accounts(directory(limit=Room(cpu=WIDTH * STEP.cpu)), 2)
        await asyncio.sleep(START_S)
        next(iter(world.fleet.by_address.values())).speed = SLOW_SPEED
        for number in (1, 2):
            reply = await world.submit(
                job_id_of(number), JobSpec("payload", (STEP,)), world.owner(), [JOINERS_KEY]
            )
            assert reply.code.http_status == 200, reply
        # Long enough for each slow run to be restarted, or to end on the slow executor.
        await asyncio.sleep(100)
        watching.cancel()
        context.phases = [job.durable_phase for job in world.dispatcher().jobs_by_id.values()]

    features = LoadFeatures(settings=FeatureSettings(stragglers=Switch.ON))
    context.world = play(scene, executors=4, work_s=WORK_S, features=features)


@then("at least {restarts:d} run was restarted, and at most {most:d} tasks ran at any moment")
def limit_held(context, restarts, most):
    assert len(_lines(context, "run.restart")) >= restarts
    changes = []
    for run in context.world.fleet.record.runs:
        changes += [(run.started_at, 1), (run.ended_at, -1)]
    running = itertools.accumulate(change for _, change in sorted(changes))
    assert max(running) <= most


@then("both jobs are completed")
def both_completed(context):
    assert context.phases == [JobPhase.COMPLETED] * 2, context.phases


@then("the job is {state} in {bound:d} s")
def job_done(context, state, bound):
    if state == "not completed":
        assert context.state == "completed" and context.took_s > bound, context.took_s
    else:
        assert context.state == state and context.took_s <= bound, (context.state, context.took_s)


@then("no task was restarted more than once")
def restarted_once(context):
    tasks = [line["task"] for line in _lines(context, "run.restart")]
    stops = [line["task"] for line in _lines(context, "run.stop") if line["why"] == STRAGGLES]
    assert len(set(tasks)) == len(tasks) == len(stops), tasks


@then("no run was restarted while the store was down")
def none_while_down(context):
    assert context.restarts_while_down == 0
    record = context.world.fleet.record.runs
    stopped = [run for run in record if run.how is EndKind.STOPPED]
    assert all(run.ended_at > context.down_until_s for run in stopped), stopped


@then("the speculative gang is logged once")
def gang_logged(context):
    assert len(_lines(context, "step.speculative_gang")) == 1
