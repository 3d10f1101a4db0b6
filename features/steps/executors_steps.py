"""Steps for the choice and health of executors."""

import asyncio
import os
from collections import Counter

from behave import then, when
from hypothesis import given as given_random
from hypothesis import strategies as st

from features.support.drawing import bounded
from features.support.entries import LeastLoadedSlots, make_state, make_workers
from features.support.rigs import Rig
from mustardgap.executors import Executors
from mustardgap.healths import HealthSign
from mustardgap.outliers import Outliers, TrackedExecutor
from mustardgap.settings import PlatformSettings, RequestsSettings, Settings
from mustardgap.timelines import Timeline
from mustardgap.timers import Clock, Timers
from mustardgap.tries import Complete, NotSent, Reset, TimedOut

LONG = os.environ.get("MUSTARDGAP_LONG") == "1"
NAMES = [f"x{number}" for number in range(1, 7)]
FAULTS = {
    "resetting": {"name": "reset_after_reading"},
    "failing": {"name": "failing"},
    "failing 3 of 10": {"name": "failing", "ratio": 0.3},
    "refusing": {"name": "refusing"},
    "ten times as slow": {"name": "slow", "factor": 10.0},
}
OK, HARD = HealthSign(False), HealthSign(True, hard=True)
UNREACHABLE = HealthSign(True, hard=True, unreachable=True)


class FakeClock(Clock):
    """A clock that stands still until it is moved."""

    now = 1000.0

    def monotonic(self):
        return self.now


class EndlessSleepClock(FakeClock):
    """A clock that stands still, and whose sleeps never end."""

    def __init__(self):
        self.sleeps = asyncio.Event()

    async def sleep(self, seconds):
        self.sleeps.set()
        await asyncio.Event().wait()


class PauseFreeClock(Clock):
    """A clock that leaves out the pauses of this process.

    Each reading advances it by the time since the last one, by ``MAX_STEP_S`` at most.
    """

    MAX_STEP_S = 0.03

    def __init__(self):
        self._shown = self._read = super().monotonic()

    def monotonic(self):
        now = super().monotonic()
        self._shown += min(now - self._read, self.MAX_STEP_S)
        self._read = now
        return self._shown


class SixExecutorsRig(Rig):
    """Six executors behind one entry host that spreads its requests and counts its tries."""

    def __init__(self, **options):
        super().__init__(NAMES, slots=LeastLoadedSlots, **options)
        self.tries = Counter()

    async def __aenter__(self):
        await super().__aenter__()
        original_report = self.entry.executors.report

        def report(executor, result, took_s):
            self.tries[executor] += 1
            original_report(executor, result, took_s)

        self.entry.executors.report = report
        return self

    def inject_fault(self, sick, names):
        for name in names:
            executor = self.upstreams.by_name[name]
            if sick == "dead":
                executor.cut()
            elif sick == "frozen":
                executor.pause()
            else:
                self.fault(on=name, **FAULTS[sick])

    async def send_requests(self, kind, count, max_concurrent=12, timeout_s=2.0):
        gate = asyncio.Semaphore(max_concurrent)

        async def send_one():
            async with gate:
                reply = await self.ask(kind, query="run_s=0.01", timeout_s=timeout_s)
            reply.check(self.runs(reply.path), kind == "idempotent")
            return reply

        return await asyncio.gather(*(send_one() for _ in range(count)))


@when("{count:d} {kind} requests are sent to six executors of which one is {sick}")
def send_while_one_sick(context, count, kind, sick):
    # If the sick executor answers, no retries for silence are needed. With a short silent timeout,
    # a pause of the test process would make all six seem silent and use up the retries that
    # failures need.
    silent = sick in ("frozen", "ten times as slow")

    async def main():
        async with SixExecutorsRig(requests={} if silent else {"silent_timeout_s": 15.0}) as r:
            r.inject_fault(sick, ["x1"])
            replies = await r.send_requests(kind, count)
            unanswered = [t for t in replies if t.code != 1000 or t.resp.code != 200]
            context.answered = count - len(unanswered)
            context.unanswered = [
                f"{t.resp.code} {t.code} after {t.resp.request_time:.2f} s: {t.resp.body!r}, "
                f"ran on {[run.executor for run in r.runs(t.path)]}"
                for t in unanswered
            ]
            context.tries = r.tries["x1"]

    asyncio.run(main())


@then("at least {least:d} requests are answered and the sick executor gets at most {most:d} tries")
def check_one_of_six(context, least, most):
    seen = f"answered {context.answered}, tries of the sick one {context.tries}"
    seen += f", unanswered {context.unanswered[:10]}"
    assert context.answered >= least and context.tries <= most, seen


RESULTS = {
    "can't connect": NotSent(by_time=True),
    "is refused": NotSent(),
    "times out": TimedOut(),
    "is reset": Reset(),
    "is answered": Complete(status=200),
}


@when("an executor's try of {took:g} s {ends} and the host is paused for {paused:g} s of it")
def report_try_during_pause(context, took, ends, paused):
    clock, workers = EndlessSleepClock(), make_workers([("x1", "127.0.0.1:1", "r1")])
    timers = Timers(clock=clock)
    settings = Settings(host="e", data_center="d", platform=PlatformSettings(address="127.0.0.1:1"))
    executors = Executors(
        settings=settings, state=make_state(), workers=workers, timers=timers, clock=clock
    )

    async def main():
        tick_task = asyncio.create_task(timers.run())
        await clock.sleeps.wait()
        # A pause of the host delays the next tick by its length.
        clock.now += timers.TICK_S + paused
        executors.report("x1", RESULTS[ends], took)
        tick_task.cancel()

    asyncio.run(main())
    context.health = executors.outliers.by_executor["x1"].health


@then("the executor's try is {counts}")
def check_counted(context, counts):
    health = context.health
    seen = "not counted" if not health.tries else "counted" if health.mean_s else "counted untimed"
    assert seen == counts, (health.tries, health.mean_s)


@when("a service with a budget of {budget:d} gets requests while {count:d} of six are {sick}")
def send_while_several_sick(context, budget, count, sick):
    async def main():
        async with SixExecutorsRig(min_hosts=budget) as r:
            r.inject_fault(sick, NAMES[:count])
            await r.send_requests("idempotent", 300, timeout_s=0.4)
            tracked_executors = r.entry.executors.outliers.by_executor.values()
            context.ejected = [t.executor for t in tracked_executors if t.state == "ejected"]
            for executor in r.upstreams.by_name.values():
                executor.resume()

    asyncio.run(main())


@then("at most {most:d} executors are ejected")
def check_ejected(context, most):
    assert len(context.ejected) <= most, context.ejected


@when("one of six executors is sick and then recovers")
def sick_then_well(context):
    # All six executors are reachable and answer at once. Without long timeouts, a pause of the test
    # process would make the whole rack seem unreachable, silent or slow; three executors would be
    # ejected for that and the sick one would have to stay in use.
    waits = {"silent_timeout_s": 15.0, "connect_timeout_s": 15.0}
    times = {"eject_s": 0.3, "slow_start_s": 0.4, **waits}

    async def main():
        async with SixExecutorsRig(requests=times, clock=PauseFreeClock()) as r:
            r.inject_fault("resetting", ["x1"])
            outliers = r.entry.executors.outliers
            async with asyncio.timeout(120):
                while outliers.by_executor["x1"].ejections < 2:
                    await r.send_requests("idempotent", 12)
                runs = len([run for run in r.runs() if run.executor == "x1"])
                r.upstreams.faults.clear()
                while outliers.by_executor["x1"].state != "probing":
                    await r.send_requests("non-idempotent", 12)
                await r.send_requests("non-idempotent", 48)
                context.unsafe_runs = len([x for x in r.runs() if x.executor == "x1"]) - runs
                while outliers.by_executor["x1"].state != "well":
                    await r.send_requests("idempotent", 12)
            context.kinds = [e.kind for e in outliers.timeline.events(executor="x1")]

    asyncio.run(main())


@then("the executor is ejected, probing, ejected for longer, probing, returning and well")
def check_return(context):
    kinds = [kind.removeprefix("executor.") for kind in context.kinds]
    assert kinds[:3] == ["ejected", "probing", "ejected"], kinds
    assert kinds[-3:] == ["probing", "returning", "well"], kinds


@then("the executor gets no non-idempotent request before it has answered a probe")
def check_probe(context):
    assert context.unsafe_runs == 0, context.unsafe_runs


@when("an executor is reported as leaving by {source}")
def hear_leaving(context, source):
    # A leaving executor closes its port after a time without requests and is then unreachable,
    # rather than leaving. A pause of the test process could let that time pass before any request.
    keep_open = {"drain_quiet_s": 600.0, "drain_grace_s": 600.0}
    # The timeouts are long enough to wait for answers delayed by a pause of the test process. So
    # only the 12 concurrent requests, at most, reach the executor before an answer reports that it
    # is leaving.
    waits = {"silent_timeout_s": 15.0, "connect_timeout_s": 15.0}

    async def main():
        async with SixExecutorsRig(executors=keep_open, requests=waits) as r:
            executors = r.entry.executors
            views = lambda: [v.executor for v in executors.candidates("quotes")]  # noqa: E731
            heard = []
            executors.on_leaving(heard.append)
            info, hosts = executors.workers.by_id["w-x1"], executors.state.hosts_by_name
            if source == "its answer":
                r.fault("leaving", on="x1")
                await r.send_requests("idempotent", 60)
                assert heard == ["x1"], heard
                after = r.upstreams.by_name["x1"].show()["after_leaving"]
                assert len(after) <= 12, "more than the requests in flight"
            elif source == "a peer":
                executors.mark_leaving("x1", from_peer=True)
                assert not heard, "sent back to the peers"
            elif source == "the log":
                hosts["w-x1"] = {"phase": "draining"}
                executors.state.offset += 1
            elif source == "the platform's host list":
                executors.leaving_workers(["w-x1"])
            else:
                info["state"] = "draining"
                executors.workers.callbacks[0]({"w-x1"})
            context.while_leaving = views()
            hosts["w-x1"] = {"phase": "in_service"}
            executors.state.offset += 1
            executors.leaving_workers([])
            for state in ("rebooting", "up"):
                info["state"] = state
                executors.workers.callbacks[0]({"w-x1"})
            context.once_up = views()

    asyncio.run(main())


@then("the executor is excluded at once and gets requests again when it is up")
def check_leaving(context):
    assert context.while_leaving == NAMES[1:], context.while_leaving
    assert sorted(context.once_up) == NAMES, context.once_up


def make_outliers(floor=1, racks="aaabbb", on_change=lambda service: None):
    """Create outlier detection for six executors of one service, on a clock that stands still."""
    clock = FakeClock()
    outliers = Outliers(
        settings=RequestsSettings(),
        clock=clock,
        timeline=Timeline(member="e", clock=clock),
        floor=lambda service: floor,
        on_change=on_change,
    )
    for name, rack in zip(NAMES, racks, strict=True):
        tracked = TrackedExecutor(executor=name, service="quotes", worker=f"w-{name}", rack=rack)
        outliers.add(tracked, slowly=False)
    return outliers


def spread_failures(failed, tries):
    """Return ``tries`` signs, the failures spread evenly and the first one a success."""
    return [HARD if (n + 1) * failed // tries > n * failed // tries else OK for n in range(tries)]


@when("executors fail {elsewhere:d} of 100 tries each, and one fails {failed:d} of {tries:d}")
def fail_ratios(context, elsewhere, failed, tries):
    context.outliers = outliers = make_outliers()
    for name in NAMES[1:]:
        for sign in reversed(spread_failures(elsewhere, 100)):
            outliers.note_try(name, sign, 0.01)
    for sign in reversed(spread_failures(failed, tries)):
        outliers.note_try("x1", sign, 0.01)
    outliers.clock.now += 1.0
    outliers.note_try("x2", OK, 0.01)


def parse_durations(text):
    """Parse durations such as ``19 x no duration, 1 x 2 s``; ``no duration`` gives None."""
    found = []
    for part in text.split(", "):
        count, _, took = part.partition(" x ")
        found += [None if took == "no duration" else float(took.removesuffix(" s"))] * int(count)
    return found


@when("one of six executors has tries of {here} and the others have {elsewhere}")
def timed_tries(context, here, elsewhere):
    context.outliers = outliers = make_outliers()
    for name in NAMES:
        for took_s in parse_durations(here if name == "x1" else elsewhere):
            outliers.note_try(name, OK, took_s)
    outliers.clock.now += 1.0
    outliers.note_try("x2", OK, parse_durations(elsewhere)[0])


PEER_SIGNS = {
    "failed twice each": [HealthSign(True)] * 2,
    "answered twice each": [OK] * 2,
    "failed once each": [HealthSign(True)],
    "answered once each": [OK],
    "not been tried": [],
    "failed 4 times each": [HealthSign(True)] * 4,
}


@when("one of six executors fails five times in a row and the others have {tried}")
def fail_five_times(context, tried):
    context.outliers = outliers = make_outliers()
    for name in NAMES[1:]:
        for sign in PEER_SIGNS[tried]:
            outliers.note_try(name, sign, 0.01)
    for _ in range(5):
        outliers.note_try("x1", HealthSign(True), 0.01)


@then("the first executor is {state} and the others are well")
def check_one(context, state):
    states = {name: tracked.state for name, tracked in context.outliers.by_executor.items()}
    assert states == dict.fromkeys(NAMES, "well") | {"x1": state}, states


@when("executors are listed at the start, and one more later")
def list_executors(context):
    rows = [(name, "127.0.0.1:1", "r") for name in NAMES]
    found, workers = make_workers(rows).by_id, make_workers([])
    settings = Settings(host="e", data_center="d", platform=PlatformSettings(address="127.0.0.1:1"))
    executors = Executors(settings=settings, state=make_state(), workers=workers)
    for names in (NAMES[:5], NAMES[5:]):
        workers.by_id.update({f"w-{name}": found[f"w-{name}"] for name in names})
        workers.callbacks[0]({f"w-{name}" for name in names})
    context.weights = {v.executor: v.weight for v in executors.candidates("quotes")}


@then("executors of the first listing have full shares and the later one the smallest")
def check_found(context):
    assert context.weights == dict.fromkeys(NAMES[:5], 1.0) | {"x6": 0.1}, context.weights


@when("executors on two workers of a rack can't be reached")
def rack_fails(context):
    context.outliers = make_outliers()
    for name in ("x1", "x2", "x3", "x4"):
        context.outliers.note_try(name, UNREACHABLE, 0.5)


@then("executors elsewhere in that rack are ejected by one failure, and others aren't")
def check_rack(context):
    states = {name: tracked.state for name, tracked in context.outliers.by_executor.items()}
    assert states["x3"] == "ejected" and states["x4"] == "well", states


@when("executors get random results")
def draw_signs(context):
    signs = st.sampled_from([OK, OK, OK, HARD, UNREACHABLE, HealthSign(True)])
    steps = st.lists(
        st.tuples(st.sampled_from(NAMES), signs, st.sampled_from([0.01, 0.01, 0.5]),
                  st.sampled_from([0.0, 0.1, 1.0, 20.0])),
        max_size=120,
    )  # fmt: skip

    @bounded(3000 if LONG else 150)
    @given_random(steps, st.integers(0, 6))
    def example(drawn_steps, floor):
        outliers = make_outliers(floor)
        failed = set()
        for name, sign, took_s, pause_s in drawn_steps:
            outliers.clock.now += pause_s
            outliers.note_try(name, sign, took_s)
            failed |= {name} if sign.failed or took_s > 0.1 else set()
            weights = {name: outliers.weight(name) for name in NAMES}
            out = {name for name, weight in weights.items() if weight == 0.0}
            assert 6 - len(out) >= max(floor, 3), weights
            assert out <= failed, "ejected without a failure"
            assert all(0.1 <= w <= 1.0 for n, w in weights.items() if n not in out), weights

    example()


@then("executors that aren't ejected are never fewer than the floor")
def check_floor(context):
    """Do nothing: the preceding step checks it after each result."""
