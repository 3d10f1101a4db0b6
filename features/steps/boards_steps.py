"""Steps of following what the operator publishes, on virtual time."""

import asyncio

from behave import then, when

from mustardgap.boards import OperatorBoard, OperatorRecords
from mustardgap.events import EventLog
from mustardgap.ports import Entries
from mustardgap.workloads import Configuration
from tools.virtual_time import VirtualClock, run

KEY = "config"


class SlowLink:
    """A store with the operator's records, behind a link that each record takes some time of."""

    def __init__(self, transfer_s):
        self.published_at = []
        self.read_s = 0.0
        self._transfer_s = transfer_s
        self._more = asyncio.Event()

    def publish(self, now):
        self.published_at.append(now)
        self._more.set()

    async def read_operator(self, *, offset, wait_s):
        if offset is not None and offset >= len(self.published_at):
            self._more.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._more.wait()
            except TimeoutError:
                return Entries(values_by_key={}, end=offset)
        end = len(self.published_at)
        # From an offset on all records come, without one only the newest of each key.
        await self._transfer(1 if offset is None else end - offset)
        return Entries(values_by_key={KEY: str(end).encode()} if end else {}, end=end)

    async def _transfer(self, records):
        self.read_s += records * self._transfer_s
        await asyncio.sleep(records * self._transfer_s)


def _decode(values):
    version = int(values[KEY] or b"0")
    return OperatorRecords(Configuration(version, {}, {}), [], [])


async def _ask_nobody():
    return {}


async def _play(context, count, gap, transfer):
    clock = VirtualClock(loop=asyncio.get_running_loop())
    link = SlowLink(transfer)
    board = OperatorBoard(
        boards=link,
        decode=_decode,
        ask_peer=_ask_nobody,
        clock=clock,
        events=EventLog(host="e1", clock=clock),
    )
    applied = []
    board.on_change(lambda: applied.append((clock.monotonic(), board.configuration.version)))
    link.publish(clock.monotonic())
    following = asyncio.ensure_future(board.run())
    await asyncio.sleep(5.0)
    began, read_s = clock.monotonic(), link.read_s
    for _ in range(count):
        link.publish(clock.monotonic())
        await asyncio.sleep(gap)
    context.share = (link.read_s - read_s) / (clock.monotonic() - began)
    await asyncio.sleep(5.0)
    following.cancel()
    context.published_at = link.published_at
    context.applied = applied


@when(
    "an operator publishes {count:d} configurations, one each {gap:g} s, "
    "of {transfer:g} s of the link each"
)
def publish(context, count, gap, transfer):
    run(_play(context, count, gap, transfer))


@then("reading them has taken at most {share:g} of the link's time")
def check_share(context, share):
    assert round(context.share, 6) <= share, context.share


@then("each daemon's configuration was never older than {most:g} s")
def check_age(context, most):
    late = []
    for number, published_at in enumerate(context.published_at, start=1):
        since = [at for at, version in context.applied if version >= number]
        if not since or min(since) - published_at > most:
            late.append((number, since and min(since) - published_at))
    assert not late, late


@then("the last configuration is in force")
def check_last(context):
    assert context.applied[-1][1] == len(context.published_at), context.applied[-1]
