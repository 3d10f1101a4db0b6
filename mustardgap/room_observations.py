"""Observes the pools' demand for the sharing of capacity, and keeps it for a successor."""

import math
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from .codecs import decode_msgpack
from .pool_demands import FILL_SHARE, RESERVE_SHARE, SHRINK_WINDOW_S, PoolDemand, machine_cpu_of
from .pool_views import PoolView

DEMANDS_KEY = "pool_demands"
# The mean demand is that of this time. It spans several rises and the time between them.
MEAN_WINDOW_S = 30.0
# Views come every 0.2 s. After a gap longer than this the demand in between isn't known, and a pool
# has to be observed anew before it shrinks.
MAX_GAP_S = 1.0
# The claim of a pool without views ends after this, as shares without an update do.
CLAIM_VALID_S = 3.0
# The demands are stored at most once in this time, and only if one has changed by this many
# machines: 60 to 100 bytes for four pools.
STORE_INTERVAL_S = 1.0
STORED_CHANGE_MACHINES = 1.0


class StoredDemand(NamedTuple):
    """A pool's size, its demand and its mean demand, in tenths of a machine."""

    service: str
    size: int
    demand: int
    mean: int


class PoolObservation:
    """One pool's demand, as far as it was observed without a gap.

    :param stored: what a former owner of the shard has stored, None if it has stored nothing.
    """

    def __init__(self, stored: StoredDemand | None = None) -> None:
        self.mean = stored.mean / 10 if stored else 0.0
        self.needed = stored.demand / 10 if stored else 0.0
        self.size = stored.size if stored else 0
        # The last known duration of a job; a pool without jobs doesn't state one.
        self.job_span_s = 0.0
        self._stored_needed = self.needed
        # The mean of a former owner counts for half of the window.
        self._weight_s = MEAN_WINDOW_S / 2 if stored else 0.0
        self._since: float | None = None
        self._noted_at = float("-inf")
        self._recent: deque[tuple[float, float]] = deque()

    def note(self, view: PoolView, demand: PoolDemand, now: float) -> None:
        """Update the observation from a view that the demand was updated from.

        :param now: monotonic seconds.
        """
        gap_s = now - self._noted_at
        if self._since is None or gap_s > MAX_GAP_S:
            self._since, gap_s = now, 0.0
        self._noted_at = now
        self._weight_s = min(self._weight_s + gap_s, MEAN_WINDOW_S)
        self.job_span_s = view.job_span_s or self.job_span_s
        machines = demand.machines(view)
        # Until there is a weight, the first view is the mean.
        share = gap_s / self._weight_s if self._weight_s else 1.0
        self.mean += (machines - self.mean) * share
        machine_cpu = machine_cpu_of(view)
        present_cpu = view.lasting_cpu + view.running_cpu + view.waiting_cpu
        kept = (present_cpu + RESERVE_SHARE * machine_cpu) / (machine_cpu * FILL_SHARE)
        self._recent.append((now, kept))
        while self._recent[0][0] < now - SHRINK_WINDOW_S:
            self._recent.popleft()

    def is_settled(self, move_s: float) -> bool:
        """Return whether the pool was observed long enough to take machines from it."""
        if self._since is None:
            return False
        return self._noted_at - self._since >= SHRINK_WINDOW_S + move_s

    def recent(self) -> tuple[float, ...]:
        """Return the size, in machines, that the demand needed at moments of the last seconds."""
        return tuple(kept for _, kept in self._recent)

    def expect(self, needed: float, size: int, move_s: float) -> float:
        """Record and return the demand; right after a takeover at least the stored one."""
        if self.is_settled(move_s):
            self._stored_needed = 0.0
        self.needed, self.size = max(needed, self._stored_needed), size
        return self.needed


class RoomObservations:
    """The observations of all pools."""

    def __init__(self) -> None:
        self.by_service: dict[str, PoolObservation] = {}
        self._stored: dict[str, StoredDemand] = {}
        self._stored_at = float("-inf")

    def restore(self, raw: bytes) -> None:
        """Restore the demands that a former owner of the shard has stored."""
        rows = decode_msgpack(raw, list[StoredDemand])
        self.by_service = {row.service: PoolObservation(row) for row in rows}

    def of(self, service: str) -> PoolObservation:
        """Return the observation of a pool."""
        return self.by_service.setdefault(service, PoolObservation())

    def to_store(self, now: float) -> bytes | None:
        """Return the demands to store, None if there is nothing to store now.

        :param now: monotonic seconds.
        """
        if now - self._stored_at < STORE_INTERVAL_S:
            return None
        rows = {service: _to_stored(service, o) for service, o in self.by_service.items()}
        if not _has_changed(self._stored, rows):
            return None
        self._stored, self._stored_at = rows, now
        return msgspec.msgpack.encode(list(rows.values()))


def _to_stored(service: str, observation: PoolObservation) -> StoredDemand:
    return StoredDemand(
        service,
        observation.size,
        math.ceil(10 * observation.needed),
        math.ceil(10 * observation.mean),
    )


def _has_changed(before: Mapping[str, StoredDemand], now: Mapping[str, StoredDemand]) -> bool:
    if before.keys() != now.keys():
        return True
    return any(
        row.size != before[service].size
        or abs(row.demand - before[service].demand) >= 10 * STORED_CHANGE_MACHINES
        for service, row in now.items()
    )
