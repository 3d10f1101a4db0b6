"""A link in a thread of its own, for steps that block."""

import asyncio
import threading

from tools.links import Link


class ThreadedLink:
    """Passes connections on to a port until told otherwise.

    :param port: where it listens.
    :param target: the port it passes on to.
    """

    def __init__(self, *, port: int, target: int) -> None:
        self.port = port
        self.target = target
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        asyncio.run_coroutine_threadsafe(self._open(), self._loop).result(5)

    def silence(self, *, new: bool = False) -> None:
        """Let all open connections swallow what is sent; new ones too if told."""
        self._loop.call_soon_threadsafe(lambda: self._link.silence(new=new))

    def admit(self) -> None:
        """Let new connections work again."""
        self._loop.call_soon_threadsafe(self._link.admit)

    def close_all(self) -> None:
        """Close all open connections."""
        self._loop.call_soon_threadsafe(self._link.reset)

    def stop(self) -> None:
        """End the relay."""
        asyncio.run_coroutine_threadsafe(self._close(), self._loop).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)

    async def _close(self) -> None:
        self._link.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        await asyncio.gather(*others, return_exceptions=True)

    async def _open(self) -> None:
        self._link = Link(port=self.port, target=self.target)
        await self._link.open()
