"""Bytes a second that one daemon sends for gossip, heartbeats and leases, against the fleet's size.

Members talk over real gRPC streams on loopback, all in one process; payload is counted by the
streams, and what HTTP/2, TCP and IP add is reckoned by the frame. Leases are counted on virtual
time. The naive way sends the whole table of members to every other member at every turn.
"""

import asyncio
import json
import random
from collections.abc import Iterable
from typing import NamedTuple

import click
import msgspec

from mustardgap.gossip import Gossiper
from mustardgap.members import Members, me_from, row_of
from mustardgap.messages import Frame, Gossip, Item, encode
from mustardgap.peers import Peers
from mustardgap.settings import Settings
from mustardgap.timelines import Timeline
from mustardgap.timers import Timers

from .fake_fleet import FakeExecutors, FakeNetwork, Fleet
from .processes import free_ports
from .rows import Row
from .virtual_time import VirtualClock, VirtualLoop, run

SIZES = (8, 30, 120)
SERVICES = 5
CHANGE_EVERY_S = 5.4
FRAME_OVERHEAD_BYTES = 5 + 9 + 52
ACK_BYTES = 52
PORTS = 60
TARGET_BYTES = 3000


class Traffic(NamedTuple):
    """What one daemon sends a second; ``wire`` counts the frames' and packets' headers too."""

    payload: float
    wire: float
    frames: float


class Node:
    """One member with its streams and gossip."""

    def __init__(self, *, host: str, address: str, port: int, seed: str) -> None:
        raw = {
            "host": host,
            "address": address,
            "data_center": "d1",
            "platform": {"address": "127.0.0.1:1"},
            "peers": {"port": port, "seeds": [seed]},
        }
        settings = msgspec.convert(raw, Settings)
        self.timers = Timers()
        self.members = Members(me=me_from(settings), settings=settings, timers=self.timers)
        timeline = Timeline(member=host)
        self.peers = Peers(
            members=self.members, settings=settings, timers=self.timers, timeline=timeline
        )
        self.gossiper = Gossiper(peers=self.peers)
        self.task = asyncio.create_task(self.peers.run())
        self.timers.subscribe("gossip", settings.peers.gossip_s, self.gossiper.run_round)

    async def stop(self) -> None:
        """End the streams."""
        self.timers.close()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


async def gossip(count: int, seconds: float) -> tuple[Traffic, float]:
    """Measure gossip and heartbeats at rest but for the log's changes.

    :return: the traffic, and the naive way's bytes a second.
    """
    ports = free_ports(min(count, PORTS))
    seed = f"127.0.0.1:{ports[0]}"
    nodes = [
        Node(
            host=f"entry{i}",
            address=f"127.0.0.{1 + i // PORTS}",
            port=ports[i % PORTS],
            seed=seed,
        )
        for i in range(count)
    ]
    try:
        await _settle(nodes, count)
        sent = sum(n.peers.sent_bytes for n in nodes)
        frames = sum(n.peers.sent_frames for n in nodes)
        for offset in range(max(1, round(seconds / CHANGE_EVERY_S))):
            for node in nodes:
                node.members.update_me(offset=offset)
            await asyncio.sleep(min(seconds, CHANGE_EVERY_S))
        elapsed = max(1, round(seconds / CHANGE_EVERY_S)) * min(seconds, CHANGE_EVERY_S)
        sent = sum(n.peers.sent_bytes for n in nodes) - sent
        frames = sum(n.peers.sent_frames for n in nodes) - frames
        per = count * elapsed
        wire = (sent + frames * (FRAME_OVERHEAD_BYTES + ACK_BYTES)) / per
        rows = [row_of(n.members.me) for n in nodes]
        table = len(encode(Frame((0, 0), [Item(0, Gossip(rows))]))) + FRAME_OVERHEAD_BYTES
        return Traffic(sent / per, wire, frames / per), float(table * (count - 1))
    finally:
        await asyncio.gather(*(n.stop() for n in nodes))


async def _settle(nodes: list[Node], count: int) -> None:
    """Wait until everyone knows all, and streams that were only needed for that have closed."""
    met = asyncio.Event()

    def look(*_: object) -> None:
        if all(len(n.members.live()) == count for n in nodes):
            met.set()

    for node in nodes:
        node.members.on_change(look)
    look()
    await met.wait()
    await asyncio.sleep(3.0)


async def leases(count: int, seconds: float) -> Traffic:
    """Measure what votes and leases of slots send while no request comes."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    random.seed(1)
    network = FakeNetwork(delay_s=lambda: 0.0005)
    executors = FakeExecutors(services=SERVICES)
    fleet = Fleet(network=network, executors=executors, clock=VirtualClock(loop=loop))
    for i in range(count):
        fleet.add(f"entry{i}")
    await asyncio.sleep(6.0)
    network.sent.clear()
    network.measure = True
    await asyncio.sleep(seconds)
    per = count * seconds
    sent, frames = network.sent_bytes.total(), network.sent.total()
    wire = (sent + frames * (FRAME_OVERHEAD_BYTES + ACK_BYTES)) / per
    return Traffic(sent / per, wire, frames / per)


def rows(quick: bool) -> Iterable[Row]:
    """Measure at each size.

    :param quick: leave the largest out and measure for less time.
    """
    seconds = CHANGE_EVERY_S if quick else 4 * CHANGE_EVERY_S
    found = []
    for count in SIZES[:2] if quick else SIZES:
        talk, naive = asyncio.run(gossip(count, seconds))
        lease = run(leases(count, 5.0))
        total = talk.wire + lease.wire
        for name, traffic in (("gossip and heartbeats", talk), ("leases, 5 services", lease)):
            found.append(
                Row(
                    f"{name}, {count} entry hosts",
                    round(traffic.wire),
                    "B/s a daemon",
                    baseline=round(naive) if traffic is talk else None,
                    baseline_name="whole table to all" if traffic is talk else "",
                    note=f"payload {traffic.payload:.0f} B/s in {traffic.frames:.1f} frames/s",
                )
            )
        found.append(
            Row(
                f"control between peers, {count} entry hosts",
                round(total),
                "B/s a daemon",
                baseline=round(naive),
                baseline_name="whole table to all",
                target="under 3 KB/s",
                met=total < TARGET_BYTES,
                note="headers of HTTP/2, TCP and IP reckoned in",
            )
        )
    return found


@click.command()
@click.option("--quick", is_flag=True, help="Fewer sizes, less time.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def main(quick: bool, as_json: bool) -> None:
    """Print the traffic at each size."""
    found = list(rows(quick))
    if as_json:
        click.echo(json.dumps([r._asdict() for r in found], indent=1))
        return
    for r in found:
        click.echo(f"{r.name:48}{r.value:8} {r.unit:14}{r.baseline or '':>8} {r.note}")


if __name__ == "__main__":
    main()
