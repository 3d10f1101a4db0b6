"""Several daemons' owners, gateways and boards in one process on virtual time, over fakes."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import msgspec

from mustardgap.accounts import AccountDirectory
from mustardgap.dispatchers import Dispatcher
from mustardgap.job_replies import JobReply
from mustardgap.load_features import LoadFeatures
from mustardgap.policies import WHOLE, Policy
from mustardgap.record_limits import RecordLimits
from mustardgap.shard_owners import shard_of
from mustardgap.workloads import (
    AdvicePolicy,
    Configuration,
    ExecutorEntry,
    JobSpec,
    Queue,
    Room,
    Service,
    TaskId,
)

from .fake_executors import FakeExecutor, FakeExecutors
from .fake_machines import FakeMachines
from .fake_store import FakeStore
from .owner_daemons import ADVICE_VALID_S, ADVISE_S, SERVICE, SHARDS, FakeDaemon
from .owner_oracle import JobHistory, crash_problems, problems
from .virtual_time import VirtualLoop

ATTEMPTS = 2
STANDBY = "spare"
QUEUE = Queue(
    name="quotes",
    host="stairs.example",
    path_prefix="/quotes/",
    service=SERVICE,
    timeout_s=3.0,
    objective_s=0.6,
    priority=0,
    max_attempts=ATTEMPTS,
    stretch=1.6,
)
CAPACITY = Room(cpu=8_000, memory_mb=16_000, gpus=0)
HEARTBEAT_S = 1.5
FULL_LINK_S = 0.5
# An executor that a task has crashed is back after this.
REBORN_S = 3.0
# What the wall clock of daemons shows at the beginning of virtual time.
EPOCH_S = 1_700_000_000.0


class OwnerWorld:
    """Daemons, executors, machines and the store, with what callers were told.

    :param loop: the virtual loop that all run on.
    :param daemons: how many daemons.
    :param executors: how many executors the pool has; the standby pool has two machines.
    :param work_s: how long a task takes.
    :param seed: draws losses and delays.
    :param advised: whether the queue's policy allows only some executors.
    :param small: daemons whose hosts are small.
    :param policy: what takes part in the owners' decisions.
    :param guards: whether executors refuse what doesn't fit.
    :param states_starts: whether executors state when they started.
    :param features: the decisions for hard load that take part; by default none.
    :param racks: how many racks of equal size the machines stand in.
    :param record_limits: the sizes that the store takes and states; None for any, as long as the
        product's defaults hold.
    """

    def __init__(
        self,
        *,
        loop: VirtualLoop,
        daemons: int = 3,
        executors: int = 4,
        work_s: float = 0.6,
        seed: int = 0,
        advised: bool = False,
        small: Sequence[str] = (),
        guards: bool = True,
        policy: Policy = WHOLE,
        states_starts: bool = False,
        features: LoadFeatures | None = None,
        racks: int = 1,
        record_limits: RecordLimits | None = None,
    ) -> None:
        self.states_starts = states_starts
        self.policy = policy
        self.features = features or LoadFeatures()
        self.racks = racks
        self._executors = executors
        self.loop = loop
        self.guards = guards
        self.small = frozenset(small)
        # Hosts whose calls of other hosts get no answer.
        self.hosts_unheard: set[str] = set()
        self.record_limits = record_limits or RecordLimits()
        self.store = FakeStore(shards=SHARDS, seed=seed)
        if record_limits is not None:
            self.store.record_bytes, self.store.request_bytes = record_limits
        self.fleet = FakeExecutors(seed=seed)
        self.machines = FakeMachines(world=self)
        self.asked_by_job: dict[str, JobHistory] = {}
        self.daemons_by_address: dict[str, FakeDaemon] = {}
        # The daemon that has left last.
        self.gone: FakeDaemon | None = None
        self.work_s = work_s
        self.lives = 0
        # How many executors tasks have crashed.
        self.crashes = 0
        # Whether executors write their entries.
        self.beating = True
        self.found: list[str] = []
        self.drained_at_by_executor: dict[str, float] = {}
        self.fleet.record.room_of = self._room_of
        self.fleet.record.on_stop = self._check_stop
        self.cancelling: set[str] = set()
        # How many seconds after the list of machines shows it an executor answers and is listed.
        self.start_delay_s = 0.0
        # Tasks that crash each executor that starts them, by how many seconds after their start.
        self.crashing: dict[TaskId, float] = {}
        self.fleet.record.crash_after = self.crashing.get
        self.fleet.record.on_crash = self._bear_later
        self.fleet.record.on_overload = self._note_overload
        self.names = [f"e{number}" for number in range(1, daemons + 1)]
        services = {
            SERVICE: Service(SERVICE, "/", 64, guards, False),
            STANDBY: Service(STANDBY, "/", 64, True, True),
        }
        advice = AdvicePolicy(ADVISE_S, 0.0, ADVICE_VALID_S) if advised else None
        queue = QUEUE._replace(advice=advice)
        self.fleet.advised = advised
        self._configuration = Configuration(1, {QUEUE.name: queue}, services)
        self.publish_configuration(1)
        for number in range(1, executors + 1):
            self.machines.add(f"m{number}", SERVICE)
        for number in (1, 2):
            self.machines.add(f"s{number}", STANDBY)
        self._tasks = [
            asyncio.ensure_future(self.fleet.run()),
            asyncio.ensure_future(self._beat()),
        ]
        for name in self.names:
            self.start(name)

    # Daemons.

    def start(self, name: str) -> None:
        """Start a daemon, unless it runs."""
        if f"{name}:1" in self.daemons_by_address:
            return
        daemon = FakeDaemon(world=self, name=name)
        self.daemons_by_address[f"{name}:1"] = daemon

    def kill(self, name: str) -> None:
        """Kill a daemon."""
        daemon = self.daemons_by_address.pop(f"{name}:1", None)
        if daemon is not None:
            daemon.kill()

    async def stop(self, name: str) -> None:
        """Stop a daemon in good order."""
        daemon = self.daemons_by_address[f"{name}:1"]
        await daemon.owners.leave()
        self.gone = daemon
        if self.daemons_by_address.get(f"{name}:1") is daemon:
            self.kill(name)

    def daemon(self, name: str) -> FakeDaemon:
        """A daemon that runs."""
        return self.daemons_by_address[f"{name}:1"]

    def owner(self) -> str | None:
        """The host that believes to own the pool's queues, the latest if several do."""
        shard = shard_of(SERVICE, SHARDS)
        owners = [
            (daemon.owners._epoch_by_shard[shard], daemon.name)
            for daemon in self.daemons_by_address.values()
            if shard in daemon.owners.owned_by_shard
        ]
        return max(owners)[1] if owners else None

    def dispatcher(self) -> Dispatcher:
        """What owns the pool's queues; there has to be an owner."""
        owner = self.owner()
        assert owner is not None, "nobody owns the pool's queues"
        owned = self.daemon(owner).owners.owned_by_shard[shard_of(SERVICE, SHARDS)]
        assert isinstance(owned, Dispatcher)
        return owned

    def fill_link(self, name: str) -> None:
        """Have a host's calls of the store take long, and those of other hosts get no answer."""
        self.store.slow_hosts[name] = FULL_LINK_S
        self.hosts_unheard.add(name)

    def publish_configuration(self, version: int) -> None:
        """Publish a configuration as the operator does."""
        raw = msgspec.msgpack.encode(self._configuration._replace(version=version))
        self.store.write_operator("config", raw)

    def publish_accounts(self, accounts: AccountDirectory, version: int) -> None:
        """Publish a configuration with client accounts."""
        self._configuration = self._configuration._replace(accounts=accounts)
        self.publish_configuration(version)

    # Executors.

    def bear(self, machine: str, pool: str) -> FakeExecutor:
        """Let a machine's next executor begin."""
        self.lives += 1
        entry = ExecutorEntry(
            executor=f"x{self.lives}",
            service=pool,
            address=f"{machine}:9",
            data_centre="d1",
            draining=False,
            capacity=CAPACITY,
            rack=f"r{(int(machine[1:]) - 1) * self.racks // self._executors + 1}",
            machine=machine,
            started_ms=self._start_ms() if self.states_starts else None,
        )
        executor = self._make_executor(entry)
        if self.start_delay_s > 0:
            self.loop.call_later(self.start_delay_s, self._serve, executor)
        else:
            self._serve(executor)
        return executor

    def restart(self, executor: FakeExecutor, *, listed: bool = True) -> FakeExecutor:
        """End an executor and let its next incarnation begin at once, under the same id.

        :param listed: whether the new one writes its entry at once.
        """
        executor.crash()
        entry = executor.entry._replace(started_ms=self._start_ms(), draining=False)
        successor = self._make_executor(entry)
        self.machines.places[entry.machine].executor = successor
        self.fleet.add(successor)
        if listed:
            self.publish(successor)
        return successor

    def _start_ms(self) -> int:
        return int((EPOCH_S + self.loop.time()) * 1000)

    def _make_executor(self, entry: ExecutorEntry) -> FakeExecutor:
        executor = FakeExecutor(
            entry=entry,
            record=self.fleet.record,
            work=self._work,
            rate=0.98 + 0.04 * self.fleet.random.random() / 2,
        )
        executor.guards = self.guards
        return executor

    def _serve(self, executor: FakeExecutor) -> None:
        self.fleet.add(executor)
        self.publish(executor)

    def bear_again(self, machine: str) -> None:
        """Let a machine whose executor has gone down have its next one.

        Where executors state when they started, it has the id of the former one.
        """
        place = self.machines.places[machine]
        if place.state == "up" and place.executor is not None and not place.executor.alive:
            if self.states_starts:
                self.restart(place.executor)
            else:
                place.executor = self.bear(machine, place.pool)

    def _bear_later(self, executor: FakeExecutor) -> None:
        self.crashes += 1
        self.loop.call_later(REBORN_S, self.bear_again, executor.entry.machine)

    def publish(self, executor: FakeExecutor) -> None:
        """Write an executor's entry."""
        raw = msgspec.msgpack.encode(executor.entry)
        self.store.write_entry(executor.entry.executor, raw)

    async def _beat(self) -> None:
        silent: dict[str, float] = {}
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.store.down or not self.beating:
                continue
            for executor in list(self.fleet.by_address.values()):
                name = executor.entry.executor
                if executor.alive:
                    silent.pop(name, None)
                    self.publish(executor)
                elif silent.setdefault(name, self.loop.time()) < self.loop.time() - 4.5:
                    self.store.write_entry(name, None)

    def _work(self, task: TaskId) -> float | None:
        asked = self.asked_by_job.get(task.job)
        if asked is None:
            return self.work_s
        return None if asked.spec.steps[task.step].lasting else self.work_s

    def _room_of(self, task: TaskId) -> Room:
        asked = self.asked_by_job.get(task.job)
        return asked.spec.steps[task.step].room if asked else Room()

    def _check_stop(self, task: TaskId) -> None:
        """Note a stop that takes away more of a step than it may miss."""
        asked = self.asked_by_job[task.job]
        step = asked.spec.steps[task.step]
        if step.may_miss is None or task.job in self.cancelling:
            return
        others = [task._replace(number=n) for n in range(step.width) if n != task.number]
        away = [other.number for other in others if not self.fleet.is_at_work(other)]
        if len(away) >= step.may_miss:
            self.found.append(
                f"{task} was stopped at {self.loop.time():.2f} while {away} were away"
            )

    def _note_overload(self, task: TaskId, executor: str) -> None:
        self.found.append(f"{task} brought {executor} over its room at {self.loop.time():.2f}")

    # Callers.

    async def submit(
        self, job_id: str, spec: JobSpec, host: str, keys: Sequence[str] = ()
    ) -> JobReply | None:
        """Hand a job in through a host; None when the host is dead.

        :param keys: the keys that the request carries.
        """
        asked = self.asked_by_job.setdefault(job_id, JobHistory(spec, [], []))
        daemon = self.daemons_by_address.get(f"{host}:1")
        if daemon is None:
            return None
        # Until it is answered, nobody can say that it was refused.
        asked.statuses.append(0)
        place = len(asked.statuses) - 1
        identity = daemon.gateway.identify(QUEUE, keys)
        if isinstance(identity, JobReply):
            reply = identity
        else:
            reply = await daemon.gateway.submit(
                queue=QUEUE, job_id=job_id, spec=spec, identity=identity
            )
        asked.statuses[place] = reply.code.http_status
        return reply

    async def submit_until_accepted(self, job_id: str, spec: JobSpec, tries: int = 60) -> bool:
        """Hand a job in, again and again, through one host after another."""
        for number in range(tries):
            reply = await self.submit(job_id, spec, self.names[number % len(self.names)])
            if reply is not None and reply.code.http_status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def cancel(self, job_id: str, host: str) -> int:
        """Cancel a job through a host; the status, 0 when the host is dead."""
        daemon = self.daemons_by_address.get(f"{host}:1")
        if daemon is None:
            return 0
        self.cancelling.add(job_id)
        reply = await daemon.gateway.cancel(queue=QUEUE, job_id=job_id)
        if reply.code.http_status == 200:
            self.asked_by_job[job_id].cancelled_at.append(self.loop.time())
        return reply.code.http_status

    async def state(self, job_id: str, host: str) -> str:
        """A job's state as a host tells it; empty when it can't."""
        daemon = self.daemons_by_address.get(f"{host}:1")
        if daemon is None:
            return ""
        reply = await daemon.gateway.state(queue=QUEUE, job_id=job_id)
        if reply.code.http_status == 410 and 200 in self.asked_by_job[job_id].statuses:
            self.found.append(f"{job_id} was said not to exist by {host}, though it was accepted")
        return reply.state

    async def final_state(self, job_id: str, wait_s: float) -> str:
        """A job's state, once it is final or the time is over."""
        until = self.loop.time() + wait_s
        state = ""
        while self.loop.time() < until:
            for name in self.names:
                state = await self.state(job_id, name) or state
                if state in ("completed", "failed", "canceled"):
                    return state
            await asyncio.sleep(0.2)
        return state

    def problems(self) -> list[str]:
        """Everything that broke a promise so far."""
        return (
            self.found
            + problems(self.fleet.record, self.asked_by_job, ATTEMPTS)
            + crash_problems(self.fleet.record, self.crashing)
            + self.machines.problems
        )

    def close(self) -> None:
        """End everything."""
        for name in self.names:
            self.kill(name)
        for task in self._tasks:
            task.cancel()


def play(scene: Callable[[OwnerWorld], Coroutine[Any, Any, None]], **options: Any) -> OwnerWorld:
    """Play a scene on virtual time.

    :param scene: what happens; it gets the world.
    :param options: how the world is made.
    :return: the world as it was at the end.
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:

        async def run() -> OwnerWorld:
            world = OwnerWorld(loop=loop, **options)
            try:
                await scene(world)
            finally:
                world.close()
            return world

        return loop.run_until_complete(run())
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
