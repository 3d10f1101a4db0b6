"""Parts of an owner that end as something they await is cancelled, which nobody asked for."""

import asyncio
import inspect


class CancelledOnce:
    """Passes everything on to a port or clock; one call of it ends by a cancellation.

    :param target: what is called.
    :param name: the method that is cancelled once.
    :param only: tells by a call's positional arguments whether it is the one.
    """

    def __init__(self, target, name, only=lambda *args: True):
        self._target = target
        self._name = name
        self._only = only
        self.cancelled = 0

    def __getattr__(self, name):
        method = getattr(self._target, name)
        if name != self._name:
            return method

        def call(*args, **kwargs):
            if self.cancelled or not self._only(*args):
                return method(*args, **kwargs)
            self.cancelled += 1
            return _cancelled()

        return call if inspect.ismethod(method) or callable(method) else method


async def _cancelled():
    """What awaiting something shared does once another one has closed it."""
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future
