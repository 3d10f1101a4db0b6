"""Loopback links between real processes that can be slowed, reset, cut one way or silenced."""

import asyncio
import contextlib
import enum

CHUNK_BYTES = 65_536
LOOPBACK = "127.0.0.1"


class Way(enum.Enum):
    """The direction of bytes on a link, seen from who opened the connection."""

    OUT = "out"
    BACK = "back"


class Link:
    """Carries connections from one port to another.

    :param port: where it listens.
    :param target: the port that it leads to.
    :param ip: the address that it listens on.
    :param source: the address that it connects from, if that matters.
    """

    def __init__(
        self, *, port: int, target: int, ip: str = LOOPBACK, source: str | None = None
    ) -> None:
        self.ip = ip
        self.source = source
        self.port = port
        self.target = target
        self.delay_s = 0.0
        self._open_by_way = {way: asyncio.Event() for way in Way}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._silent_new = False
        self._carrying: set[asyncio.Task[None]] = set()
        self._never = asyncio.Event()

    async def open(self) -> None:
        """Begin to listen."""
        self.cut()
        self._server = await asyncio.start_server(self._carry, self.ip, self.port)

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """End all connections at once, with what is under way on them."""
        for writer in list(self._writers):
            writer.transport.abort()
        for task in self._carrying:
            task.cancel()

    def cut(self, *ways: Way) -> None:
        """Hold all bytes back that go these ways, and let others through."""
        for way, is_open in self._open_by_way.items():
            if way in ways:
                is_open.clear()
            else:
                is_open.set()

    def silence(self, *, new: bool = False) -> None:
        """Let no byte through any more on the connections that are open.

        :param new: whether new ones are silent too, until ``admit`` is called.
        """
        self._silent |= self._writers
        self._silent_new = new

    def admit(self) -> None:
        """Let new connections work again; silent ones stay so."""
        self._silent_new = False

    async def _carry(self, near: asyncio.StreamReader, back: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._carrying.add(task)
        task.add_done_callback(self._carrying.discard)
        try:
            source = (self.source, 0) if self.source else None
            far, out = await asyncio.open_connection(LOOPBACK, self.target, local_addr=source)
        except (OSError, asyncio.CancelledError):
            # Reset while it connects, it is cancelled, which asyncio's streams report as an error.
            back.transport.abort()
            return
        writers = {back, out}
        self._writers |= writers
        if self._silent_new:
            self._silent |= writers
        ways = [
            asyncio.create_task(self._pump(near, out, Way.OUT)),
            asyncio.create_task(self._pump(far, back, Way.BACK)),
        ]
        try:
            # An end of either way ends both, as when a process dies. Cancelled is who carries when
            # the connection is reset, and asyncio's streams would report that as an error.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            self._writers -= writers
            self._silent -= writers
            for writer in writers:
                with contextlib.suppress(OSError, RuntimeError):
                    writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._open_by_way[way].wait()
                if writer not in self._silent:
                    writer.write(data)
                    await writer.drain()
        if writer in self._silent:
            # The other side doesn't even see that this one has ended.
            await self._never.wait()
