"""A state machine of two daemons' actors, checked against the platform's own record."""

import asyncio
import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tools.actor_worlds import WORKERS, World, declare

IS_LONG = bool(os.environ.get("MUSTARDGAP_LONG"))
SETTINGS = settings(
    max_examples=300 if IS_LONG else 25,
    stateful_step_count=60 if IS_LONG else 35,
    derandomize=not IS_LONG,
    database=None,
    deadline=None,
)
NAMES = [name for name, _, _ in WORKERS]
DAEMONS = ["d1", "d2"]
RECOVERY_S = 200
MAX_DELAY_S = 5.0
MAX_OPEN_JOBS = 12


class ActorMachine(RuleBasedStateMachine):
    """Applies faults to platform, log and daemons; nothing may be done twice or cut off."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.world = World(WORKERS, DAEMONS)
        self.jobs = 0
        self.late_since = {}

    def run(self, coroutine):
        """Run a coroutine on this machine's event loop."""
        return self.loop.run_until_complete(coroutine)

    @initialize()
    def begin(self):
        """Publish the declarations, and let the workers be registered."""
        declare(self.world)
        self.run(self.world.pass_time(4, step=1.0))

    @rule(seconds=st.integers(1, 8))
    def wait(self, seconds):
        """Let time pass."""
        for _ in range(seconds):
            self.run(self.world.pass_time(1, step=1.0))
            self._deliver_overdue()

    @rule(
        idempotent=st.booleans(),
        profile=st.sampled_from(["gentle", "stoppable", "hard"]),
        urgency=st.sampled_from([0, 5, 9]),
        cores=st.sampled_from([1.0, 2.0, 4.0]),
        run_s=st.sampled_from([1.0, 4.0, 20.0]),
        fails=st.sampled_from([False, False, False, True]),
        count=st.integers(1, 4),
    )
    def submit(self, count, fails, **spec):
        """Submit a few jobs of the same kind."""
        open_jobs = [
            j for j in self.world.journal.state.jobs_by_id.values() if j["phase"] != "ended"
        ]
        for _ in range(min(count, MAX_OPEN_JOBS - len(open_jobs))):
            self.jobs += 1
            self.world.submit(f"j{self.jobs}", payload={"fails": fails}, **spec)

    @rule(number=st.integers(1, 40))
    def cancel(self, number):
        """Cancel a job and the next two."""
        for n in (number, number + 1, number + 2):
            job = self.world.journal.state.jobs_by_id.get(f"j{n}")
            if job is not None:
                body = {"job": f"j{n}", "base": job["epoch"], "step": "cancel"}
                self.world.journal.write("job", body)

    @rule(rack=st.sampled_from(["r0", "r1", "r2"]))
    def maintain(self, rack):
        """Start a wave of a rack."""
        hosts = [name for name in NAMES if name.startswith(rack)]
        wave = f"w{self.world.journal.state.offset}"
        body = {"wave": wave, "base": 0, "step": "start", "hosts": hosts}
        self.world.journal.write("wave", body)

    @rule(name=st.sampled_from(NAMES), phase=st.sampled_from(["draining", "in_service"]))
    def operate(self, name, phase):
        """Drain a host as an operator, or put it back in service."""
        self._write_host(name, phase)

    def _write_host(self, name, phase):
        host = self.world.journal.state.hosts_by_name.get(name)
        if host is not None:
            body = {"host": name, "base": host["epoch"], "phase": phase, "pool": host["pool"]}
            self.world.journal.write("host", {**body, "reason": "operator"})

    @rule(name=st.sampled_from(NAMES), fault=st.sampled_from(["paused", "failing", "stuck"]))
    def toggle_fault(self, name, fault):
        """Start or end a fault of a worker."""
        getattr(self.world.platform, fault).symmetric_difference_update({name})

    @rule(name=st.sampled_from(NAMES), on=st.booleans(), whole_rack=st.booleans())
    def power(self, name, on, whole_rack):
        """Switch a worker or its rack on or off."""
        for other in NAMES:
            if other == name or (whole_rack and other[:2] == name[:2]):
                self.world.platform.power(other, on)

    @rule(name=st.sampled_from(DAEMONS), count=st.integers(1, 3), late=st.booleans())
    def lose_answers(self, name, count, late):
        """Lose the next answers; late calls take effect only when they are delivered."""
        setattr(self.world.daemons_by_name[name].link, "delay" if late else "lose", count)

    @rule(name=st.sampled_from(DAEMONS))
    def deliver(self, name):
        """Deliver the late calls."""
        self.world.daemons_by_name[name].link.deliver()
        self.late_since.pop(name, None)

    def _deliver_overdue(self):
        for name, daemon in self.world.daemons_by_name.items():
            if not daemon.link.late:
                self.late_since.pop(name, None)
            elif (
                self.world.clock.now - self.late_since.setdefault(name, self.world.clock.now)
                > MAX_DELAY_S
            ):
                self.deliver(name)

    @rule(name=st.sampled_from(DAEMONS), what=st.sampled_from(["freeze", "thaw", "cut", "kill"]))
    def disturb(self, name, what):
        """Freeze, resume, disconnect or kill a daemon."""
        daemon = self.world.daemons_by_name[name]
        if what == "kill":
            self.world.replace(name)
        elif what == "cut":
            daemon.link.is_cut = not daemon.link.is_cut
        elif what == "freeze":
            daemon.freeze()
        else:
            self.run(daemon.thaw())

    @rule(name=st.sampled_from(DAEMONS), alone=st.booleans())
    def see(self, name, alone):
        """Make a daemon rank only itself, so that both take every step."""
        self.world.daemons_by_name[name].ranked_names = [name] if alone else None

    @rule(what=st.sampled_from(["journal", "platform"]), down=st.booleans())
    def outage(self, what, down):
        """Start or end an outage of the log or of the platform."""
        getattr(self.world, what).is_down = down

    @invariant()
    def nothing_is_broken(self):
        """Check that no task ran twice, overlapped another attempt, or was cut off by a reboot."""
        assert not self.world.platform.broken, self.world.platform.broken

    def end_faults(self):
        """End all faults."""
        self.world.journal.is_down = self.world.platform.is_down = False
        for fault in ("paused", "failing", "stuck"):
            getattr(self.world.platform, fault).clear()
        for name in NAMES:
            self.world.platform.power(name, True)
        for daemon in self.world.daemons_by_name.values():
            daemon.link.is_cut, daemon.ranked_names = False, None
            daemon.link.lose = daemon.link.delay = 0
            self.run(daemon.thaw())
            daemon.link.deliver()

    def teardown(self):
        """Check that after all faults every job ends and every host is where the log says."""
        self.end_faults()
        for name in NAMES:
            host = self.world.journal.state.hosts_by_name.get(name)
            if host is not None and host["phase"] in ("draining", "drained", "set_aside"):
                self._write_host(name, "in_service")
        for _ in range(RECOVERY_S // 10):
            self.run(self.world.pass_time(10, step=1.0))
            if not self.unfinished():
                break
        left = self.unfinished()
        self.loop.run_until_complete(asyncio.sleep(0))
        for daemon in self.world.daemons_by_name.values():
            daemon.actors.close()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()
        self.nothing_is_broken()
        assert not left, left

    def unfinished(self):
        """Return the jobs and hosts that haven't reached a final phase."""
        state, workers = self.world.journal.state, self.world.platform.workers_by_id
        left: list = [j for j in state.jobs_by_id.values() if j["phase"] != "ended"]
        for name, host in state.hosts_by_name.items():
            serves = workers[name]["state"] == "up" and workers[name]["pool"] == host["pool"]
            if host["phase"] in ("failed", "rebooting", "draining"):
                left.append(host)
            elif host["phase"] == "in_service" and not serves:
                left.append((host, workers[name]))
        return left


ActorMachine.TestCase.settings = SETTINGS
