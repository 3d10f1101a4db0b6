"""The platform's list of live and leaving hosts, which shows what was true some time ago."""

import time
from collections import deque
from typing import Any, NamedTuple

from mustardgap.models import HostEntry


class _Change(NamedTuple):
    time: float
    host: str
    entry: HostEntry | None


class Hosts:
    """The lagging list of hosts.

    :param lag_s: seconds by which the list lags.
    :param expire_s: seconds after which a host that has stopped announcing itself is dropped.
    """

    def __init__(self, *, lag_s: float, expire_s: float) -> None:
        self.lag_s = lag_s
        self.expire_s = expire_s
        self._as_of = 0.0
        self._true_by_host: dict[str, HostEntry] = {}
        self._announced_by_host: dict[str, float] = {}
        self._shown_by_host: dict[str, HostEntry] = {}
        self._leaving: set[str] = set()
        self._changes: deque[_Change] = deque()

    def announce(self, entry: HostEntry) -> None:
        """Take in a host's announcement of itself."""
        host = entry["host"]
        self._announced_by_host[host] = time.time()
        if host in self._leaving:
            entry = {**entry, "state": "leaving"}
        if self._true_by_host.get(host) != entry:
            self._change(host, entry)

    def announce_worker(self, worker: str, data_center: str) -> None:
        """Show a worker that leaves on short notice; it stays on the list until withdrawn."""
        entry: HostEntry = {
            "host": worker,
            "role": "worker",
            "state": "leaving",
            "address": "",
            "data_center": data_center,
        }
        self._change(worker, entry)

    def force_leaving(self, host: str, is_on: bool) -> None:
        """Show a host as leaving whatever it says of itself, or stop that."""
        if is_on:
            self._leaving.add(host)
        else:
            self._leaving.discard(host)
        if is_on and host in self._true_by_host:
            self._change(host, {**self._true_by_host[host], "state": "leaving"})

    def withdraw(self, host: str) -> None:
        """Take a host off the list."""
        self._announced_by_host.pop(host, None)
        if host in self._true_by_host:
            self._change(host, None)

    def view(self) -> dict[str, Any]:
        """The list as it was ``lag_s`` seconds ago; it never goes back when the lag grows."""
        now = time.time()
        self._expire(now)
        self._as_of = max(self._as_of, now - self.lag_s)
        while self._changes and self._changes[0].time <= self._as_of:
            _apply(self._changes.popleft(), self._shown_by_host)
        return {"as_of": self._as_of, "hosts": list(self._shown_by_host.values())}

    def _expire(self, now: float) -> None:
        silent = [h for h, at in self._announced_by_host.items() if now - at > self.expire_s]
        for host in silent:
            self.withdraw(host)

    def _change(self, host: str, entry: HostEntry | None) -> None:
        change = _Change(time.time(), host, entry)
        _apply(change, self._true_by_host)
        self._changes.append(change)


def _apply(change: _Change, entries_by_host: dict[str, HostEntry]) -> None:
    if change.entry is None:
        entries_by_host.pop(change.host, None)
    else:
        entries_by_host[change.host] = change.entry
