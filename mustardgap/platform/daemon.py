"""Builds a daemon on the platform from the product's parts, runs it and stops it."""

import asyncio
import gc
import os
import random
import signal
import sys
from functools import partial
from itertools import chain
from pathlib import Path
from typing import NamedTuple

from .. import cancellations, load_features, logs, metrics, policies
from ..boards import ExecutorBoard, OperatorBoard, OperatorRecords, notify
from ..client_bounds import RequestLimits, SharedLimits
from ..codecs import Undecodable, convert
from ..dispatchers import Bounds, Dispatcher
from ..events import EventLog
from ..exceptions import MustardgapError
from ..fleet_managers import FleetManager
from ..fleet_states import OrderTimes
from ..http_pools import HttpPool
from ..job_gateways import JobGateway
from ..job_memory import HeldJobs, JobMemory
from ..load_features import DEFAULTS, Feature, FeatureSettings, LoadFeatures
from ..loop_monitors import LoopMonitor, TimedSelector, run_timed
from ..owner_hints import OwnerHints
from ..peer_calls import PeerClient, PeerServer, PeerUnreachable
from ..policies import WHOLE, Policy
from ..ports import Invalid
from ..shard_owners import FLEET_SHARD, OwnedShard, ShardOwners, shard_of
from ..standbys import address_of, member_name
from ..supervisors import Supervisor
from ..timers import Clock
from ..workloads import Configuration, ExecutorEntry, Wave
from . import decoding
from .executor_client import ExecutorClient
from .front import MONITOR_LIMITS, Front
from .machine_client import AdviceClient, MachineClient
from .process_settings import ProcessSettings, load
from .store_client import StoreClient

SETTINGS_VARIABLE = "MUSTARDGAP_CONFIG"
# The deploy file has to name the metrics' port, so it can't be one of the settings file's.
METRICS_VARIABLE = "MUSTARDGAP_METRICS_PORT"
METRICS_PORT = 9464
# Names a file of experiments; without it every mechanism takes part.
POLICY_VARIABLE = "MUSTARDGAP_POLICY"
# Names a file of switches for hard load; without it each follows what the deployment states.
FEATURES_VARIABLE = "MUSTARDGAP_FEATURES"
CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"
PEER_S = 0.4


class LeavingSteps(NamedTuple):
    """When a daemon that was told to stop goes on to its next step, in seconds since then.

    Connections are sent here until the balancer has missed two checks, a second apart. Then each
    answer ends its connection (``close_s``). Then no request is read any more, and those under way
    are waited for (``stop_s``). At ``end_s`` what has no answer is told so, and the process ends
    before it would be killed, which takes a busy host some tenths.
    """

    close_s: float
    stop_s: float
    end_s: float


# The shortest grace that has time for all steps; a shorter one shortens each by the same share.
FULL_GRACE_S = 6.0
FULL_STEPS = LeavingSteps(close_s=2.6, stop_s=3.6, end_s=5.4)


def leaving_steps(grace_s: float) -> LeavingSteps:
    """The steps of leaving within a grace.

    :param grace_s: seconds from the signal to stop until the process is killed.
    """
    share = min(1.0, grace_s / FULL_GRACE_S)
    return LeavingSteps(*(step * share for step in FULL_STEPS))


class PlatformDaemon:
    """One process on the platform.

    :param settings: what the platform tells this process.
    :param policy: what takes part in its decisions.
    :param features: the switches of the decisions for hard load.
    :param selector: the selector of the event loop, if its waiting is measured.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        policy: Policy = WHOLE,
        features: FeatureSettings = DEFAULTS,
        selector: TimedSelector | None = None,
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.features = LoadFeatures(settings=features, expects_overload=settings.expects_overload)
        self.clock = Clock()
        self.events = EventLog(host=settings.host, clock=self.clock, descriptor=1)
        pool = HttpPool()
        self.store = StoreClient(pool=pool, address=settings.store, shards=settings.shards)
        self.executors = ExecutorClient(pool=pool)
        self.machines = MachineClient(pool=pool, address=settings.machines)
        self.advice = AdviceClient(pool=pool, address=settings.advice)
        self.peers = PeerClient()
        self.peer_server = PeerServer(events=self.events)
        self.operator = OperatorBoard(
            boards=self.store,
            decode=decode_operator,
            ask_peer=self._ask_configuration,
            clock=self.clock,
            events=self.events,
        )
        self.board = ExecutorBoard(
            boards=self.store,
            decode=decode_entry,
            needed=lambda: bool(self.owners.owned_by_shard),
            clock=self.clock,
            events=self.events,
        )
        self.owners = ShardOwners(
            store=self.store,
            member=member_name(
                f"{settings.ip}:{settings.peer_port}", settings.host, settings.cores
            ),
            shards=settings.shards,
            make=self._make,
            reach=self._reach,
            clock=self.clock,
            events=self.events,
        )
        hints = OwnerHints(
            owners=self.owners,
            peers=self.peers,
            known_addresses=self._peer_addresses,
            is_shared=lambda: self.features.has(Feature.OWNER_HINTS),
            events=self.events,
        )
        self.gateway = JobGateway(
            owners=self.owners,
            operator=self.operator,
            peers=self.peers,
            shards=settings.shards,
            clock=self.clock,
            events=self.events,
            policy=policy,
            hints=hints,
            features=self.features,
        )
        self.job_memory = JobMemory(
            memory_mb=settings.memory_mb, held=self._held_jobs, clock=self.clock
        )
        self._monitor = None
        if selector is not None:
            self._monitor = LoopMonitor(selector=selector, clock=self.clock, events=self.events)
        self.front = Front(
            gateway=self.gateway,
            ready=self._is_ready,
            events=self.events,
            limits=self._request_limits,
            shared=SharedLimits.of_machine(
                memory_mb=settings.memory_mb, descriptors=settings.descriptors
            ),
        )
        self._stopping = asyncio.Event()
        metrics.observe("mustardgap.configuration.version", self._version)
        self.operator.on_change(self._update)
        self.board.on_change(self._update)

    async def run(self) -> None:
        """Serve until told to stop, then leave gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.gateway.serve(self.peer_server)
        self.peer_server.handle("configuration", self._tell_configuration)
        self._listen()
        await self.peer_server.start(f"{self.settings.ip}:{self.settings.peer_port}")
        self.events.note(
            "daemon.start",
            vital=True,
            pid=os.getpid(),
            member=self.owners.member,
            without=list(self.policy.without) or None,
        )
        root = Supervisor(name="daemon")
        root.start_child("operator", self.operator.run)
        root.start_child("ask", self.operator.poll_peers)
        root.start_child("board", self.board.run)
        root.start_child("owners", self.owners.run)
        if self._monitor is not None:
            root.start_child("monitor", self._monitor.run)
        try:
            await self._first(root)
            await self._leave()
        finally:
            # A part that keeps failing ends the daemon without time to leave; what is under way is
            # answered even so.
            await self.front.stop(timeout_s=0.0)
            await root.stop()
            self.events.note("daemon.stop", vital=True)
            _ignore_signals(loop)

    async def _first(self, root: Supervisor) -> None:
        failing = asyncio.ensure_future(root.run())
        stopping = asyncio.ensure_future(self._stopping.wait())
        done, _ = await asyncio.wait([failing, stopping], return_when=asyncio.FIRST_COMPLETED)
        for task in (failing, stopping):
            if task not in done:
                task.cancel()
        if failing in done:
            failing.result()

    def _listen(self) -> None:
        settings = self.settings
        if settings.front:
            self.front.listen(settings.front, self.front.jobs)
        if settings.ready:
            self.front.listen(settings.ready, self.front.readiness, shared=MONITOR_LIMITS)
        port = os.environ.get(METRICS_VARIABLE) or METRICS_PORT
        self.front.listen(f"{settings.ip}:{port}", self.front.metrics, shared=MONITOR_LIMITS)

    async def _leave(self) -> None:
        began = self.clock.monotonic()
        steps = leaving_steps(self.settings.promises.grace_s)
        self.events.note("daemon.stopping", vital=True, shards=sorted(self.owners.owned_by_shard))
        # Beside the steps, not before them: whatever becomes of the shards, callers are answered.
        leaving = asyncio.create_task(cancellations.run_part(self.owners.leave))
        await self._sleep_until(began + steps.close_s)
        self.front.closing = True
        await self._sleep_until(began + steps.stop_s)
        await self.front.stop(timeout_s=self._left_s(began + steps.end_s))
        await self.peer_server.stop()
        await self._end_leaving(leaving, self._left_s(began + steps.end_s))

    async def _end_leaving(self, leaving: "asyncio.Task[None]", timeout_s: float) -> None:
        """Wait until the owners' group has been left, and tell if it couldn't be."""
        why = await cancellations.why_not_ended(leaving, timeout_s=timeout_s)
        if why:
            leaving.cancel()
            self.events.note("daemon.not_left", vital=True, why=why)

    def _left_s(self, until: float) -> float:
        return max(0.0, until - self.clock.monotonic())

    async def _sleep_until(self, when: float) -> None:
        await self.clock.sleep(self._left_s(when))

    def _reload(self) -> None:
        # What may change in the file while the process runs are its seeds; all else is learned
        # from the store. A file that doesn't read leaves the present settings in force.
        try:
            self.settings = load(Path(os.environ[SETTINGS_VARIABLE]))
        except MustardgapError as exc:
            self.events.note("daemon.reload", vital=True, applied=False, why=str(exc))
            return
        self.events.note("daemon.reload", vital=True, applied=True)

    def _version(self) -> float:
        configuration = self.operator.configuration
        return float(configuration.version) if configuration else 0.0

    def _request_limits(self) -> RequestLimits:
        configuration = self.operator.configuration
        return configuration.limits if configuration else RequestLimits()

    def _is_ready(self) -> bool:
        return self.operator.configuration is not None and not self._stopping.is_set()

    def _make(self, shard: int, epoch: int) -> OwnedShard:
        promises = self.settings.promises
        if shard == FLEET_SHARD:
            return FleetManager(
                shard=shard,
                epoch=epoch,
                host=self.settings.host,
                store=self.store,
                boards=self.store,
                machines=self.machines,
                operator=self.operator,
                ask=self.gateway.pool,
                settled=self.owners.is_membership_valid,
                times=OrderTimes(promises.move_s, promises.maintenance_s, promises.duty_lease_s),
                clock=self.clock,
                events=self.events,
                policy=self.policy,
                features=self.features,
                limits=self.settings.record_limits,
            )
        dispatcher = Dispatcher(
            shard=shard,
            epoch=epoch,
            store=self.store,
            executors=self.executors,
            advice=self.advice,
            clock=self.clock,
            events=self.events,
            bounds=Bounds(
                promises.status_kept_s,
                promises.stop_timeout_s,
                promises.contact_s + self.settings.executor_heartbeat_s,
                promises.longest_lease_s,
                self.settings.record_limits,
            ),
            seconds_since_confirmed=self.owners.seconds_since_confirmed,
            entry_age_s=self.board.age_s,
            is_membership_valid=self.owners.is_membership_valid,
            policy=self.policy,
            features=self.features,
            owners=self.gateway,
            has_memory_for=self.job_memory.take,
        )
        self._update_one(dispatcher)
        return dispatcher

    def _held_jobs(self) -> HeldJobs:
        owned = self.owners.owned_by_shard.values()
        dispatchers = (part for part in owned if isinstance(part, Dispatcher))
        return HeldJobs.of(chain.from_iterable(part.job_sizes() for part in dispatchers))

    def _update(self) -> None:
        if any(entry.started_ms is not None for entry in self.board.entries_by_id.values()):
            self.features.note_starts_stated()
        updates = [
            partial(self._update_one, owned)
            for owned in self.owners.owned_by_shard.values()
            if isinstance(owned, Dispatcher)
        ]
        notify(updates, self.events)

    def _update_one(self, dispatcher: Dispatcher) -> None:
        configuration = self.operator.configuration
        names = configuration.services_by_name if configuration else {}
        dispatcher.update(
            configuration=configuration,
            entries_by_id=self.board.entries_by_id,
            services=frozenset(
                name for name in names if shard_of(name, self.settings.shards) == dispatcher.shard
            ),
        )

    async def _tell_configuration(self, values: object) -> dict[str, bytes | None]:
        return self.operator.raw_by_key

    async def _reach(self, address: str) -> bool:
        # The gateway is made after the owners, which it needs.
        return await self.gateway.reach(address)

    def _peer_addresses(self) -> set[str]:
        addresses = {address_of(member) for member in self.owners.members_by_shard.values()}
        addresses |= {f"{ip}:{self.settings.peer_port}" for ip in self.settings.seed_ips}
        addresses.discard(f"{self.settings.ip}:{self.settings.peer_port}")
        return addresses

    async def _ask_configuration(self) -> dict[str, bytes | None]:
        addresses = self._peer_addresses()
        if not addresses:
            return {}
        address = random.choice(sorted(addresses))
        try:
            values = await self.peers.call(address, "configuration", None, timeout_s=PEER_S)
            return convert(values, dict[str, bytes | None])
        except (PeerUnreachable, Undecodable) as exc:
            self.events.note("peer.unreachable", peer=address, why=str(exc))
            return {}


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore the signals that a process gets while it ends.

    The loop takes its handlers with it, and the interpreter needs some tenths of a second after
    that. A signal would end the process by its default action then, which looks like a crash.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def decode_operator(values: dict[str, bytes | None]) -> OperatorRecords:
    """Decode records of the operator."""
    configuration: Configuration | None = None
    waves: list[Wave] = []
    invalid: list[str] = []
    for key, raw in values.items():
        if not raw:
            continue
        try:
            if key == CONFIGURATION_KEY:
                configuration = decoding.configuration(raw)
            elif key.startswith(WAVE_PREFIX):
                waves.append(decoding.wave(raw))
        except decoding.InvalidBody as exc:
            invalid.append(f"{key}: {exc}")
    return OperatorRecords(configuration, waves, invalid)


def decode_entry(executor: str, raw: bytes) -> ExecutorEntry | Invalid:
    """Decode an executor's entry."""
    try:
        return decoding.executor_entry(executor, raw)
    except decoding.InvalidBody as exc:
        return Invalid(detail=str(exc))


def main() -> None:
    """Run a daemon by the settings file that the environment names."""
    try:
        settings = load(Path(os.environ.get(SETTINGS_VARIABLE, "")))
        policy = policies.load(os.environ.get(POLICY_VARIABLE, ""))
        features = load_features.load(os.environ.get(FEATURES_VARIABLE, ""))
    except MustardgapError as exc:
        print(exc, file=sys.stderr)
        sys.exit(exc.code.exit_status)
    logs.set_up(host=settings.host)
    gc.freeze()
    run_timed(
        lambda selector: PlatformDaemon(
            settings=settings, policy=policy, features=features, selector=selector
        ).run()
    )
