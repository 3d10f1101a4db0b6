"""gRPC streams whose dialer reads nothing, not even the Hello message, until a gate is opened."""

import asyncio


class GatedChannel:
    """A channel whose streams wait for a gate before each read."""

    def __init__(self, channel):
        self._channel = channel
        self.gate = asyncio.Event()

    def stream_stream(self, method):
        """Return a function that opens a stream, as a channel does."""
        opens = self._channel.stream_stream(method)
        return lambda: GatedCall(opens(), self.gate)

    async def close(self):
        """Close the channel."""
        await self._channel.close()


class GatedCall:
    """A stream that waits for a gate before each read."""

    def __init__(self, call, gate):
        self._call = call
        self._gate = gate

    async def read(self):
        """Read once the gate is open."""
        await self._gate.wait()
        return await self._call.read()

    def __getattr__(self, name):
        return getattr(self._call, name)
