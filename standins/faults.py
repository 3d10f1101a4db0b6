"""Faults that are switched on and off while a stand-in runs."""

import asyncio
import random
from collections.abc import Callable
from fnmatch import fnmatchcase

import msgspec


class Fault(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One fault; the table in docs/PLATFORM.md says what each does and which fields it reads.

    ``on`` is a shell pattern over what the fault concerns. ``count`` is how often it still
    strikes, None for until it is cleared; ``ratio`` is the share of cases that it strikes.
    """

    fault: str
    on: str = "*"
    method: str = "*"
    port: int = 0
    seconds: float = 0.0
    factor: float = 1.0
    count: int | None = None
    ratio: float = 1.0
    at_byte: int = 0


ChangeCallback = Callable[[Fault, bool], None]


class Faults:
    """The faults that are on.

    :param names: the faults this stand-in knows.
    :param instant: those of them that happen once and needn't be switched off.
    :param seed: the seed of the draws for ``ratio``.
    """

    def __init__(
        self, *, names: frozenset[str], instant: frozenset[str] = frozenset(), seed: int = 0
    ) -> None:
        self.names = names | instant
        self.instant = instant
        self.active: list[Fault] = []
        self._random = random.Random(seed)
        self._callbacks: list[ChangeCallback] = []
        self._changed = asyncio.Event()

    def add(self, fault: Fault) -> None:
        """Switch a fault on.

        :raises ValueError: there is no such fault here.
        """
        if fault.fault not in self.names:
            raise ValueError(f"unknown fault {fault.fault}; there are {sorted(self.names)}")
        if fault.fault not in self.instant:
            self.active.append(fault)
        self._tell(fault, True)

    def clear(self, name: str = "", on: str = "") -> int:
        """Switch faults off, all of them or those of a name and pattern.

        :return: how many were on.
        """
        found = [f for f in self.active if name in ("", f.fault) and on in ("", f.on)]
        for fault in found:
            self._remove(fault)
        return len(found)

    def has(self, name: str, *targets: str, method: str = "*", port: int = 0) -> Fault | None:
        """The fault of this name that concerns any of the targets, without using it up."""
        for fault in self.active:
            if fault.fault == name and _concerns(fault, targets, method, port):
                return fault
        return None

    def take(self, name: str, *targets: str, method: str = "*", port: int = 0) -> Fault | None:
        """As ``has``, but the fault strikes by its ratio and its count goes down."""
        fault = self.has(name, *targets, method=method, port=port)
        if fault is None or (fault.ratio < 1.0 and self._random.random() >= fault.ratio):
            return None
        if fault.count is not None:
            fault.count -= 1
            if fault.count <= 0:
                self._remove(fault)
        return fault

    def on_change(self, callback: ChangeCallback) -> None:
        """Call back with each fault that is switched on (True) or off (False)."""
        self._callbacks.append(callback)

    def concerns(self, fault: Fault, *targets: str) -> bool:
        """Whether a fault concerns any of the targets."""
        return _concerns(fault, targets, "*", 0)

    async def changed(self) -> None:
        """Wait until a fault is switched on or off."""
        await self._changed.wait()

    async def gone(self, name: str, *targets: str) -> None:
        """Wait until no fault of this name concerns any of the targets."""
        while self.has(name, *targets) is not None:
            await self.changed()

    def _remove(self, fault: Fault) -> None:
        self.active.remove(fault)
        self._tell(fault, False)

    def _tell(self, fault: Fault, is_on: bool) -> None:
        for callback in self._callbacks:
            callback(fault, is_on)
        self._changed.set()
        self._changed = asyncio.Event()


def _concerns(fault: Fault, targets: tuple[str, ...], method: str, port: int) -> bool:
    if fault.method not in ("*", method) or fault.port not in (0, port):
        return False
    return any(fnmatchcase(target, fault.on) for target in targets)
