"""Steps for reading the operator's records over a slow link, on virtual time."""

import asyncio

from behave import then, when

from mustardgap.boards import OperatorBoard, OperatorRecords
from mustardgap.events import EventLog
from mustardgap.ports import Entries
from mustardgap.workloads import Configuration
from tools.virtual_time import VirtualClock, run

KEY = "config"


class SlowLinkStore:
    """A store with the operator's records, behind a link with a transfer time for each record."""

    def __init__(self, record_transfer_s):
        self.published_at = []
        self.read_s = 0.0
        self._record_transfer_s = record_transfer_s
        self._published = asyncio.Event()

    def publish(self, now):
        self.published_at.append(now)
        self._published.set()

    async def read_operator(self, *, offset, wait_s):
        if offset is not None and offset >= len(self.published_at):
            self._published.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._published.wait()
            except TimeoutError:
                return Entries(values_by_key={}, end=offset)
        end = len(self.published_at)
        # A read from an offset returns all records, one without only the newest of each key.
        await self._transfer(1 if offset is None else end - offset)
        return Entries(values_by_key={KEY: str(end).encode()} if end else {}, end=end)

    async def _transfer(self, records):
        self.read_s += records * self._record_transfer_s
        await asyncio.sleep(records * self._record_transfer_s)


def _decode(values):
    version = int(values[KEY] or b"0")
    return OperatorRecords(Configuration(version, {}, {}), [], [])


async def _no_peer_answer():
    return {}


async def _publish_and_follow(context, count, gap, transfer):
    clock = VirtualClock(loop=asyncio.get_running_loop())
    link = SlowLinkStore(transfer)
    board = OperatorBoard(
        boards=link,
        decode=_decode,
        ask_peer=_no_peer_answer,
        clock=clock,
        events=EventLog(host="e1", clock=clock),
    )
    applied = []
    board.on_change(lambda: applied.append((clock.monotonic(), board.configuration.version)))
    link.publish(clock.monotonic())
    reader = asyncio.ensure_future(board.run())
    await asyncio.sleep(5.0)
    began, read_s = clock.monotonic(), link.read_s
    for _ in range(count):
        link.publish(clock.monotonic())
        await asyncio.sleep(gap)
    context.share = (link.read_s - read_s) / (clock.monotonic() - began)
    await asyncio.sleep(5.0)
    reader.cancel()
    context.published_at = link.published_at
    context.applied = applied


@when(
    "an operator publishes {count:d} configurations, one every {gap:g} s, "
    "with a transfer time of {transfer:g} s each"
)
def publish(context, count, gap, transfer):
    run(_publish_and_follow(context, count, gap, transfer))


@then("reading them has used at most {share:g} of the link's time")
def check_share(context, share):
    assert round(context.share, 6) <= share, context.share


@then("each daemon's configuration was never older than {max_age_s:g} s")
def check_age(context, max_age_s):
    late = []
    for number, published_at in enumerate(context.published_at, start=1):
        since = [at for at, version in context.applied if version >= number]
        if not since or min(since) - published_at > max_age_s:
            late.append((number, since and min(since) - published_at))
    assert not late, late


@then("the last configuration is in force")
def check_last(context):
    assert context.applied[-1][1] == len(context.published_at), context.applied[-1]
