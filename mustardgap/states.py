"""The state that every daemon folds from the log, with the indexes that its rules need."""

from collections import Counter, deque
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec
import xxhash

from .models import Declaration, EntryState, HostFacts, HostState, JobState, Profile, WaveState

REMEMBERED_IDS = 4096
MAX_ENDED_JOBS = 2000
ENDED_JOB_RETENTION_S = 3600.0
MAX_FINISHED_WAVES = 50
FAILED_HOST_RETENTION_S = 7 * 86_400.0
ENTRY_RETENTION_S = 86_400.0
SWEEP_PERIOD_S = 3600.0

HEALTHY_PHASES = frozenset({"in_service", "draining", "drained", "rebooting"})
FAILURE_DOMAINS = ("rack", "data_center")


class RecordDecision(NamedTuple):
    """The fold's decision on a record id, as the number of its result code."""

    offset: int
    code: int


class TeamUsage(NamedTuple):
    """What a team's running attempts use, in thousandths of a core or GB, and its live jobs.

    Integers, so that a sum built step by step equals one rebuilt from a checkpoint; sums of floats
    would differ in the last digit and let two daemons decide differently.
    """

    cores: int = 0
    memory: int = 0
    jobs: int = 0


class State:
    """The result of all decisions on the log up to an offset.

    Values are replaced, never changed in place, so a reader may keep one while the fold goes on.
    """

    def __init__(self) -> None:
        self.offset = 0
        self.time = 0.0
        self.rules = 1
        self.declarations_by_key: dict[str, Declaration] = {}
        self.hosts_by_name: dict[str, HostState] = {}
        self.jobs_by_id: dict[str, JobState] = {}
        self.waves_by_name: dict[str, WaveState] = {}
        self.entries_by_host: dict[str, EntryState] = {}
        self.decisions_by_id: dict[str, RecordDecision] = {}
        self.floor = 0
        self.sweep = 0
        self.checkpoint_offset = -1
        self.checkpoint_time = 0.0
        self.ended_jobs: deque[str] = deque()
        self.hosts_by_pool: dict[str, set[str]] = {}
        self.pools_by_service: dict[str, list[str]] = {}
        self.usage_by_team: dict[str, TeamUsage] = {}
        self.healthy_by_domain: dict[str, Counter[str]] = {
            name: Counter() for name in FAILURE_DOMAINS
        }
        self._facts_by_key: dict[HostFactsKey, HostFacts] = {}
        self._values_by_kind: dict[str, dict[str, Any]] = {}

    def replace_with(self, other: "State") -> None:
        """Take on another state's content, so that every holder of this object sees it."""
        vars(self).update(vars(other))

    def value(self, kind: str, name: str) -> Any:
        """Return the value of a declaration, or None."""
        declaration = self.declarations_by_key.get(f"{kind}/{name}")
        return None if declaration is None else declaration.value

    def declared(self, kind: str) -> dict[str, Any]:
        """Return the values of all declarations of a kind, by name."""
        if kind not in self._values_by_kind:
            prefix = f"{kind}/"
            self._values_by_kind[kind] = {
                key.removeprefix(prefix): declaration.value
                for key, declaration in sorted(self.declarations_by_key.items())
                if key.startswith(prefix)
            }
        return self._values_by_kind[kind]

    def profile_of(self, service: str) -> Profile | None:
        """Return the profile that a service refers to, or None."""
        value = self.value("service", service)
        return None if value is None else self.value("profile", value["profile"])

    def hosts_in_pool(self, pool: str) -> list[HostState]:
        """Return all hosts of a pool in any phase, by name ("" is the spare pool)."""
        return [self.hosts_by_name[name] for name in sorted(self.hosts_by_pool.get(pool, ()))]

    def hosts_of(self, service: str) -> list[HostState]:
        """Return all hosts, in any phase, of the pools that serve a service."""
        pools = self.pools_by_service.get(service, [])
        return [host for pool in pools for host in self.hosts_in_pool(pool)]

    def put_declarations(self, declarations: Iterable[Declaration], removed: Iterable[str]) -> None:
        """Store accepted declarations, and delete the removed keys."""
        changed = set()
        for declaration in declarations:
            self.declarations_by_key[declaration.key] = declaration
            changed.add(declaration.key.partition("/")[0])
        for key in removed:
            self.declarations_by_key.pop(key, None)
            changed.add(key.partition("/")[0])
        for kind in changed:
            self._values_by_kind.pop(kind, None)
        if "pool" in changed:
            self.pools_by_service = {}
            for name, pool in self.declared("pool").items():
                self.pools_by_service.setdefault(pool["service"], []).append(name)

    def put_host(self, host: HostState) -> None:
        """Store a host's new state."""
        self.drop_host(host["host"])
        host["facts"] = self._intern_facts(host["facts"])
        self.hosts_by_name[host["host"]] = host
        self.hosts_by_pool.setdefault(host["pool"], set()).add(host["host"])
        self._count_healthy(host, 1)

    def drop_host(self, name: str) -> None:
        """Delete a host."""
        host = self.hosts_by_name.pop(name, None)
        if host is None:
            return
        self.hosts_by_pool[host["pool"]].discard(name)
        self._count_healthy(host, -1)

    def put_job(self, job: JobState) -> None:
        """Store a job's new state."""
        before = self.jobs_by_id.get(job["job"])
        if before is not None:
            self._count_usage(before, -1)
        self.jobs_by_id[job["job"]] = job
        self._count_usage(job, 1)
        if job["phase"] == "ended":
            self.ended_jobs.append(job["job"])

    def put_wave(self, wave: WaveState) -> None:
        """Store a wave's new state; only the latest finished waves are kept."""
        self.waves_by_name.pop(wave["wave"], None)
        self.waves_by_name[wave["wave"]] = wave
        finished = [w["wave"] for w in self.waves_by_name.values() if w["phase"] == "finished"]
        for name in finished[: max(0, len(finished) - MAX_FINISHED_WAVES)]:
            del self.waves_by_name[name]

    def remember_decision(self, record_id: str, decision: RecordDecision) -> None:
        """Remember the decision on a record id.

        An append whose answer was lost is repeated with the same id, so the log may hold it twice;
        folded twice, it would undo changes made in between. Ids are kept for the last
        ``REMEMBERED_IDS`` records only. That is enough: no copy precedes the offset its writer had
        ``seen``, so all copies of a record with ``seen`` at ``floor`` or later are remembered, and
        a record made earlier is rejected as stale. An operator's own id that is repeated even
        later, through another daemon, is still checked against the versions in ``base``.
        """
        self.decisions_by_id[record_id] = decision
        if len(self.decisions_by_id) > REMEMBERED_IDS:
            oldest = next(iter(self.decisions_by_id))
            self.floor = self.decisions_by_id.pop(oldest).offset + 1

    def drop_expired(self) -> None:
        """Delete what is past its retention, by the log's time, so that the state is bounded."""
        while self.ended_jobs:
            job = self.jobs_by_id[self.ended_jobs[0]]
            if (
                len(self.ended_jobs) <= MAX_ENDED_JOBS
                and job["ended"] + ENDED_JOB_RETENTION_S > self.time
            ):
                break
            del self.jobs_by_id[self.ended_jobs.popleft()]
        sweep = int(self.time // SWEEP_PERIOD_S)
        if sweep == self.sweep:
            return
        self.sweep = sweep
        expired_hosts = [
            host["host"]
            for host in self.hosts_by_name.values()
            if host["phase"] == "failed" and host["since"] + FAILED_HOST_RETENTION_S < self.time
        ]
        for name in expired_hosts:
            self.drop_host(name)
        self.entries_by_host = {
            name: entry
            for name, entry in self.entries_by_host.items()
            if entry["state"] == "joined" or entry["time"] + ENTRY_RETENTION_S >= self.time
        }

    def digest(self) -> str:
        """Return a short hash that is equal for equal states."""
        parts = (
            self.offset,
            self.time,
            self.rules,
            self.floor,
            self.sweep,
            self.checkpoint_offset,
            self.checkpoint_time,
            {key: tuple(d) for key, d in self.declarations_by_key.items()},
            self.hosts_by_name,
            self.jobs_by_id,
            self.waves_by_name,
            self.entries_by_host,
            list(self.decisions_by_id.items()),
            list(self.ended_jobs),
        )
        return xxhash.xxh3_128_hexdigest(msgspec.json.encode(parts, order="sorted"))

    def _intern_facts(self, facts: HostFacts) -> HostFacts:
        key = HostFactsKey(*(facts[name] for name in HostFactsKey._fields))  # type: ignore[literal-required]
        return self._facts_by_key.setdefault(key, facts)

    def _count_healthy(self, host: HostState, change: int) -> None:
        if host["phase"] not in HEALTHY_PHASES:
            return
        for name in FAILURE_DOMAINS:
            domain = domain_of(host["facts"], name)
            self.healthy_by_domain[name][domain] += change
            if not self.healthy_by_domain[name][domain]:
                del self.healthy_by_domain[name][domain]

    def _count_usage(self, job: JobState, change: int) -> None:
        if job["phase"] == "ended":
            return
        spec = job["spec"]
        usage = self.usage_by_team.get(spec["team"], TeamUsage())
        cores, memory = size_in_thousandths(spec) if has_running_attempt(job) else (0, 0)
        self.usage_by_team[spec["team"]] = TeamUsage(
            usage.cores + change * cores, usage.memory + change * memory, usage.jobs + change
        )


class HostFactsKey(NamedTuple):
    """A host's facts as a key; hosts with equal facts share one value to save memory."""

    rack: str
    data_center: str
    cores: float
    memory_gb: float
    accelerators: int


def domain_of(facts: HostFacts, survive: str) -> str:
    """Return a host's failure domain; racks of two data centers may have the same name."""
    if survive == "data_center":
        return facts["data_center"]
    return f"{facts['data_center']}/{facts['rack']}"


def has_running_attempt(job: JobState) -> bool:
    """Whether a job has an attempt that uses capacity of a worker."""
    return bool(job["attempts"]) and job["attempts"][-1]["outcome"] == "running"


def size_in_thousandths(spec: Any) -> tuple[int, int]:
    """Return a job's cores and memory in whole thousandths."""
    return round(spec["cores"] * 1000), round(spec["memory_gb"] * 1000)
