"""gRPC streams whose dialer reads nothing, not even the Hello message, until a gate is opened."""

import asyncio


class GatedChannel:
    """A channel whose stream waits for a gate before each read.

    ``has_read`` is set once the stream's first read has been answered.
    """

    def __init__(self, channel):
        self._channel = channel
        self.gate = asyncio.Event()
        self.has_read = asyncio.Event()

    def stream_stream(self, method):
        """Return a function that opens a stream, as a channel does."""
        opens = self._channel.stream_stream(method)
        return lambda: GatedCall(opens(), self.gate, self.has_read)

    async def close(self):
        """Close the channel."""
        await self._channel.close()


class GatedCall:
    """A stream that waits for a gate before each read."""

    def __init__(self, call, gate, has_read):
        self._call = call
        self._gate = gate
        self._has_read = has_read

    async def read(self):
        """Read once the gate is open."""
        await self._gate.wait()
        data = await self._call.read()
        self._has_read.set()
        return data

    def __getattr__(self, name):
        return getattr(self._call, name)
