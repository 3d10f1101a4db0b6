"""Steps for the fuzz of the whole system and for single faults that it found."""

import asyncio
import json
import time
from types import SimpleNamespace

from behave import then, when

from features.support.entries import FirstExecutorSlots
from features.support.rigs import Rig
from mustardgap import outliers
from standins import answers
from tools import fuzz, fuzz_checks, fuzz_fleet, fuzz_schedules
from tools.fuzz_operators import Attempt
from tools.fuzz_schedules import Step
from tools.fuzz_worlds import Window, World
from tools.processes import get_json
from tools.told import Told


@when("the fuzz carries out at {rate:g} requests a second")
def run(context, rate):
    rows = [row.as_dict() for row in context.table]
    numbers = ({f: float(row[f]) for f in ("at_s", "for_s", "number")} for row in rows)
    schedule = [Step(**{**row, **n}) for row, n in zip(rows, numbers, strict=True)]
    seconds = max(step.at_s + step.for_s for step in schedule)
    context.verdict = fuzz.fuzz(1, schedule, seconds=seconds, rate=rate)


@when("the fuzz draws steps for {count:d} seeds")
def draw(context, count):
    context.drawn = [fuzz_schedules.draw(seed, 30.0) for seed in range(count)]
    context.again = [fuzz_schedules.draw(seed, 30.0) for seed in range(count)]


@then("the fuzz's steps are those it drew before, and name every action")
def check_drawn(context):
    assert context.drawn == context.again
    coded = json.loads(json.dumps([fuzz_schedules.encode(drawn) for drawn in context.drawn]))
    assert [fuzz_schedules.decode(value) for value in coded] == context.drawn
    missing = set(fuzz_schedules.SHAPES) - {step.action for d in context.drawn for step in d}
    assert not missing, missing


@then("the fuzz finds every promise kept")
def check(context):
    verdict = context.verdict
    steps = [*fuzz_schedules.lines(verdict.schedule), *verdict.notes]
    assert not verdict.faults, "\n".join([*steps, *fuzz.lines(verdict)])
    assert verdict.by_outcome["answered"], verdict.by_outcome


@when("the fuzz lets a single write meet a reset before its first byte")
def meet_reset(context):
    async def main():
        async with Rig() as r:
            r.upstreams.by_name["x1"].accept = _reset_soon
            _see_resets(r.entry.sessions.upstreams._client)
            context.told = await r.ask("non-idempotent")
            context.runs = r.runs(context.told.path)

    asyncio.run(main())


@then("the fuzz's caller is told {code:d} after {count:d} run")
def check_told(context, code, count):
    assert context.told.code == code, (context.told.code, context.told.resp.error)
    assert len(context.runs) == count, context.runs


def _reset_soon(stream):
    asyncio.get_running_loop().call_later(0.01, answers.reset, stream)
    return False


def _see_resets(client):
    """Let the loop see the end of a connection that is reset before the request is written."""
    connect = client.connect

    async def connect_and_look(*args, **kwargs):
        stream = await connect(*args, **kwargs)
        stream.set_close_callback(lambda: None)
        for _ in range(20):
            await asyncio.sleep(0.005)
            if stream.closed():
                break
        return stream

    client.connect = connect_and_look


# The judge: what was told, run or recorded in each case, and what it is told by.


def _told(outcome, *, number=0, kind=0, sent=10.0, code=1000):
    facts = {"keyed": True, "idempotent": False, "service": "alpha", "stage": 0, "detail": "broken"}
    return Told(
        id=f"n.{number}", outcome=outcome, kind=kind, sent=sent, latency_s=1.0, code=code, **facts
    )


def _judge_told(*copies, run_at=None, window=""):
    runs = [] if run_at is None else [{"path": "/x?load=n", "executor": "x", "start": run_at}]
    windows = fuzz_checks.Windows([Window(window, "e1", 9.0, 12.0)] if window else [], {"": "e1"})
    return fuzz_checks.check_told(copies, runs, windows)


def _judge_drain(*events):
    first = [(0.0, worker, "up") for worker in "abc"]
    histories = {worker: [] for worker in "abc"}
    for at, worker, state in [*first, *events]:
        histories[worker].append({"time": at, "pool": "alpha", "state": state})
    windows = fuzz_checks.Windows([], {})
    return fuzz_checks.check_planned({"workers": histories}, windows, since=1.0)


def _judge_job(*outcomes):
    runs = [{"start": i, "worker": "a", "outcome": text} for i, text in enumerate(outcomes)]
    truth = {"jobs": {"j": {"runs": runs, "overlapping": 0}}}
    return fuzz_checks.check_jobs(truth, {"j": False})


def _judge_changes(shown, *attempts):
    tried = [Attempt("team/a", 3, value, told, at, "") for value, told, at in attempts]
    items = {"team/a": {"version": shown[0], "value": shown[1]}}
    return fuzz_checks.check_configuration(tried, {"e1": items})


_LARGE = next(i for i, kind in enumerate(fuzz_fleet.mix()) if kind.answer_bytes)
_REFUSED = _told("refused", code=1107)
_FOUND = {
    "a run after the copy that was answered was sent": lambda: _judge_told(
        _REFUSED, _told("answered", number=1, sent=20.0), run_at=20.5
    ),
    "a run before any copy but a refused one": lambda: _judge_told(
        _REFUSED, _told("answered", number=1, sent=20.0), run_at=10.5
    ),
    "a connection that a killed daemon broke": lambda: _judge_told(
        _told("broken"), window="daemon_kill"
    ),
    "a connection that a stopping daemon broke": lambda: _judge_told(
        _told("broken"), window="daemon_stop"
    ),
    "a silent daemon that was frozen": lambda: _judge_told(_told("silent"), window="daemon_freeze"),
    "a silent daemon that ran": lambda: _judge_told(_told("silent"), window="daemon_kill"),
    "a large answer that ended as cut": lambda: _judge_told(_told("cut", kind=_LARGE)),
    "a small answer that ended as cut": lambda: _judge_told(_told("cut")),
    "a drain that leaves as many hosts as it must": lambda: _judge_drain((2.0, "a", "draining")),
    "a drain that leaves too few hosts": lambda: _judge_drain(
        (2.0, "a", "draining"), (3.0, "b", "draining")
    ),
    "a drain just after a host was lost": lambda: _judge_drain(
        (2.0, "a", "down"), (3.0, "b", "draining")
    ),
    "a drain long after a host was lost": lambda: _judge_drain(
        (2.0, "a", "down"), (30.0, "b", "draining")
    ),
    "a job that may not run twice and went on": lambda: _judge_job("checkpointed", "done"),
    "a job that may not run twice and did": lambda: _judge_job("lost", "done"),
    "a change that was accepted and is in force": lambda: _judge_changes(
        (7, 1), (1, "accepted", 7), (2, "rejected", -1)
    ),
    "a change that was accepted and is not in force": lambda: _judge_changes(
        (3, 0), (1, "accepted", 7)
    ),
    "a change that was rejected and is in force": lambda: _judge_changes(
        (7, 2), (2, "rejected", -1)
    ),
    "two changes of one version that were accepted": lambda: _judge_changes(
        (8, 2), (1, "accepted", 7), (2, "accepted", 8)
    ),
    "a daemon that went back to an older version": lambda: fuzz_checks.check_versions(
        {"team/a": 7}, {"team/a": 3}, "e1"
    ),
}


@when("the fuzz's judge looks at {what}")
def judge(context, what):
    context.faults = _FOUND[what]()


@then("the fuzz's judge finds {faults}")
def check_found(context, faults):
    found = {fault.promise for fault in context.faults}
    assert found == (set() if faults == "nothing" else {faults}), context.faults


# A frozen entry host.


class _PickedSlots(FirstExecutorSlots):
    """Gives the executor that the test picks."""

    pick = "x2"

    async def acquire(self, service, **kwargs):
        await super().acquire(service, **kwargs)
        views = self.executors.candidates(service)
        return SimpleNamespace(executor=next(v for v in views if v.executor == self.pick))


@when(
    "the fuzz freezes an entry host for {seconds:g} s with {count:d} reads at one of two executors"
)
def freeze_entry(context, seconds, count):
    waits = {"silent_timeout_s": 10.0, "connect_timeout_s": 10.0}

    async def main():
        async with Rig(slots=_PickedSlots, requests=waits) as r:
            for _ in range(count):
                await r.ask("idempotent")
            r.entry.slots.pick = "x1"
            x1 = r.upstreams.by_name["x1"]
            # x1 answers none before the freeze, and each is there by then: a read that is sent
            # after it isn't concerned by the pause, and x1 would rightly be judged by it.
            x1.pause()
            reads = asyncio.gather(*(r.ask("idempotent") for _ in range(count)))
            async with asyncio.timeout(60):
                while x1.show()["in_hand"] < count:
                    await asyncio.sleep(0.001)
            x1.resume()
            time.sleep(seconds)  # noqa: ASYNC251
            told = await reads
            assert all(one.code == 1000 for one in told), [one.code for one in told]
            # The answers come together, within one period of the checks: the next check sees all.
            r.entry.slots.pick = "x2"
            await asyncio.sleep(2 * outliers.CHECK_INTERVAL_S)
            await r.ask("idempotent")
            patients = r.entry.executors.outliers.by_executor
            context.states = {name: patient.state for name, patient in patients.items()}

    asyncio.run(main())


@then("the fuzz's entry host counts both executors as well")
def check_states(context):
    assert context.states == {"x1": "well", "x2": "well"}, context.states


# The first declarations.


@when("the fuzz's operator applies the first declarations {seconds:g} seconds after the start")
def apply_late(context, seconds):
    context.world = World(processes=context.processes, seed=1)
    context.world.start(apply_after_s=seconds)


@then("the fuzz's daemons have all hosts in their pools")
def check_hosts(context):
    address = context.world.cluster.daemons_by_name["e1"].operators

    def pools():
        hosts = get_json(f"http://{address}/v1/hosts")["items"]
        return {name: host["pool"] for name, host in hosts.items()}

    context.world.cluster.wait("all hosts", lambda: len(pools()) == len(fuzz_fleet.WORKERS))
