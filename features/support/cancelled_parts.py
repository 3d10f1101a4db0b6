"""Parts of an owner of which something that they await ends in a way that nobody asked for."""

import asyncio


async def cancelled():
    """What awaiting something shared does once another one has closed it."""
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


async def failed():
    """What awaiting something does that nobody thought could fail."""
    raise ValueError("it broke")


class EndedOnce:
    """Passes everything on to a port or clock; one call of it ends otherwise.

    :param target: what is called.
    :param name: the method of which one call ends otherwise.
    :param only: tells by a call's positional arguments whether it is the one.
    :param ends: what that call does.
    """

    def __init__(self, target, name, *, only=lambda *args: True, ends=cancelled):
        self._target = target
        self._name = name
        self._only = only
        self._ends = ends
        self.count = 0
        self.calls = 0

    def __getattr__(self, name):
        method = getattr(self._target, name)
        if name != self._name:
            return method

        def call(*args, **kwargs):
            self.calls += 1
            if self.count or not self._only(*args):
                return method(*args, **kwargs)
            self.count += 1
            return self._ends()

        return call
