"""Steps for the choice and health of executors."""

import asyncio
import os
from collections import Counter

from behave import then, when
from hypothesis import given as drawn
from hypothesis import strategies as st

from features.support.drawing import bounded
from features.support.entries import SpreadSlots, make_state, make_workers
from features.support.rigs import Rig
from mustardgap.executors import Executors
from mustardgap.healths import Sign
from mustardgap.outliers import Outliers, Patient
from mustardgap.settings import PlatformSettings, RequestsSettings, Settings
from mustardgap.timelines import Timeline
from mustardgap.timers import Clock, Timers
from mustardgap.tries import Complete, NotSent, Reset, TimedOut

LONG = os.environ.get("MUSTARDGAP_LONG") == "1"
SIX = [f"x{number}" for number in range(1, 7)]
SICK = {
    "resetting": {"name": "reset_after_reading"},
    "failing": {"name": "failing"},
    "failing 3 of 10": {"name": "failing", "ratio": 0.3},
    "refusing": {"name": "refusing"},
    "ten times as slow": {"name": "slow", "factor": 10.0},
}
OK, HARD = Sign(False), Sign(True, hard=True)
GONE = Sign(True, hard=True, unreachable=True)


class FakeClock(Clock):
    """A clock that stands still until it is moved."""

    now = 1000.0

    def monotonic(self):
        return self.now


class SleepingClock(FakeClock):
    """A clock that stands still, and by which a sleep has no end."""

    def __init__(self):
        self.sleeps = asyncio.Event()

    async def sleep(self, seconds):
        self.sleeps.set()
        await asyncio.Event().wait()


class UnstalledClock(Clock):
    """A clock that leaves out the time in which this process was held up.

    Its hands move with its readings, by ``MAX_STEP_S`` at most.
    """

    MAX_STEP_S = 0.03

    def __init__(self):
        self._shown = self._read = super().monotonic()

    def monotonic(self):
        now = super().monotonic()
        self._shown += min(now - self._read, self.MAX_STEP_S)
        self._read = now
        return self._shown


class Six(Rig):
    """Six executors behind one entry host that spreads its requests, and counts its tries."""

    def __init__(self, **options):
        super().__init__(SIX, slots=SpreadSlots, **options)
        self.tries = Counter()

    async def __aenter__(self):
        await super().__aenter__()
        take_in = self.entry.executors.report

        def report(executor, result, took_s):
            self.tries[executor] += 1
            take_in(executor, result, took_s)

        self.entry.executors.report = report
        return self

    def make_sick(self, sick, names):
        for name in names:
            executor = self.upstreams.by_name[name]
            if sick == "dead":
                executor.cut()
            elif sick == "frozen":
                executor.pause()
            else:
                self.fault(on=name, **SICK[sick])

    async def ask_many(self, kind, count, at_once=12, timeout_s=20.0):
        gate = asyncio.Semaphore(at_once)

        async def one():
            async with gate:
                told = await self.ask(kind, query="run_s=0.01", timeout_s=timeout_s)
            told.check(self.runs(told.path), kind == "idempotent")
            return told

        return await asyncio.gather(*(one() for _ in range(count)))


@when("executors get {count:d} {kind} requests while one of six is {sick}")
def one_of_six(context, count, kind, sick):
    # Where the sick one answers, nothing has to be tried elsewhere for its silence. A test process
    # that is held up would find all six silent, and spend the retries that failures need on that.
    silent = sick in ("frozen", "ten times as slow")

    async def main():
        async with Six(requests={} if silent else {"silent_timeout_s": 15.0}) as r:
            r.make_sick(sick, ["x1"])
            told = await r.ask_many(kind, count)
            unanswered = [t for t in told if t.code != 1000 or t.resp.code != 200]
            context.answered = count - len(unanswered)
            context.unanswered = [
                f"{t.resp.code} {t.code} after {t.resp.request_time:.2f} s: {t.resp.body!r}, "
                f"ran on {[run.executor for run in r.runs(t.path)]}"
                for t in unanswered
            ]
            context.tries = r.tries["x1"]

    asyncio.run(main())


@then("executors answered at least {least:d} of them and the sick one got at most {most:d} tries")
def check_one_of_six(context, least, most):
    seen = f"answered {context.answered}, tries of the sick one {context.tries}"
    seen += f", unanswered {context.unanswered[:10]}"
    assert context.answered >= least and context.tries <= most, seen


ENDS = {
    "can't connect": NotSent(by_time=True),
    "is refused": NotSent(),
    "times out": TimedOut(),
    "is reset": Reset(),
    "is answered": Complete(status=200),
}


@when(
    "executors have a try of {took:g} s that {ends}, and the host is held up for {held:g} s of it"
)
def try_held_up(context, took, ends, held):
    clock, workers = SleepingClock(), make_workers([("x1", "127.0.0.1:1", "r1")])
    timers = Timers(clock=clock)
    settings = Settings(host="e", data_center="d", platform=PlatformSettings(address="127.0.0.1:1"))
    executors = Executors(
        settings=settings, state=make_state(), workers=workers, timers=timers, clock=clock
    )

    async def main():
        watch = asyncio.create_task(timers.run())
        await clock.sleeps.wait()
        # The tick that is due after its period comes later by as long as the host is held up.
        clock.now += timers.TICK_S + held
        executors.report("x1", ENDS[ends], took)
        watch.cancel()

    asyncio.run(main())
    context.health = executors.outliers.by_executor["x1"].health


@then("executors have that try {counts}")
def check_counted(context, counts):
    health = context.health
    seen = "not counted" if not health.tries else "counted" if health.mean_s else "counted timeless"
    assert seen == counts, (health.tries, health.mean_s)


@when("executors with a budget of {budget:d} get requests while {many:d} of six are {sick}")
def many_of_six(context, budget, many, sick):
    async def main():
        async with Six(min_hosts=budget) as r:
            r.make_sick(sick, SIX[:many])
            await r.ask_many("idempotent", 300, timeout_s=0.4)
            patients = r.entry.executors.outliers.by_executor.values()
            context.ejected = [p.executor for p in patients if p.state == "ejected"]
            for executor in r.upstreams.by_name.values():
                executor.resume()

    asyncio.run(main())


@then("executors ejected are at most {most:d}")
def check_ejected(context, most):
    assert len(context.ejected) <= most, context.ejected


@when("executors have one that is sick, then well")
def sick_then_well(context):
    # All six can be reached and answer at once, well or not. A test process that is held up would
    # find the whole rack unreachable, silent or slow, eject three, and have to use the sick one.
    waits = {"silent_timeout_s": 15.0, "connect_timeout_s": 15.0}
    times = {"eject_s": 0.3, "slow_start_s": 0.4, **waits}

    async def main():
        async with Six(requests=times, clock=UnstalledClock()) as r:
            r.make_sick("resetting", ["x1"])
            outliers = r.entry.executors.outliers
            async with asyncio.timeout(120):
                while outliers.by_executor["x1"].ejections < 2:
                    await r.ask_many("idempotent", 12)
                runs = len([run for run in r.runs() if run.executor == "x1"])
                r.upstreams.faults.clear()
                while outliers.by_executor["x1"].state != "probing":
                    await r.ask_many("non-idempotent", 12)
                await r.ask_many("non-idempotent", 48)
                context.unproven = len([x for x in r.runs() if x.executor == "x1"]) - runs
                while outliers.by_executor["x1"].state != "well":
                    await r.ask_many("idempotent", 12)
            context.kinds = [e.kind for e in outliers.timeline.events(executor="x1")]

    asyncio.run(main())


@then("executors saw it ejected, probing, ejected for longer, probing, returning and well")
def check_return(context):
    kinds = [kind.removeprefix("executor.") for kind in context.kinds]
    assert kinds[:3] == ["ejected", "probing", "ejected"], kinds
    assert kinds[-3:] == ["probing", "returning", "well"], kinds


@then("executors gave it no non-idempotent request before it had answered a probe")
def check_probe(context):
    assert context.unproven == 0, context.unproven


@when("executors hear from {source} that one leaves")
def hear_leaving(context, source):
    # One that leaves closes its port after a time without requests, and is then found unreachable
    # instead of leaving. A test process that is held up lets that time pass before it has asked.
    open_on = {"drain_quiet_s": 600.0, "drain_grace_s": 600.0}
    # A connection or answer that is late by the test's own pause is waited for: at most the 12
    # requests that are under way at once reach it before the first answer tells of its leaving.
    waits = {"silent_timeout_s": 15.0, "connect_timeout_s": 15.0}

    async def main():
        async with Six(executors=open_on, requests=waits) as r:
            executors = r.entry.executors
            views = lambda: [v.executor for v in executors.candidates("quotes")]  # noqa: E731
            heard = []
            executors.on_leaving(heard.append)
            info, hosts = executors.workers.by_id["w-x1"], executors.state.hosts_by_name
            if source == "its answer":
                r.fault("leaving", on="x1")
                await r.ask_many("idempotent", 60)
                assert heard == ["x1"], heard
                after = r.upstreams.by_name["x1"].show()["after_leaving"]
                assert len(after) <= 12, "more than what was under way"
            elif source == "a peer":
                executors.mark_leaving("x1", from_peer=True)
                assert not heard, "told back to the peers"
            elif source == "the log":
                hosts["w-x1"] = {"phase": "draining"}
                executors.state.offset += 1
            elif source == "the platform's host list":
                executors.leaving_workers(["w-x1"])
            else:
                info["state"] = "draining"
                executors.workers.callbacks[0]({"w-x1"})
            context.left = views()
            hosts["w-x1"] = {"phase": "in_service"}
            executors.state.offset += 1
            executors.leaving_workers([])
            for state in ("rebooting", "up"):
                info["state"] = state
                executors.workers.callbacks[0]({"w-x1"})
            context.back = views()

    asyncio.run(main())


@then("executors leave it out at once and give it back when it is up again")
def check_leaving(context):
    assert context.left == SIX[1:], context.left
    assert sorted(context.back) == SIX, context.back


def watch(floor=1, racks="aaabbb", on_change=lambda service: None):
    """Six patients of one service on a clock that stands still."""
    clock = FakeClock()
    outliers = Outliers(
        settings=RequestsSettings(),
        clock=clock,
        timeline=Timeline(member="e", clock=clock),
        floor=lambda service: floor,
        on_change=on_change,
    )
    for name, rack in zip(SIX, racks, strict=True):
        patient = Patient(executor=name, service="quotes", worker=f"w-{name}", rack=rack)
        outliers.add(patient, slowly=False)
    return outliers


def spread_failures(failed, tries):
    """Signs of which some are failures, evenly spread, the last one a success."""
    return [HARD if (n + 1) * failed // tries > n * failed // tries else OK for n in range(tries)]


@when("executors fail {elsewhere:d} of 100 tries each, and one fails {failed:d} of {tries:d}")
def fail_shares(context, elsewhere, failed, tries):
    context.outliers = outliers = watch()
    for name in SIX[1:]:
        for sign in reversed(spread_failures(elsewhere, 100)):
            outliers.note(name, sign, 0.01)
    for sign in reversed(spread_failures(failed, tries)):
        outliers.note("x1", sign, 0.01)
    outliers.clock.now += 1.0
    outliers.note("x2", OK, 0.01)


def times(text):
    """The times that a text such as ``19 x no time, 1 x 2 s`` names, None where there is none."""
    found = []
    for part in text.split(", "):
        count, _, took = part.partition(" x ")
        found += [None if took == "no time" else float(took.removesuffix(" s"))] * int(count)
    return found


@when("executors have tries of {here} at one of six and {elsewhere} elsewhere")
def timed_tries(context, here, elsewhere):
    context.outliers = outliers = watch()
    for name in SIX:
        for took_s in times(here if name == "x1" else elsewhere):
            outliers.note(name, OK, took_s)
    outliers.clock.now += 1.0
    outliers.note("x2", OK, times(elsewhere)[0])


PEERS = {
    "failed twice each": [Sign(True)] * 2,
    "answered twice each": [OK] * 2,
    "failed once each": [Sign(True)],
    "answered once each": [OK],
    "not been tried": [],
    "failed 4 times each": [Sign(True)] * 4,
}


@when("executors have five failures in a row at one of six, whose peers have {tried}")
def five_first(context, tried):
    context.outliers = outliers = watch()
    for name in SIX[1:]:
        for sign in PEERS[tried]:
            outliers.note(name, sign, 0.01)
    for _ in range(5):
        outliers.note("x1", Sign(True), 0.01)


@then("executors have that one {state}")
def check_one(context, state):
    states = {name: patient.state for name, patient in context.outliers.by_executor.items()}
    assert states == dict.fromkeys(SIX, "well") | {"x1": state}, states


@when("executors are found at the start, and one more later")
def found(context):
    rows = [(name, "127.0.0.1:1", "r") for name in SIX]
    found, workers = make_workers(rows).by_id, make_workers([])
    settings = Settings(host="e", data_center="d", platform=PlatformSettings(address="127.0.0.1:1"))
    executors = Executors(settings=settings, state=make_state(), workers=workers)
    for names in (SIX[:5], SIX[5:]):
        workers.by_id.update({f"w-{name}": found[f"w-{name}"] for name in names})
        workers.callbacks[0]({f"w-{name}" for name in names})
    context.weights = {v.executor: v.weight for v in executors.candidates("quotes")}


@then("executors found at the start have full shares and the later one the smallest")
def check_found(context):
    assert context.weights == dict.fromkeys(SIX[:5], 1.0) | {"x6": 0.1}, context.weights


@when("executors of two workers of a rack can't be reached")
def rack_fails(context):
    context.outliers = watch()
    for name in ("x1", "x2", "x3", "x4"):
        context.outliers.note(name, GONE, 0.5)


@then("executors elsewhere in that rack are ejected by one failure, and others aren't")
def check_rack(context):
    states = {name: patient.state for name, patient in context.outliers.by_executor.items()}
    assert states["x3"] == "ejected" and states["x4"] == "well", states


@when("executors' signs are drawn")
def draw_signs(context):
    signs = st.sampled_from([OK, OK, OK, HARD, GONE, Sign(True)])
    steps = st.lists(
        st.tuples(st.sampled_from(SIX), signs, st.sampled_from([0.01, 0.01, 0.5]),
                  st.sampled_from([0.0, 0.1, 1.0, 20.0])),
        max_size=120,
    )  # fmt: skip

    @bounded(3000 if LONG else 150)
    @drawn(steps, st.integers(0, 6))
    def example(drawn_steps, floor):
        outliers = watch(floor)
        failed = set()
        for name, sign, took_s, pause_s in drawn_steps:
            outliers.clock.now += pause_s
            outliers.note(name, sign, took_s)
            failed |= {name} if sign.failed or took_s > 0.1 else set()
            weights = {name: outliers.weight(name) for name in SIX}
            out = {name for name, weight in weights.items() if weight == 0.0}
            assert 6 - len(out) >= max(floor, 3), weights
            assert out <= failed, "ejected without a failure"
            assert all(0.1 <= w <= 1.0 for n, w in weights.items() if n not in out), weights

    example()


@then("executors that stay are never fewer than the floor")
def check_floor(context):
    """The drawing step has checked it after each sign."""
