"""A link that runs in its own thread, for steps that block."""

import asyncio
import threading

from tools.links import Link


class ThreadedLink:
    """Forwards connections to a port, until it is silenced.

    :param port: the port that it listens on.
    :param target: the port that it forwards to.
    """

    def __init__(self, *, port: int, target: int) -> None:
        self.port = port
        self.target = target
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        asyncio.run_coroutine_threadsafe(self._open(), self._loop).result(5)

    def silence(self, *, new: bool = False) -> None:
        """Drop all bytes sent on the open connections, with ``new`` also on new ones."""
        self._loop.call_soon_threadsafe(lambda: self._link.silence(new=new))

    def admit(self) -> None:
        """Let new connections work again."""
        self._loop.call_soon_threadsafe(self._link.admit)

    def close_all(self) -> None:
        """Close all open connections."""
        self._loop.call_soon_threadsafe(self._link.reset)

    def stop(self) -> None:
        """Stop the link and its thread."""
        asyncio.run_coroutine_threadsafe(self._close(), self._loop).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)

    async def _close(self) -> None:
        self._link.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        await asyncio.gather(*others, return_exceptions=True)

    async def _open(self) -> None:
        self._link = Link(port=self.port, target=self.target)
        await self._link.open()
