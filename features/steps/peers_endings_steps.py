"""Steps for peers whose handlers and dials end in unexpected ways, in one process."""

import asyncio
from contextlib import AsyncExitStack
from unittest import mock

import msgspec
import trustme
from behave import given, then, when

from features.support.gated_streams import GatedChannel
from features.support.tls import write_keys
from mustardgap import channels
from mustardgap.members import Members, me_from
from mustardgap.messages import RecordsAsk
from mustardgap.peers import PeerError, Peers
from mustardgap.settings import Settings
from mustardgap.timelines import Timeline
from mustardgap.timers import Timers
from tools.processes import free_ports

CALL_S = 4.0
LIMIT_S = 20.0


class Peer:
    """One entry host's members and streams."""

    def __init__(self, *, host, port, seed, tls):
        peers = {"port": port, "seeds": [seed], "heartbeat_s": 0.3, "suspect_s": 1.5, "tls": tls}
        raw = {"host": host, "data_center": "d1", "peers": peers}
        self.settings = msgspec.convert({**raw, "platform": {"address": "127.0.0.1:1"}}, Settings)
        self.timers = Timers()
        self.members = Members(
            me=me_from(self.settings), settings=self.settings, timers=self.timers
        )
        self.members.listed_hosts = frozenset({"p1", "p2"})
        self.peers = Peers(
            members=self.members,
            settings=self.settings,
            timers=self.timers,
            timeline=Timeline(member=host),
        )
        self.peers.handle(RecordsAsk, lambda member, message: RecordsAsk(message.first + 1))
        self._tasks = []

    async def __aenter__(self):
        self._tasks = [asyncio.create_task(p.run()) for p in (self.timers, self.peers)]
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def call(self):
        """Call the other peer."""
        (other,) = self.members.peers()
        return await self.peers.call(other.id, RecordsAsk(1), timeout_s=CALL_S)


class Pair:
    """Two peers whose dials fail on request."""

    def __init__(self, *, tls=None, key=None, gated=False):
        self.key = key
        self.failure = None
        self.failed = set()
        self.gated = gated
        self.gated_by_address = {}
        self._stack = AsyncExitStack()
        self._open = channels.open_channel
        ports = free_ports(2)
        self.peers = [
            Peer(host=f"p{i + 1}", port=ports[i], seed=f"127.0.0.1:{ports[1 - i]}", tls=tls)
            for i in range(2)
        ]

    async def __aenter__(self):
        patch = mock.patch.object(channels, "open_channel", self._open_channel)
        self._stack.enter_context(patch)
        for peer in self.peers:
            await self._stack.enter_async_context(peer)
        return self

    async def __aexit__(self, *_):
        await self._stack.aclose()

    def _open_channel(self, address, settings):
        try:
            if self.failure is not None:
                raise self.failure
            channel = self._open(address, settings)
            return self._gate(address, channel) if self.gated else channel
        except BaseException:
            self.failed.add(address)
            raise

    def _gate(self, address, channel):
        """Gate the first stream to an address."""
        if address in self.gated_by_address:
            return channel
        return self.gated_by_address.setdefault(address, GatedChannel(channel))

    async def let_learn(self, host):
        """Let a peer learn that the first stream which it has dialled is open."""
        dialled = {"p1": self.peers[1], "p2": self.peers[0]}[host]
        channel = self.gated_by_address[dialled.members.me.peers_address]
        channel.gate.set()
        await until(channel.has_read.is_set, f"{host} has read of its stream")

    def break_dials(self, reason):
        """Make dials fail."""
        if reason == "opening raises an error":
            self.failure = ValueError("a fault of ours")
        elif reason == "opening is cancelled":
            self.failure = asyncio.CancelledError()
        elif reason == "the tasks that keep it open end":
            for task in connection_tasks():
                task.cancel()
        else:
            self.key.rename(self.key.with_suffix(".away"))

    def restore_dials(self):
        """Make dials succeed again."""
        self.failure = None
        moved_key = self.key.with_suffix(".away")
        if moved_key.exists():
            moved_key.rename(self.key)

    def are_connected(self):
        """Return whether both have an open stream."""
        return all(peer.peers.connected() for peer in self.peers)


def connection_tasks():
    """Return the tasks that keep streams open."""
    return [task for task in asyncio.all_tasks() if task.get_name().startswith("peer:")]


async def until(condition, what):
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.02)


@given("peers p1 and p2 in one process")
def without_certificates(context):
    context.make_pair = Pair


@given("peers p1 and p2 in one process with certificates")
def with_certificates(context):
    folder = context.folder / "keys"
    tls, _ = write_keys(trustme.CA(), folder)
    context.make_pair = lambda: Pair(tls=msgspec.to_builtins(tls), key=folder / "key.pem")


@when("peers' call has its {handler} fail as it {ends}")
def fail_handler(context, handler, ends):
    def fail(member, message):
        pair.peers[1].peers.handle(RecordsAsk, lambda member, message: RecordsAsk(2))
        raise ValueError("a fault of ours") if ends == "fails" else asyncio.CancelledError()

    async def fail_later(member, message):
        fail(member, message)

    async def main():
        async with pair:
            await until(pair.are_connected, "the first stream")
            handle = fail if handler == "plain function" else fail_later
            pair.peers[1].peers.handle(RecordsAsk, handle)
            try:
                context.result = await pair.peers[0].call()
            except PeerError as exc:
                context.result = exc
            context.next_answer = await pair.peers[0].call()

    pair = context.make_pair()
    asyncio.run(main())


@then("peers' call is told of a failure, and the next call is answered")
def check_failure(context):
    assert isinstance(context.result, PeerError), context.result
    assert "no answer" not in context.result.detail, context.result
    assert context.next_answer == RecordsAsk(2), context.next_answer


@when("peers have dialled each other, {callers} call, and {first} learns of its stream first")
def call_while_both_dial(context, callers, first):
    def count(member, message):
        context.runs += 1
        return RecordsAsk(2)

    async def main():
        async with context.make_pair(gated=True) as pair:
            for peer in pair.peers:
                peer.peers.handle(RecordsAsk, count)
            # Each uses the stream that the other has dialled, as it has accepted that one.
            await until(pair.are_connected, "streams of both")
            calling = [peer for peer in pair.peers if peer.settings.host in callers]
            calls = [asyncio.create_task(peer.call()) for peer in calling]
            written = [link for peer in calling for link in peer.peers.links_by_id.values()]
            await until(lambda: not any(link.items for link in written), "requests are written")
            await pair.let_learn(first)
            await pair.let_learn({"p1": "p2", "p2": "p1"}[first])
            context.answers = await asyncio.gather(*calls, return_exceptions=True)

    context.runs = 0
    asyncio.run(main())


@then("peers' calls are all answered by handlers that ran once for each")
def check_answers(context):
    assert all(answer == RecordsAsk(2) for answer in context.answers), context.answers
    assert context.runs == len(context.answers), context.runs


@when("peers can't open their {which} stream for a while: {reason}")
def break_dials(context, which, reason):
    async def main():
        pair = context.make_pair()
        if which == "first":
            pair.break_dials(reason)
        async with pair:
            if which == "next":
                await until(pair.are_connected, "the first stream")
                await until(lambda: len(connection_tasks()) == 2, "both keep it open")
                pair.break_dials(reason)
                for peer in pair.peers:
                    for link in peer.peers.links_by_id.values():
                        link.close()
            if reason != "the tasks that keep it open end":
                await until(lambda: len(pair.failed) == 2, "both have failed to dial")
            pair.restore_dials()
            await until(pair.are_connected, "a new stream")
            context.next_answer = await pair.peers[0].call()

    asyncio.run(main())


@then("peers are connected again, and the next call is answered")
def check_answer(context):
    assert context.next_answer == RecordsAsk(2), context.next_answer
