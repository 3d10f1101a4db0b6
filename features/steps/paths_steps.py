"""Steps for jobs whose paths go to other services, on virtual time."""

import asyncio
from collections import Counter

import msgspec
from behave import then, when

from features.support.owner_jobs import START_S, job_id_of
from mustardgap.accounts import Account, AccountDirectory, digest_of
from mustardgap.dispatchers import Dispatcher
from mustardgap.resources import Room
from mustardgap.shard_owners import shard_of
from mustardgap.workloads import JobSpec, Service, Step
from tools.owner_daemons import SERVICE, SHARDS
from tools.owner_worlds import QUEUE, play

# Their shards differ from each other and from that of the first service.
OTHER, THIRD = "joinery", "fitting"
# No executor has the label, so the jobs wait.
SPEC = JobSpec("quotes", (Step(2, 100, 64, 0, 1.0, requires="gold"),))
JOB, NEW_JOB = job_id_of(1), job_id_of(2)
SETTLED_S = 4.0
LEASES_S = 14.0
ANSWERED_S = 12.0
KEY = "key-of-joiners"

MOVED = QUEUE._replace(name="quotes-2", service=OTHER)
SAME_NAME = QUEUE._replace(service=OTHER)
RENAMED = QUEUE._replace(name="quotes-2")
BACK = QUEUE._replace(name="quotes-3")
AT_THIRD = QUEUE._replace(name="quotes-3", service=THIRD)
BESIDE = QUEUE._replace(name="cuts", path_prefix="/cuts/", service=OTHER)
BESIDE_EXCHANGED = BESIDE._replace(service=SERVICE)
NESTED = QUEUE._replace(name="nested", path_prefix="/quotes/urgent/", service=OTHER)

# The routes of each following version, with the pause after it in seconds.
VERSIONS_BY_CHANGE = {
    "nothing changes": [([QUEUE], 2.0)],
    "its route is replaced by one to another service": [([MOVED], 2.0)],
    "its route goes to another service under its own name": [([SAME_NAME], 2.0)],
    "its route gets another name": [([RENAMED], 2.0)],
    "its route is dropped and comes back elsewhere": [([BESIDE], 3.0), ([MOVED], 2.0)],
    "its route is dropped and comes back as it was": [([BESIDE], 3.0), ([QUEUE], 2.0)],
    "its route goes elsewhere and comes back": [([MOVED], 3.0), ([BACK], 2.0)],
    "its route goes elsewhere and comes back at once": [([MOVED], 0.05), ([BACK], 2.0)],
    "its route goes to a third service after a second one": [([MOVED], 3.0), ([AT_THIRD], 2.0)],
    "its route and another one exchange their services": [([SAME_NAME, BESIDE_EXCHANGED], 2.0)],
    "a route of another service nests in its route": [([QUEUE, NESTED], 2.0)],
    "its route is replaced among client accounts": [([MOVED], 2.0)],
}


class PathWorld:
    """Daemons with several services, and how each call of callers was answered."""

    def __init__(self, world):
        self.world = world
        self.version = 1
        self.queues = [QUEUE, BESIDE]
        self.accounts = None
        self.problems = []

    def publish(self, queues):
        """Publish a configuration as the operator does."""
        self.version += 1
        self.queues = queues
        services = {name: Service(name, "/", 64, True, False) for name in (SERVICE, OTHER, THIRD)}
        configuration = self.world._configuration._replace(
            version=self.version,
            queues_by_name={queue.name: queue for queue in queues},
            services_by_name=services,
            accounts=self.accounts,
        )
        self.world.store.write_operator("config", msgspec.msgpack.encode(configuration))

    def gateway(self, host):
        return self.world.daemon(host).gateway

    def queue_at(self, host, path=QUEUE.path_prefix):
        """The queue of a path by the configuration that a daemon has."""
        configuration = self.world.daemon(host).operator.configuration
        return configuration.queue_for(QUEUE.host, path)

    def _identity(self, host, queue):
        return self.gateway(host).identify(queue, [KEY] if self.accounts else [])

    async def submit(self, host, job_id, queue=None):
        queue = queue or self.queue_at(host)
        return await self.gateway(host).submit(
            queue=queue, job_id=job_id, spec=SPEC, identity=self._identity(host, queue)
        )

    async def state(self, host, job_id):
        queue = self.queue_at(host)
        return await self.gateway(host).state(
            queue=queue, job_id=job_id, identity=self._identity(host, queue)
        )

    async def cancel(self, host, job_id):
        queue = self.queue_at(host)
        return await self.gateway(host).cancel(
            queue=queue, job_id=job_id, identity=self._identity(host, queue)
        )

    async def pending(self, host):
        queue = self.queue_at(host)
        return await self.gateway(host).pending(queue=queue, identity=self._identity(host, queue))

    async def answered(self, call, *arguments):
        """Call again until the answer tells more than to come back, as callers do."""
        until = self.world.loop.time() + ANSWERED_S
        while self.world.daemon(arguments[0]).operator.configuration is None:
            await asyncio.sleep(0.1)
        while True:
            reply = await call(*arguments)
            if reply.code.http_status == 410 and call == self.state:
                self.problems.append(f"{arguments} was answered {reply}")
            if reply.code.http_status not in (503, 504) or self.world.loop.time() > until:
                return reply
            await asyncio.sleep(0.2)

    def owner_of(self, service):
        """The daemon that owns a service's shard, None if nobody does."""
        shard = shard_of(service, SHARDS)
        for daemon in self.world.daemons_by_address.values():
            if isinstance(daemon.owners.owned_by_shard.get(shard), Dispatcher):
                return daemon
        return None

    def shards_of(self, job_id):
        """The shards in which a job has been accepted, by what the store holds."""
        return [n for n, s in self.world.store.shards.items() if f"j/{job_id}" in s.values_by_key]


def restart(world, name):
    world.kill(name)
    world.start(name)


async def kill_all(paths):
    for name in paths.world.names:
        restart(paths.world, name)


async def stop_all(paths):
    for name in paths.world.names:
        await paths.world.stop(name)
        paths.world.start(name)


def kill_owner(*services):
    async def kill(paths):
        for owner in {paths.owner_of(service) for service in services} - {None}:
            restart(paths.world, owner.name)

    return kill


async def lose_answers(paths):
    paths.world.store.lost_share = 0.3
    paths.world.loop.call_later(6.0, setattr, paths.world.store, "lost_share", 0.0)


async def list_away(paths):
    paths.world.store.list_away = True
    paths.world.loop.call_later(5.0, setattr, paths.world.store, "list_away", False)


async def nothing(paths):
    pass


TROUBLES = {
    "nothing else happens": nothing,
    "all daemons are killed": kill_all,
    "all daemons are stopped": stop_all,
    "the owners are killed": kill_owner(SERVICE, OTHER),
    "the former owner is killed": kill_owner(SERVICE),
    "the new owner is killed": kill_owner(OTHER),
    "the store loses answers": lose_answers,
    "the list of paths is away for a while": list_away,
}


async def begin(world, accounts=None):
    paths = PathWorld(world)
    paths.accounts = accounts
    await asyncio.sleep(START_S)
    paths.publish([QUEUE, BESIDE])
    await asyncio.sleep(SETTLED_S)
    return paths


def accounts_of(change):
    if "accounts" not in change:
        return None
    return AccountDirectory(
        {"joiners": Account("joiners", 1.0, Room())}, {digest_of(KEY): "joiners"}
    )


@when('a job is accepted, "{change}", and "{trouble}"')
def change_path(context, change, trouble):
    async def scene(world):
        context.paths = paths = await begin(world, accounts_of(change))
        reply = await paths.submit("e1", JOB)
        assert reply.code.http_status == 200, reply
        if trouble == "the list of paths is away for a while":
            await list_away(paths)
        for queues, pause_s in VERSIONS_BY_CHANGE[change]:
            paths.publish(queues)
            await asyncio.sleep(pause_s)
        await TROUBLES[trouble](paths)
        context.states, context.counts, context.replies = [], [], []
        for host in world.names:
            context.states.append(await paths.answered(paths.state, host, JOB))
            context.replies.append(await paths.answered(paths.submit, host, JOB))
            context.states.append(await paths.answered(paths.state, host, JOB))
        for host in world.names:
            context.counts.append(await paths.answered(paths.pending, host))
        context.new_reply = await paths.answered(paths.submit, "e2", NEW_JOB)
        await asyncio.sleep(1)
        context.new_shards = paths.shards_of(NEW_JOB)
        context.newest_shard = shard_of(paths.queue_at("e2").service, SHARDS)

    context.world = play(scene)


@then("the job is known at every daemon, and is accepted in one shard only")
def check_one(context):
    assert [reply.state for reply in context.states] == ["queued"] * 6, context.states
    assert [reply.code.http_status for reply in context.replies] == [200] * 3, context.replies
    assert not context.paths.problems, context.paths.problems
    assert context.paths.shards_of(JOB) == [shard_of(SERVICE, SHARDS)]


@then("new jobs of the path are accepted in the shard of its newest service")
def check_new(context):
    assert context.new_reply.code.http_status == 200, context.new_reply
    assert context.new_shards == [context.newest_shard], context.new_shards


@then("each daemon counts the jobs of the path that wait")
def check_count(context):
    assert [reply.pending for reply in context.counts] == [1] * 3, context.counts


LATE_S = 1.5
STEP_S = 0.03


def delay(world, names):
    """Have some daemons learn of the operator's next version later."""
    for name in names:
        operator = world.daemon(name).operator
        apply = operator.apply_records

        def apply_later(values, *, source, apply=apply, **_):
            world.loop.call_later(LATE_S, lambda: apply(values, source=source))

        operator.apply_records = apply_later


@when(
    "jobs are submitted through all daemons around the moment at which their route is replaced, "
    "and {lag}"
)
def submit_around(context, lag):
    async def scene(world):
        context.paths = paths = await begin(world)
        count = 2 if lag.startswith("two") else 1 if lag.startswith("one") else 0
        # The last hosts in turn, so that owners and other daemons lag.
        delay(world, world.names[-count:] if count else [])
        if "loses answers" in lag:
            world.store.lost_share = 0.2
        context.told = told = {}

        async def hand_in(number):
            job_id = job_id_of(100 + number)
            told[job_id] = []
            await asyncio.sleep(number * STEP_S)
            # The same job arrives at several daemons, as repeats do.
            hosts = [world.names[(number + turn) % 3] for turn in range(3)]
            for host in hosts:
                if f"{host}:1" not in world.daemons_by_address:
                    continue
                reply = await paths.submit(host, job_id)
                told[job_id].append(reply.code.http_status)
                await asyncio.sleep(0.1)

        jobs = [asyncio.ensure_future(hand_in(number)) for number in range(100)]
        await asyncio.sleep(1.0)
        paths.publish([MOVED, BESIDE])
        if "owner is killed" in lag:
            await asyncio.sleep(0.3)
            await kill_owner(SERVICE)(paths)
        await asyncio.gather(*jobs)
        world.store.lost_share = 0.0
        await asyncio.sleep(6.0)
        context.unknown = []
        for job_id, statuses in told.items():
            if 200 not in statuses:
                continue
            for host in world.names:
                reply = await paths.answered(paths.state, host, job_id)
                if not reply.state:
                    context.unknown.append((job_id, host, reply))

    context.world = play(scene)


@then("each job that was accepted is known at every daemon, and is accepted in one shard only")
def check_around(context):
    accepted = [job for job, statuses in context.told.items() if 200 in statuses]
    assert len(accepted) > 50, Counter(s for told in context.told.values() for s in told)
    assert not context.unknown, context.unknown[:3]
    shards = {job: context.paths.shards_of(job) for job in context.told}
    assert all(len(found) <= 1 for found in shards.values()), shards
    used = {found[0] for found in shards.values() if found}
    assert used == {shard_of(SERVICE, SHARDS), shard_of(OTHER, SHARDS)}, used


@when("a job is accepted, its route is replaced, and the former shard has no owner")
def no_former_owner(context):
    async def scene(world):
        paths = await begin(world)
        assert (await paths.submit("e1", JOB)).code.http_status == 200
        paths.publish([MOVED, BESIDE])
        await asyncio.sleep(2)
        former = paths.owner_of(SERVICE)
        dispatcher = former.owners.owned_by_shard[shard_of(SERVICE, SHARDS)]
        # As while a new owner reads its jobs.
        dispatcher.loaded = False
        context.statuses = [
            (await call(host, JOB)).code.http_status
            for host in world.names
            for call in (paths.submit, paths.state, paths.cancel)
        ]
        beside = [paths.queue_at(host, BESIDE.path_prefix) for host in world.names]
        context.beside = [
            (await paths.submit(host, job_id_of(50 + n), queue)).code.http_status
            for n, (host, queue) in enumerate(zip(world.names, beside, strict=True))
        ]

    context.world = play(scene)


@then("every daemon answers its submission, a question for it and its cancelling by 503")
def check_503(context):
    assert context.statuses == [503] * 9, context.statuses


@then("a job of another path is accepted at once")
def check_beside(context):
    assert context.beside == [200] * 3, context.beside


@when(
    "a job is accepted, its route is replaced, and the new owner learns of that while it is asked "
    "for the job"
)
def learn_while_asked(context):
    async def scene(world):
        paths = await begin(world)
        assert (await paths.submit("e1", JOB)).code.http_status == 200
        new_owner = paths.owner_of(OTHER)
        asker = next(name for name in world.names if name != new_owner.name)
        delay(world, [new_owner.name])
        paths.publish([MOVED, BESIDE])
        await asyncio.sleep(LATE_S - 0.1)
        # The owner's own look into the store takes longer than until it learns of the version.
        world.store.slow_s = 0.3
        context.replies = [await paths.state(asker, JOB) for _ in range(2)]
        world.store.slow_s = 0.0
        context.replies.append(await paths.answered(paths.state, asker, JOB))

    context.world = play(scene)


@then("the question is never answered by 410, and in the end by the job's state")
def check_never_unknown(context):
    statuses = [reply.code.http_status for reply in context.replies]
    assert 410 not in statuses, context.replies
    assert context.replies[-1].state == "queued", context.replies


@when("a job is accepted, its route is replaced, and it is cancelled through another daemon")
def cancel_moved(context):
    async def scene(world):
        paths = await begin(world)
        assert (await paths.submit("e1", JOB)).code.http_status == 200
        paths.publish([MOVED, BESIDE])
        await asyncio.sleep(2)
        context.reply = await paths.cancel("e2", JOB)
        context.states = [(await paths.state(host, JOB)).state for host in world.names]

    context.world = play(scene)


@then("the job is shown as canceled at every daemon")
def check_cancelled(context):
    assert context.reply.code.http_status == 200, context.reply
    assert context.states == ["canceled"] * 3, context.states


def count_calls(world):
    """Count the calls for the shards' records, the list of paths, and between shards."""
    counts = Counter()

    def counting(target, name, kind):
        call = getattr(target, name)

        async def counted(*arguments, **fields):
            counts[kind] += 1
            return await call(*arguments, **fields)

        setattr(target, name, counted)

    for daemon in world.daemons_by_address.values():
        counting(daemon.gateway, "ask_former", "shards")
        for owned in daemon.owners.owned_by_shard.values():
            if isinstance(owned, Dispatcher):
                paths, partition = owned.paths, owned.log._primary
                counting(partition, "append", "store")
                counting(paths, "_take", "list")
    return counts


async def _measure(call, world, paths):
    counts = count_calls(world)
    fences = []
    store_append = world.store.append

    def append(shard, epoch, sequence, records, failover=False):
        if sequence is None:
            fences.append(shard)
        return store_append(shard, epoch, sequence, records, failover)

    world.store.append = append
    await call(paths)
    await asyncio.sleep(0.05)
    world.store.append = store_append
    counts["store"] += len(fences)
    return counts


def _measured(call, *, with_job=True):
    found = {}

    async def scene(world):
        paths = await begin(world)
        if with_job:
            assert (await paths.submit("e1", JOB)).code.http_status == 200
        await asyncio.sleep(1)
        found.update(await _measure(call, world, paths))

    play(scene)
    return Counter(found)


CALLS = {
    "accepting a job": lambda paths: paths.submit("e2", NEW_JOB),
    "a question for a known job": lambda paths: paths.state("e2", JOB),
    "a question for an unknown job": lambda paths: paths.state("e2", NEW_JOB),
    "cancelling an unknown job": lambda paths: paths.cancel("e2", NEW_JOB),
}


@then("{what} takes {store:d} call of the store and {shards:d} between shards")
@then("{what} takes {store:d} calls of the store and {shards:d} between shards")
def check_cost(context, what, store, shards):
    counts = _measured(CALLS[what])
    assert (counts["store"], counts["shards"], counts["list"]) == (store, shards, 0), counts


@then("a version that changes no route's service takes 0 calls of the list of paths")
def check_version_cost(context):
    async def publish(paths):
        paths.publish([QUEUE._replace(timeout_s=2.0), BESIDE._replace(name="cuts-2")])
        await asyncio.sleep(2)

    assert _measured(publish)["list"] == 0


@when("a route without jobs is replaced, and {count:d} jobs are submitted")
def replace_empty(context, count):
    async def scene(world):
        paths = await begin(world)
        paths.publish([MOVED, BESIDE])
        await asyncio.sleep(2)

        async def submit_all(paths):
            for number in range(count):
                reply = await paths.submit("e1", job_id_of(200 + number))
                assert reply.code.http_status == 200, reply

        context.counts = await _measure(submit_all, world, paths)

    context.world = play(scene)


@then("one of them cost a call between shards")
def check_one_call(context):
    assert context.counts["shards"] == 1, context.counts
