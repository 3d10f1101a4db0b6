"""Keeps the pools' loads, from which capacity is shared."""

import math
from collections.abc import Mapping
from typing import NamedTuple

from .demand_rises import DemandRises
from .pool_demands import FILL_SHARE, Forecast, PoolDemand, Traffic, machine_cpu_of, present_count
from .pool_views import PoolView
from .room_observations import CLAIM_VALID_S, RoomObservations
from .room_sharing import LEAD_MARGIN_S, PoolLoad, expected_rise, first_reserve, rise_reserve

# The growth of arrivals is extrapolated over this time for the demand that is sure. If arrivals go
# on at the rate of the last RAMP_WINDOW_S (0.45 s), the count over ARRIVAL_WINDOW_S (0.75 s) grows
# for this much longer. Over RAMP_HORIZON_S, a sudden rise to 100 machines is taken for one to 174,
# and the next pool to rise finds no machine left.
SURE_HORIZON_S = 0.3


class _Known(NamedTuple):
    """A pool's load without its reserve, and the monotonic time at which it was computed."""

    load: PoolLoad
    forecast: Forecast
    at: float


class RoomLoads:
    """Computes the pools' loads from their views and from what was observed of them.

    :param move_s: how long a move takes, in seconds.
    """

    def __init__(self, *, move_s: float) -> None:
        self.observations = RoomObservations()
        # Pools that lack machines, and since when, in monotonic seconds.
        self.short_since: dict[str, float] = {}
        self._move_s = move_s
        self._known_by_service: dict[str, _Known] = {}
        self._began_at: float | None = None

    def note(
        self,
        view: PoolView,
        demand: PoolDemand,
        forecast: Forecast,
        traffic: Traffic,
        *,
        givable: int,
        now: float,
    ) -> None:
        """Update a pool's load from a current view.

        :param givable: machines that can leave the pool.
        :param now: monotonic seconds.
        """
        service = view.service
        observation = self.observations.of(service)
        machine_cpu = machine_cpu_of(view) * FILL_SHARE
        size = present_count(view) + traffic.coming - traffic.leaving
        expected = demand.expected_machines(view, forecast, ramp_horizon_s=SURE_HORIZON_S)
        needed = observation.expect(expected, size, self._move_s)
        # Machines ordered to the pool don't work yet. If it gave those that do, it would be empty
        # until the others come. Machines that return from maintenance aren't ordered ones.
        ordered = traffic.coming - traffic.returning
        batch_cpu = view.running_cpu + view.waiting_cpu
        if view.lasting_unplaced and not traffic.coming:
            needed = max(needed, size + 1)
        has_jobs = bool(batch_cpu or view.arriving_cpu)
        lasting = view.lasting_cpu / machine_cpu
        urgent = 0.0
        if view.urgent_cpu and batch_cpu:
            urgent = lasting + view.urgent_cpu / batch_cpu * max(needed - lasting, 0.0)
        if math.ceil(needed) > size:
            since = self.short_since.setdefault(service, now)
        else:
            self.short_since.pop(service, None)
            since = now
        load = PoolLoad(
            service=service,
            size=size,
            needed=needed,
            urgent=min(urgent, needed),
            floor=max(math.ceil(lasting) + has_jobs, 1),
            recent=observation.recent(),
            givable=max(givable - ordered, 0) if observation.is_settled(self._move_s) else 0,
            short_s=now - since,
        )
        self._known_by_service[service] = _Known(load, forecast, now)

    def loads(
        self, *, idle: int, rises: DemandRises, first_sizes: Mapping[str, int], now: float
    ) -> list[PoolLoad]:
        """Return the loads of all pools with their reserves.

        :param idle: standby machines that can be started.
        :param rises: the rises seen.
        :param first_sizes: the pools' sizes before any machine was moved.
        :param now: monotonic seconds.
        """
        self._claim_restored(now)
        for service, known in list(self._known_by_service.items()):
            if now - known.at > CLAIM_VALID_S:
                del self._known_by_service[service]
                self.short_since.pop(service, None)
        unused_by_service = {
            service: max(known.load.size - math.ceil(_occupied(known.load)), 0)
            for service, known in self._known_by_service.items()
        }
        unused = idle + sum(unused_by_service.values())
        multiples_by_service = {
            service: peak / first_sizes[service]
            for service, peak in rises.peak_by_service.items()
            if first_sizes.get(service) and rises.has_risen(service)
        }
        loads = []
        for service, known in self._known_by_service.items():
            load = known.load
            is_current = load.is_current and known.at >= now
            first_size = first_sizes.get(service, 0)
            observation = self.observations.of(service)
            if known.forecast.has_risen:
                peak = rises.peak_by_service.get(service, 0.0)
                rise = peak if known.forecast.rise_due else 0.0
            else:
                others = list(multiples_by_service.values())
                rise = expected_rise(mean=observation.mean, first_size=first_size, others=others)
            reserve = rise_reserve(
                rise=rise,
                first_size=first_size,
                lead_s=self._move_s + LEAD_MARGIN_S,
                job_span_s=observation.job_span_s,
                elsewhere=unused - unused_by_service[service],
            )
            if not known.forecast.has_risen:
                reserve = first_reserve(reserve, first_size)
            loads.append(load._replace(reserve=reserve, is_current=is_current))
        return loads

    def _claim_restored(self, now: float) -> None:
        """Let pools that were stored keep their claim for the first seconds after a takeover."""
        if self._began_at is not None:
            return
        self._began_at = now
        for service, observation in self.observations.by_service.items():
            if service not in self._known_by_service and observation.size:
                size, needed = observation.size, observation.needed
                load = PoolLoad(service, size, needed, is_current=False)
                forecast = Forecast(has_risen=True, rise_due=False)
                self._known_by_service[service] = _Known(load, forecast, now)


def _occupied(load: PoolLoad) -> float:
    return max(load.needed, *load.recent) if load.recent else load.needed
