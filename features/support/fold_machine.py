"""Daemons that share a log, driven at random by hypothesis and compared with the naive fold."""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from features.support.naive_folds import NaiveFold
from mustardgap import records, states
from mustardgap.models import LogRecord
from mustardgap.outcomes import Accepted
from mustardgap.settings import PlatformSettings
from mustardgap.states import State
from mustardgap.streams import Log
from mustardgap.timelines import Timeline
from mustardgap.timers import Timers

REMEMBERED_IDS = 8
DAEMONS = 3
RACKS = [("d1", "r1"), ("d1", "r2"), ("d2", "r1")]
HOSTS = {f"h{n}": RACKS[n % 3] for n in range(9)}
PHASES = ["in_service", "draining", "drained", "rebooting", "failed", "set_aside"]
POOLS = ["a", "b", "c", "jobs", ""]
JOBS = ["j1", "j2", "j3"]
STEPS = ["submit", "place", "start", "pause", "resume", "attempt_over", "end", "cancel"]


def profile(min_hosts, survive, max_hosts=9):
    """A profile's value."""
    return {
        "room": {"max_hosts": max_hosts},
        "availability": {"min_hosts": min_hosts, "survive": survive},
        "disruption": {"steps": ["stop"], "warning_s": 1, "drain_s": 1, "idempotent": False},
        "urgency": 1,
    }


def service(name):
    """A service's value."""
    return {"profile": name, "team": "t", "path": f"/{name}"}


def pool(service_name, min_hosts=0, max_hosts=9):
    """A pool's value."""
    return {"service": service_name, "min_hosts": min_hosts, "max_hosts": max_hosts}


VALUES_BY_KEY = {
    "profile/p": [profile(n, s) for n in (0, 1, 2, 6) for s in ("none", "host", "rack")]
    + [profile(1, "data_center", 4), {"bogus": 1}, None],
    "service/p": [service("p"), None],
    "service/q": [service("q"), service("p"), {**service("p"), "path": "/q"}, None],
    "profile/q": [profile(1, "rack"), profile(3, "none", 3), None],
    "pool/a": [pool("p"), pool("p", 2), pool("p", 1, 3), pool("q"), None],
    "pool/b": [pool("p"), pool("p", 0, 2), None],
    "pool/c": [pool("q"), pool("q", 1), {"bogus": 1}, None],
    "pool/jobs": [pool(""), pool("", 1), None],
    "team/t": [{"max_cores": n, "max_memory_gb": 9, "max_jobs": 2} for n in (2, 3)] + [None],
}
INITIAL_VALUES = {
    "profile/p": profile(1, "rack"),
    "profile/q": profile(1, "none"),
    "service/p": service("p"),
    "service/q": service("q"),
    "pool/a": pool("p"),
    "pool/c": pool("q"),
    "pool/jobs": pool(""),
    "team/t": {"max_cores": 3, "max_memory_gb": 9, "max_jobs": 2},
}
daemon_numbers = st.integers(0, DAEMONS - 1)
changes = st.lists(
    st.sampled_from(sorted(VALUES_BY_KEY)).flatmap(
        lambda key: st.tuples(st.just(key), st.sampled_from(VALUES_BY_KEY[key]))
    ),
    min_size=1,
    max_size=2,
    unique_by=lambda change: change[0],
)


def make_log(member):
    """A log without a platform, fed through ``receive``."""
    return Log(
        platform=None,
        state=State(),
        settings=PlatformSettings(address="127.0.0.1:1"),
        timers=Timers(),
        timeline=Timeline(member=member, size=10),
        member=member,
    )


def facts_of(host):
    """A host's facts."""
    data_center, rack = HOSTS[host]
    sizes = {"cores": 4.0, "memory_gb": 8.0, "accelerators": 0}
    return {"rack": rack, "data_center": data_center, **sizes}


class FoldMachine(RuleBasedStateMachine):
    """Operators, planners and actors on daemons that lag, are replaced and get copies."""

    steps = 0

    def __init__(self):
        super().__init__()
        states.REMEMBERED_IDS = REMEMBERED_IDS
        self.log_records = []
        self.made_count = 0
        self.differences = []
        self.oldest = 0
        self.oracle = NaiveFold(remembered=REMEMBERED_IDS)
        self.digest_by_offset = {}
        self.declared_by_offset = [{}]
        self.won_races = set()
        self.checkpoints = []
        self.late_records = []
        self.daemons = [self._new_daemon() for _ in range(DAEMONS)]

    # The log.

    def _append(self, value):
        record = LogRecord(len(self.log_records), 1000.0 + len(self.log_records), value)
        before = {name: dict(host) for name, host in self.oracle.hosts.items()}
        self.log_records.append(record)
        self.oracle.add(record)
        self.declared_by_offset.append(dict(self.oracle.values))
        if self.oracle.verdicts[-1]:
            self._check_accepted(value["kind"], value["body"], before)

    def _check_accepted(self, kind, body, before):
        """Check what must hold whatever the rules say, from the naive fold alone."""
        if kind == "config":
            for change in body["changes"]:
                if change["base"] >= 0:
                    race = (change["key"], change["base"])
                    assert race not in self.won_races, f"two changes were accepted on {race}"
                    self.won_races.add(race)
        if kind != "host" or body["host"] not in before:
            return
        host = before[body["host"]]
        if body["pool"] != host["pool"] and host["pool"]:
            assert host["phase"] in (
                "drained",
                "failed",
                "set_aside",
            ), f"{host} moved before it left its pool"
        pool_of = self.oracle.values.get(f"pool/{host['pool']}", {})
        planned = host["phase"] == "in_service" and body["phase"] in ("draining", "set_aside")
        if planned and pool_of.get("service"):
            assert self.oracle.meets_availability(pool_of["service"]), f"{body} breaks a budget"

    def _make_record(self, number, kind, body):
        self.made_count += 1
        seen = self.daemons[number].offset
        return records.make(
            kind, body, writer=f"d{number}", seen=seen, record_id=f"{self.made_count}"
        )

    def _deliver(self, number, kind, body, delivery):
        """Append a record once, twice (if its answer was lost), or later."""
        value = self._make_record(number, kind, body)
        if delivery == "late":
            self.late_records.append(value)
            return
        self._append(value)
        if delivery == "repeated":
            self._append(value)

    deliveries = st.sampled_from(["once", "once", "once", "repeated", "late"])

    # Writers.

    @initialize()
    def begin(self):
        body = [{"key": key, "base": -1, "value": value} for key, value in INITIAL_VALUES.items()]
        self._append(self._make_record(0, "config", {"changes": body}))
        for number, host in enumerate(HOSTS):
            body = {"host": host, "base": 0, "phase": "in_service", "reason": ""}
            body |= {"pool": POOLS[0 if number < 5 else 2], "facts": facts_of(host)}
            self._append(self._make_record(0, "host", body))
            for daemon in range(DAEMONS):
                self.fold(daemon, len(self.log_records))

    @rule(number=daemon_numbers, pairs=changes, delivery=deliveries)
    def operate(self, number, pairs, delivery):
        declared = self.daemons[number].state.declarations_by_key
        body = [
            {"key": key, "base": declared[key].version if key in declared else -1, "value": value}
            for key, value in pairs
        ]
        self._deliver(number, "config", {"changes": body}, delivery)

    @rule(first=daemon_numbers, second=daemon_numbers, pairs=changes, others=changes)
    def race(self, first, second, pairs, others):
        self.operate(first, pairs, "once")
        self.operate(second, others, "once")

    @rule(
        number=daemon_numbers,
        host=st.sampled_from(sorted(HOSTS)),
        phase=st.sampled_from(PHASES),
        pool_name=st.sampled_from(POOLS),
        keeps_pool=st.booleans(),
        delivery=deliveries,
    )
    def step_host(self, number, host, phase, pool_name, keeps_pool, delivery):
        known = self.daemons[number].state.hosts_by_name.get(host)
        name = known["pool"] if keeps_pool and known else pool_name
        body = {"host": host, "phase": phase, "pool": name, "reason": "", "facts": facts_of(host)}
        body["base"] = known["epoch"] if known else 0
        self._deliver(number, "host", body, delivery)

    @rule(number=daemon_numbers, hosts=st.sets(st.sampled_from(sorted(HOSTS)), max_size=4))
    def drain_many(self, number, hosts):
        for host in sorted(hosts):
            self.step_host(number, host, "draining", "", True, "once")

    @rule(
        number=daemon_numbers,
        hosts=st.sets(st.sampled_from(sorted(HOSTS)), min_size=2, max_size=5),
        name=st.sampled_from(POOLS),
    )
    def move_many(self, number, hosts, name):
        for host in sorted(hosts):
            for phase, keeps_pool in (("draining", True), ("drained", True), ("in_service", False)):
                self.step_host(number, host, phase, name, keeps_pool, "once")
                self.fold(number, len(self.log_records))

    @rule(number=daemon_numbers)
    def declare_and_remove(self, number):
        appended = []
        for value in (pool("p"), None):
            self.fold(number, len(self.log_records))
            self.operate(number, [("pool/b", value)], "once")
            appended.append(self.log_records[-1].value)
        self._append(appended[0])

    @rule(number=daemon_numbers, rack=st.sampled_from(RACKS))
    def lose_rack(self, number, rack):
        for host in (name for name, place in HOSTS.items() if place == rack):
            self.step_host(number, host, "failed", "", True, "once")

    @rule(
        number=daemon_numbers,
        job=st.sampled_from(JOBS),
        step=st.sampled_from(STEPS),
        host=st.sampled_from(sorted(HOSTS)),
        result=st.sampled_from(["failed", "unknown", "moved"]),
        idempotent=st.booleans(),
        delivery=deliveries,
    )
    def step_job(self, number, job, step, host, result, idempotent, delivery):
        known = self.daemons[number].state.jobs_by_id.get(job)
        body = {"job": job, "step": step, "base": known["epoch"] if known else 0}
        sizes = {"cores": 1.5, "memory_gb": 1.0, "accelerators": 0, "run_s": 1.0}
        spec = {"team": "t", "urgency": 1, "idempotent": idempotent, **sizes}
        extra = {"submit": {"spec": spec}, "place": {"worker": host}}
        extra |= {"attempt_over": {"result": result}, "end": {"code": 4006}}
        self._deliver(number, "job", body | extra.get(step, {}), delivery)

    @rule(number=daemon_numbers, host=st.sampled_from(sorted(HOSTS)), job=st.sampled_from(JOBS))
    def run_twice(self, number, host, job):
        for step in ("submit", "place", "attempt_over", "place"):
            self.step_job(number, job, step, host, "unknown", False, "once")
            self.fold(number, len(self.log_records))

    @rule(
        number=daemon_numbers,
        host=st.sampled_from(["e1", "e2"]),
        step=st.sampled_from(["join", "join", "leave", "gone"]),
        later=st.integers(0, 1),
        delivery=deliveries,
    )
    def step_entry(self, number, host, step, later, delivery):
        known = self.daemons[number].state.entries_by_host.get(host)
        base, run = (known["epoch"], known["incarnation"]) if known else (0, 1)
        body = {"host": host, "base": base, "incarnation": run + later, "step": step}
        self._deliver(number, "entry", body, delivery)

    @precondition(lambda self: self.late_records)
    @rule(data=st.data(), copies=st.integers(1, 2))
    def arrive_late(self, data, copies):
        value = data.draw(st.sampled_from(self.late_records))
        for _ in range(copies):
            self._append(value)

    @rule(data=st.data())
    def repeat(self, data):
        self._append(data.draw(st.sampled_from(self.log_records)).value)

    # Readers.

    def _new_daemon(self):
        log = make_log("d")
        log.on_fold(self._check_verdict)
        return log

    def _check_verdict(self, record, verdict):
        expected = self.oracle.verdicts[record.offset]
        if isinstance(verdict, Accepted) != expected:
            self.differences.append(f"{record}: {verdict}, not {expected}")

    @rule(number=daemon_numbers, count=st.integers(1, 20))
    def fold(self, number, count):
        log = self.daemons[number]
        if log.offset >= self.oldest:
            log.receive(self.log_records[log.offset : log.offset + count])

    @rule(number=daemon_numbers, data=st.data(), count=st.integers(1, 20))
    def relay(self, number, data, count):
        start = data.draw(st.integers(self.oldest, len(self.log_records)))
        self.daemons[number].receive(self.log_records[start : start + count])

    @rule(number=daemon_numbers)
    def checkpoint(self, number):
        self.checkpoints.append(self.daemons[number].snapshot())

    @precondition(lambda self: self.checkpoints)
    @rule(number=daemon_numbers, data=st.data())
    def meet_checkpoint(self, number, data):
        log = self.daemons[number]
        before, digest = log.offset, log.state.digest()
        log.restore(data.draw(st.sampled_from(self.checkpoints)))
        assert log.offset >= before, "a checkpoint moved the state back"
        assert log.offset > before or log.state.digest() == digest

    @rule(number=daemon_numbers)
    def expire(self, number):
        self.checkpoints.append(self.daemons[number].snapshot())
        self.oldest = max(self.oldest, self.daemons[number].offset)

    @rule(number=daemon_numbers, source=daemon_numbers, from_peer=st.booleans())
    def replace(self, number, source, from_peer):
        snapshot = self.daemons[source].snapshot()
        self.daemons[number] = self._new_daemon()
        if from_peer:
            self.daemons[number].restore(snapshot)

    # What must hold after each step.

    @invariant()
    def agree(self):
        FoldMachine.steps += 1
        assert not self.differences, self.differences[0]
        for log in self.daemons:
            digest = self.digest_by_offset.setdefault(log.offset, log.state.digest())
            assert digest == log.state.digest(), f"two states at offset {log.offset}"
            values = {key: d.value for key, d in log.state.declarations_by_key.items()}
            assert values == self.declared_by_offset[log.offset], "not what was accepted"
            if log.offset == len(self.log_records):
                self._check_end(log.state)

    def _check_end(self, state):
        hosts = {
            name: {key: host[key] for key in ("host", "facts", "epoch", "phase", "pool")}
            for name, host in state.hosts_by_name.items()
        }
        assert hosts == self.oracle.hosts, f"{hosts} is not {self.oracle.hosts}"
        for name, entry in state.entries_by_host.items():
            seen = {key: value for key, value in entry.items() if key != "time"}
            assert seen == self.oracle.entry(name), f"{entry} is not {self.oracle.entry(name)}"
        for name, job in state.jobs_by_id.items():
            outcomes = [attempt["outcome"] for attempt in job["attempts"]]
            assert outcomes == self.oracle.jobs[name]["outcomes"], f"{name}: {outcomes}"
            assert job["phase"] == self.oracle.jobs[name]["phase"], name
            assert outcomes.count("running") <= 1, f"{name} runs twice"
            may_run_twice = "unknown" in outcomes[:-1] and not job["spec"]["idempotent"]
            assert not may_run_twice, f"{name} may have run twice"

    def teardown(self):
        """All catch up, by checkpoint and the log's tail, and match a fold of the whole log."""
        reference = make_log("reference")
        reference.receive(
            msgspec.json.decode(msgspec.json.encode(self.log_records), type=list[LogRecord])
        )
        for log in self.daemons:
            if log.offset < self.oldest:
                for data in self.checkpoints:
                    log.restore(data)
            log.receive(self.log_records[log.offset :])
            assert log.state.digest() == reference.state.digest(), "differs from a full fold"
