"""A TCP relay in the test's process that goes silent or closes, as a network's path does."""

import asyncio
import threading


class Relay:
    """Passes connections on to a port until told otherwise.

    :param port: where it listens.
    :param target: the port it passes on to.
    """

    def __init__(self, *, port: int, target: int) -> None:
        self.port = port
        self.target = target
        self.silent_new = False
        self._pipes: list[dict[str, object]] = []
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        asyncio.run_coroutine_threadsafe(self._listen(), self._loop).result(5)

    def silence(self, *, new: bool = False) -> None:
        """Let all open connections swallow what is sent; new ones too if told."""
        self.silent_new = new
        for pipe in self._pipes:
            pipe["silent"] = True

    def close_all(self) -> None:
        """Close all open connections."""
        for pipe in self._pipes:
            for writer in pipe["writers"]:
                self._loop.call_soon_threadsafe(writer.transport.abort)

    def stop(self) -> None:
        """End the relay."""
        self._loop.call_soon_threadsafe(self._loop.stop)

    async def _listen(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)

    async def _accept(self, reader, writer):
        pipe = {"silent": self.silent_new, "writers": [writer]}
        self._pipes.append(pipe)
        try:
            other_reader, other = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        pipe["writers"].append(other)
        await asyncio.gather(
            self._pass(pipe, reader, other), self._pass(pipe, other_reader, writer)
        )

    async def _pass(self, pipe, reader, writer):
        try:
            while data := await reader.read(65_536):
                if not pipe["silent"]:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not pipe["silent"]:
            writer.close()
