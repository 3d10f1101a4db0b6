"""Steps for reports that list a part of an executor's ends, on virtual time."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from features.support.owner_jobs import START_S, job_id_of, starts_by_task, until
from mustardgap.adaptive_timeouts import OrdersInFlight
from mustardgap.events import EventLog
from mustardgap.executor_links import ExecutorLink
from mustardgap.job_states import Task
from mustardgap.pool_views import _executor_views
from mustardgap.resources import NO_ROOM, Room
from mustardgap.runs import Run, RunPhase, Stray
from mustardgap.workloads import (
    EndKind,
    EndRow,
    ExecutorEntry,
    JobSpec,
    Report,
    RunRow,
    Step,
    TaskId,
)
from tools.owner_worlds import play
from tools.virtual_time import VirtualClock, run

WIDTH = 1600
# The tasks wait for this, so that the owner can be killed as they end.
WORK_S = 12.0
STEP = Step(10, 100, 100, 0, 1.0)
ALL_ROOM = Room(10_000, 10_000, 0)
SERVICE = "quoting"
FORMER = "former"
STRAY = TaskId(FORMER, 0, 1, 0)


@when(
    "the owner of a job of {width:d} small tasks is killed as they end, with {executors:d} "
    "executors and the store {store}"
)
def kill_while_ending(context, width, executors, store):
    step = Step(width, 4, 4, 0, WORK_S)

    async def scene(world):
        await asyncio.sleep(START_S)
        assert await world.submit_until_accepted(job_id_of(1), JobSpec("wide", (step,)))
        record = world.fleet.record
        assert await until(lambda: len(record.runs) >= width, 20)
        there = list(world.fleet.by_address.values())
        await asyncio.sleep(0.5)
        for executor in there:
            for number, ended in enumerate(list(executor.runs.values())):
                # Most end before the next owner asks, and the others while it reads of them.
                left_s = number / width + (2.0 if number % 16 == 0 else 0.0)
                ended.done_s = WORK_S - left_s - 0.1
        world.kill(world.owner())
        world.store.slow_s = 0.1 if store == "slow" else 0.0
        context.state = await world.final_state(job_id_of(1), 60)
        await asyncio.sleep(2.0)

    context.world = play(scene, work_s=WORK_S, executors=executors)


@then("each task was started once, and the job is shown as completed")
def started_once(context):
    again = {task: n for task, n in starts_by_task(context.world).items() if n > 1}
    assert not again, f"{len(again)} tasks were started again"
    assert context.state == "completed", context.state


class LinkRig:
    """A link to an executor, with an owner that keeps what it is told."""

    def __init__(self):
        self.clock = VirtualClock(loop=asyncio.get_running_loop())
        self.lost, self.ended = [], []
        self.link = ExecutorLink(
            entry=_entry(),
            fence=1,
            port=None,
            owner=self,
            clock=self.clock,
            events=EventLog(host="e1", clock=self.clock),
            shard_starts=asyncio.Semaphore(),
            orders_in_flight=OrdersInFlight(),
            inherited_lapse_at=0.0,
        )
        self.own = [self.begin(number) for number in range(3)]
        self.end_count = 0
        # A run that the executor doesn't list.
        self.gone = None

    def begin(self, number):
        """Begin a run of the owner's, which the executor has confirmed."""
        task = Task(task_id=TaskId("own", 0, 0, number), step=STEP)
        begun = Run(task=task, number=1, link=self.link, now=self.clock.monotonic())
        begun.confirmed_at, begun.sent, begun.phase = begun.started_at, True, RunPhase.RUNNING
        begun.at_work = True
        task.run = begun
        self.link.add(begun)
        return begun

    # What a link tells its owner.

    def on_end(self, link, end, begun):
        if begun is not None:
            self.ended.append(begun)

    def on_lost(self, link, begun, why):
        self.lost.append(begun)

    def on_unknown_row(self, link, row):
        return Stray("not known")

    def room_of(self, task_id):
        return STEP.room

    def on_report(self, link):
        pass

    def on_at_work(self, begun):
        pass

    # What the executor reports.

    async def report(self, what):
        await asyncio.sleep(0.5)
        sent_at = self.clock.monotonic()
        await asyncio.sleep(0.01)
        self.link._apply_report(self._report(what), sent_at)

    def _report(self, what):
        if "without a run" in what:
            self.gone = self.own[0]
        elif what == "all runs again":
            self.gone = None
        running = [] if "no run" in what else [row for row in self.own if row is not self.gone]
        rows = [RunRow(begun.task.task_id, 1, "", 50) for begun in running]
        if what == "no end and a stray":
            rows.append(RunRow(STRAY, 1, "", 50))
        if what in ("no end and a stray", "all runs again"):
            ends = self._ends(0) if "stray" in what else self._ends(500)
        elif what.startswith("500 ends"):
            ends = self._ends(500)
        elif what == "the other 200":
            ends = self._ends(200)
        elif what == "500 more of unknown runs":
            ends = self._ends(500)
        elif what == "the stray's end and 499 more":
            ends = self._ends(499)
            ends[0] = ends[0]._replace(task=STRAY)
            ends += self._ends(1)
        elif what == "that run's end":
            ends = self._ends(0, self.own[0])
        else:
            last = self.own[2] if "that it listed" in what else self.begin(9)
            self.link.remove(last)
            self.own = [begun for begun in self.own if begun is not last]
            rows = [row for row in rows if row.task != last.task.task_id]
            self.link.add(last)
            ends = self._ends(499, last)
        return Report(int(self.clock.monotonic() * 1000), tuple(rows), tuple(ends))

    def _ends(self, count, *begun):
        tasks = [TaskId(FORMER, 0, 0, self.end_count + n) for n in range(count)]
        tasks += [ended.task.task_id for ended in begun]
        first = self.end_count + 1
        self.end_count += len(tasks)
        return [EndRow(first + n, task, 1, EndKind.DONE, "") for n, task in enumerate(tasks)]


def _entry():
    return ExecutorEntry(
        executor="x1",
        service=SERVICE,
        address="x1:9",
        data_centre="d1",
        draining=False,
        capacity=ALL_ROOM,
        rack="r1",
        machine="m1",
    )


@given("an executor that runs 3 tasks of its owner's and 700 of a former one's")
def executor_with_runs(context):
    pass


@when("it reports {reports}")
def report(context, reports):
    async def scene():
        context.rig = rig = LinkRig()
        context.gone = rig.own[0]
        for what in reports.removesuffix(", and crashes").split(", "):
            await rig.report(what)
        context.now = rig.clock.monotonic()

    run(scene())


@then("it {is_or_not} accounted for")
def accounted(context, is_or_not):
    assert context.rig.link.accounts.any_full is (is_or_not == "is")


@then("that run isn't lost, nor at work, nor stopped")
def run_left(context):
    assert not context.rig.lost
    assert not context.gone.at_work and context.gone.phase is RunPhase.ENDED
    context.rig.link.stop_run(context.gone, "stalled")
    assert context.gone.phase is RunPhase.ENDED


@then("that run is lost")
def run_lost(context):
    assert context.rig.lost == [context.gone]


@then("that run has ended, and isn't lost")
def run_ended(context):
    assert context.rig.ended == [context.gone] and not context.rig.lost


@then("the crash counts for the runs that it listed alone")
def crash_counted(context):
    blamed = []
    dispatcher = SimpleNamespace(roster=SimpleNamespace(entries_by_id={}))
    tracker = _tracker(dispatcher, context.rig.clock)
    tracker._record_crash = lambda site, begun, crash: blamed.append(begun)
    tracker.on_closed(context.rig.link)
    assert set(blamed) == set(context.rig.own) - {context.gone}, blamed


def _tracker(dispatcher, clock):
    from mustardgap.crashes import CrashTracker
    from mustardgap.policies import WHOLE

    events = EventLog(host="e1", clock=clock)
    return CrashTracker(dispatcher=dispatcher, clock=clock, events=events, policy=WHOLE)


@then("all runs of the owner's are running")
def all_running(context):
    assert [begun.phase for begun in context.rig.own] == [RunPhase.RUNNING] * 3


@then("no room of it is free")
def no_room(context):
    assert not context.rig.link.holds(STEP.room)


@then("room of it is free")
def some_room(context):
    assert context.rig.link.holds(STEP.room)


@then("the stray's room isn't free")
def stray_room(context):
    assert context.rig.link.foreign == STEP.room, context.rig.link.foreign


@then("no stray's room is taken")
def no_stray_room(context):
    assert context.rig.link.foreign == NO_ROOM, context.rig.link.foreign


@then("its pool's view {shows} it as empty")
def pool_view(context, shows):
    link = context.rig.link
    for begun in list(link.runs_by_key.values()):
        link.remove(begun)
    roster = SimpleNamespace(links_by_executor={"x1": link})
    view = _executor_views(SimpleNamespace(roster=roster), SERVICE)[0]
    assert view.up_to_date
    assert (view.short_runs + view.lasting_runs == 0) is (shows == "shows"), view
