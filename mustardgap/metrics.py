"""All OpenTelemetry instruments of mustardgap, and their export in the Prometheus format."""

import time
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Histogram, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from .__version__ import __version__

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_SERIES = 2000
# Two deployments have 20 client accounts and 4 pools; each label is a series in each metric.
MAX_LABELS = 20
OTHER_LABEL = "other"
# The owner of a pool or of the fleet records levels several times a second.
LEVEL_VALID_S = 10.0
OVERFLOW_ATTRIBUTES = (("otel.metric.overflow", "true"),)
BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0)


class Spec(NamedTuple):
    """Describes one instrument, for the documentation."""

    name: str
    kind: str
    unit: str
    description: str
    attributes: tuple[str, ...]


specs_by_name: dict[str, Spec] = {}
_callbacks_by_name: dict[str, Callable[[], float]] = {}
_OBSERVED_KINDS = ("gauge", "observed counter")

# The default registry isn't used: it adds process collectors that aren't documented here.
_registry = CollectorRegistry(auto_describe=False)
_reader = PrometheusMetricReader(scope_info_enabled=False, registry=_registry)
# Exemplars are off: they need a reservoir per attribute set, and nothing reads them.
_provider = MeterProvider(
    metric_readers=[_reader],
    resource=Resource({"service.name": "mustardgap", "service.version": __version__}),
    exemplar_filter=AlwaysOffExemplarFilter(),
    shutdown_on_exit=False,
)
_meter = _provider.get_meter("mustardgap", __version__)


class Tally:
    """Counts in a plain dictionary, which OpenTelemetry reads at a scrape.

    A synchronous instrument of the SDK checks and sorts its attributes on each call; with nine
    instruments per request, this takes a considerable share of the request's processor time.

    :param name: the instrument's name.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self._counts_by_attributes: dict[tuple[tuple[str, str | int], ...], float] = {}

    def add(self, amount: float, attributes: Mapping[str, str | int] | None = None) -> None:
        """Add an amount to the count of a set of attributes."""
        key = tuple(sorted(attributes.items())) if attributes else ()
        counts = self._counts_by_attributes
        if key not in counts and len(counts) >= MAX_SERIES:
            # Attributes from outside mustn't use unbounded memory.
            key = OVERFLOW_ATTRIBUTES
        counts[key] = counts.get(key, 0) + amount

    def read(self, _: CallbackOptions) -> list[Observation]:
        """Return the counts by attributes."""
        counts = self._counts_by_attributes
        return [Observation(count, dict(key)) for key, count in counts.items()]


class LevelTally:
    """Holds the latest value of a level for each set of attributes.

    A value that isn't recorded any more is dropped: the daemon that recorded it no longer owns
    what it measured, and another daemon shows the current value.

    :param name: the instrument's name.
    :param now: returns monotonic seconds.
    """

    def __init__(self, name: str, now: Callable[[], float] = time.monotonic) -> None:
        self.name = name
        self._now = now
        self._values_by_attributes: dict[tuple[tuple[str, str], ...], tuple[float, float]] = {}

    def record(self, value: float, attributes: Mapping[str, str]) -> None:
        """Set the value for a set of attributes; sets beyond MAX_SERIES are left out."""
        key = tuple(sorted(attributes.items()))
        if key in self._values_by_attributes or len(self._values_by_attributes) < MAX_SERIES:
            self._values_by_attributes[key] = (value, self._now())

    def clear(self) -> None:
        """Drop all values, as another daemon shows them from now on."""
        self._values_by_attributes.clear()

    def read(self, _: CallbackOptions) -> list[Observation]:
        """Return the values that were recorded within LEVEL_VALID_S, by attributes."""
        oldest = self._now() - LEVEL_VALID_S
        for key, (_value, recorded_at) in list(self._values_by_attributes.items()):
            if recorded_at < oldest:
                del self._values_by_attributes[key]
        return [Observation(value, dict(k)) for k, (value, _) in self._values_by_attributes.items()]


class BoundedLabels:
    """Bounds the values of an attribute that comes from outside.

    The first values keep their names, and all further ones are OTHER_LABEL. A name isn't given to
    another value later: the counts of both would then go down, which looks like a restart.

    :param limit: how many values keep their names.
    """

    def __init__(self, limit: int = MAX_LABELS) -> None:
        self._limit = limit
        self._named: set[str] = set()

    def label(self, value: str) -> str:
        """Return the attribute's value for a value from outside; an empty one stays empty."""
        if not value or value in self._named:
            return value
        if len(self._named) >= self._limit:
            return OTHER_LABEL
        self._named.add(value)
        return value


def render() -> bytes:
    """Return all instruments as text in the Prometheus format."""
    return generate_latest(_registry)


def observe(name: str, callback: Callable[[], float]) -> None:
    """Read a gauge or an observed counter from a function at each scrape.

    :param name: the name of one of this module's instruments.
    :param callback: a function that returns the value.
    :raises KeyError: there is no such gauge or observed counter.
    """
    if specs_by_name[name].kind not in _OBSERVED_KINDS:
        raise KeyError(name)
    _callbacks_by_name[name] = callback


def _define(kind: str, name: str, unit: str, description: str, attributes: tuple[str, ...]) -> None:
    if name in specs_by_name:
        raise ValueError(f"{name} is already defined")
    specs_by_name[name] = Spec(name, kind, unit, description, attributes)


def _counter(name: str, unit: str, description: str, *attributes: str) -> Tally:
    _define("counter", name, unit, description, attributes)
    tally = Tally(name)
    _meter.create_observable_counter(
        name, callbacks=[tally.read], unit=unit, description=description
    )
    return tally


def _up_down_counter(name: str, unit: str, description: str, *attributes: str) -> Tally:
    _define("up-down counter", name, unit, description, attributes)
    tally = Tally(name)
    _meter.create_observable_up_down_counter(
        name, callbacks=[tally.read], unit=unit, description=description
    )
    return tally


def _duration_histogram(name: str, description: str, *attributes: str) -> Histogram:
    _define("histogram", name, "s", description, attributes)
    return _meter.create_histogram(
        name, unit="s", description=description, explicit_bucket_boundaries_advisory=BUCKETS_S
    )


def _gauge(name: str, unit: str, description: str) -> None:
    _define("gauge", name, unit, description, ())
    _meter.create_observable_gauge(
        name, callbacks=[_reader_of(name)], unit=unit, description=description
    )


def _levels(name: str, unit: str, description: str, *attributes: str) -> LevelTally:
    _define("gauge by attributes", name, unit, description, attributes)
    tally = LevelTally(name)
    _meter.create_observable_gauge(name, callbacks=[tally.read], unit=unit, description=description)
    return tally


def _observed_counter(name: str, unit: str, description: str) -> None:
    _define("observed counter", name, unit, description, ())
    _meter.create_observable_counter(
        name, callbacks=[_reader_of(name)], unit=unit, description=description
    )


def _reader_of(name: str) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def read(_: CallbackOptions) -> Iterable[Observation]:
        callback = _callbacks_by_name.get(name)
        return [Observation(callback())] if callback else []

    return read


# Requests.
requests = _counter(
    "mustardgap.requests", "{request}", "Requests by outcome", "service", "mustardgap.code"
)
request_duration = _duration_histogram(
    "mustardgap.request.duration", "From a request's head to the end of its answer", "service"
)
active_requests = _up_down_counter(
    "mustardgap.requests.active", "{request}", "Requests being served", "service"
)
retries = _counter(
    "mustardgap.request.retries", "{try}", "Tries after a request's first", "service"
)
caller_connections = _up_down_counter(
    "mustardgap.callers.connections", "{connection}", "Open connections of callers"
)
refused_connections = _counter(
    "mustardgap.connections.refused", "{connection}", "Connections closed at the limit", "port"
)
refused_requests = _counter(
    "mustardgap.requests.refused",
    "{request}",
    "Requests refused by the bounds on what clients may send",
    "port",
    "mustardgap.code",
)
malformed_requests = _counter(
    "mustardgap.requests.malformed", "{request}", "Requests that aren't valid HTTP", "port"
)

# Executors and slots.
queue_wait = _duration_histogram(
    "mustardgap.queue.wait", "From asking for a slot to having one", "service"
)
queue_length = _up_down_counter(
    "mustardgap.queue.length", "{request}", "Requests that wait for a slot", "service"
)
slots_used = _up_down_counter(
    "mustardgap.slots.used", "{slot}", "Slots in use by this entry host", "service"
)
slots_lent = _counter("mustardgap.slots.lent", "{slot}", "Slots lent to other entry hosts")
ejections = _counter(
    "mustardgap.executor.ejections", "{executor}", "Executors ejected as outliers", "service"
)
keys_claimed = _counter(
    "mustardgap.keys.claims", "{claim}", "Claims of an Idempotency-Key by result", "result"
)

# The log.
log_appends = _counter("mustardgap.log.appends", "{record}", "Records appended", "purpose")
log_append_duration = _duration_histogram("mustardgap.log.append.duration", "From append to answer")
log_errors = _counter("mustardgap.log.errors", "{call}", "Failed calls to the log", "call")
log_reads = _counter("mustardgap.log.reads", "{record}", "Records read from the log")
fold_verdicts = _counter(
    "mustardgap.fold.verdicts", "{record}", "Records folded by verdict", "kind", "mustardgap.code"
)
checkpoints = _counter("mustardgap.checkpoints", "{checkpoint}", "Checkpoints written")
_gauge("mustardgap.log.offset", "{record}", "Offset folded up to")
_gauge("mustardgap.log.age", "s", "Time since this entry host last knew that it was current")

# Peers.
_observed_counter("mustardgap.peers.sent", "By", "Bytes sent to peers")
_observed_counter("mustardgap.peers.received", "By", "Bytes received from peers")
member_changes = _counter(
    "mustardgap.member.changes", "{change}", "Changes of entry hosts' states", "state"
)
_gauge("mustardgap.members.live", "{host}", "Entry hosts known to be live")

# Capacity.
actor_steps = _counter(
    "mustardgap.actor.steps", "{step}", "Steps carried out on the platform", "kind", "result"
)
plan_duration = _duration_histogram("mustardgap.plan.duration", "Time to work out one plan")
plan_moves = _counter("mustardgap.plan.moves", "{move}", "Moves of hosts between pools", "reason")
jobs_ended = _counter("mustardgap.jobs.ended", "{job}", "Jobs ended by code", "mustardgap.code")
job_attempts = _counter("mustardgap.job.attempts", "{attempt}", "Attempts by outcome", "outcome")
wave_steps = _counter("mustardgap.wave.steps", "{step}", "Steps of maintenance waves", "step")
_gauge("mustardgap.hosts.out", "{host}", "Hosts of pools that are out of service")
_gauge("mustardgap.budget.breaches", "{service}", "Services below their availability budget")

# The daemon.
_observed_counter("mustardgap.child.restarts", "{restart}", "Restarts of the daemon's parts")
process_gaps = _counter("mustardgap.process.gaps", "{gap}", "Gaps in which the process didn't run")
job_calls = _counter(
    "mustardgap.job_calls", "{call}", "Calls of the job interface by outcome", "call", "code"
)
job_call_duration = _duration_histogram(
    "mustardgap.job_call.duration", "Time to answer a caller", "call"
)
owner_hints = _counter(
    "mustardgap.owner_hints",
    "{hint}",
    "Owners taken over from another daemon, the store being away",
)
refused_credentials = _counter(
    "mustardgap.credentials.refused",
    "{request}",
    "Requests refused for their credentials",
    "problem",
)
limited_jobs = _counter(
    "mustardgap.jobs.limited", "{job}", "Jobs that had to wait for the limit of their account"
)
excess_jobs = _counter(
    "mustardgap.jobs.excess", "{job}", "Jobs marked as beyond their account's share", "service"
)
account_arrivals = _levels(
    "mustardgap.account.arrivals",
    "{core}",
    "Cores that the 20 largest accounts' arriving work needs, by the fleet's owner",
    "account",
)
account_shares = _levels(
    "mustardgap.account.shares",
    "{core}",
    "Cores that the 20 largest accounts may have while capacity is short, by the fleet's owner",
    "account",
)
late_refusals = _counter(
    "mustardgap.jobs.refused_late",
    "{job}",
    "New jobs refused by their owner because they would have ended too late",
    "cause",
)
dispatched_jobs = _counter(
    "mustardgap.dispatched_jobs.ended", "{job}", "Jobs ended by their owner", "phase"
)
placement_wait = _duration_histogram(
    "mustardgap.placement.wait", "Time from a job's acceptance to the start of a task"
)
submitted_jobs = _counter(
    "mustardgap.jobs.submitted",
    "{job}",
    "Submissions that this daemon passed on to owners, repeated ones as well, by client account",
    "account",
)
refused_jobs = _counter(
    "mustardgap.jobs.refused",
    "{job}",
    "Submissions that this daemon answered with a refusal, by cause and client account",
    "cause",
    "account",
)
promised_return = _duration_histogram(
    "mustardgap.return.promised", "Time after which refused callers were told to come back"
)
actual_return = _duration_histogram(
    "mustardgap.return.actual", "Time after which refused callers came back"
)
pool_machines = _levels(
    "mustardgap.pool.machines",
    "{machine}",
    "Machines that a pool wants and has, as the fleet's owner sees it",
    "pool",
    "kind",
)
run_starts = _counter("mustardgap.run.starts", "{run}", "Starts of runs by outcome", "outcome")
run_ends = _counter("mustardgap.run.ends", "{run}", "Ends of runs as executors told them", "how")
run_losses = _counter("mustardgap.run.losses", "{run}", "Runs that are gone without an end", "why")
task_crashes = _counter(
    "mustardgap.task.crashes",
    "{crash}",
    "Executors that crashed under a task, by how its run stood",
    "stood",
)
tasks_given_up = _counter(
    "mustardgap.tasks.given_up",
    "{decision}",
    "Decisions to start a part of a job no more while its long-running tasks go on",
    "part",
)
shard_changes = _counter(
    "mustardgap.shard.changes", "{shard}", "Shards gained and lost by this daemon", "change"
)
store_appends = _counter(
    "mustardgap.store.appends", "{append}", "Appends to owned shards by outcome", "outcome"
)
records_rejected = _counter(
    "mustardgap.store.records_rejected",
    "{record}",
    "Records that the store doesn't take, such as too large ones, by the prefix of their key",
    "kind",
)
append_duration = _duration_histogram(
    "mustardgap.store.append_duration", "Time until an append is answered"
)
loop_lateness = _duration_histogram(
    "mustardgap.loop.lateness", "How late the event loop gets to a timer that is due"
)
loop_busy_time = _counter(
    "mustardgap.loop.busy_time", "s", "Time in which the event loop didn't wait for anything"
)
machine_orders = _counter(
    "mustardgap.machine.orders",
    "{order}",
    "Orders to machines by kind and outcome",
    "kind",
    "outcome",
)
rack_changes = _counter(
    "mustardgap.rack.changes",
    "{rack}",
    "Racks that an owner found failed, recovered or gone",
    "state",
)
executor_pauses = _counter(
    "mustardgap.executor.pauses", "{pause}", "Executors that were given nothing for a while", "why"
)
executor_restarts = _counter(
    "mustardgap.executor.restarts", "{restart}", "Executors that restarted under the same id"
)
former_holder_calls = _counter(
    "mustardgap.paths.former_holder_calls",
    "{call}",
    "Calls of owners whose shards held a path before another one",
    "call",
)
executor_speed_changes = _counter(
    "mustardgap.executor.speed_changes",
    "{change}",
    "Executors found to be slower than their peers, or as fast again",
    "to",
)
straggler_restarts = _counter(
    "mustardgap.straggler.restarts",
    "{restart}",
    "Runs stopped on slow executors to be started elsewhere",
)
straggler_results = _counter(
    "mustardgap.straggler.results",
    "{restart}",
    "Restarts of stragglers by what came of them",
    "outcome",
)
_gauge("mustardgap.configuration.version", "1", "The configuration that is in force here")
lost_answers = _counter(
    "mustardgap.lost_answers", "{answer}", "Answers whose caller had left", "error"
)
unanswered_requests = _counter(
    "mustardgap.requests.unanswered",
    "{request}",
    "Requests of callers whose handling ended without an answer",
    "how",
)
log_lines = _counter("mustardgap.log_lines", "{line}", "Lines logged or suppressed", "result")
omitted_lines = _counter(
    "mustardgap.log_lines.omitted", "{line}", "Lines about decisions left out, by class", "class"
)
_gauge("mustardgap.ready", "1", "1 when this entry host takes requests")
