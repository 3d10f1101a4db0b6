"""Admission: whether a new job is accepted, and when a refused caller should return.

This package knows nothing of executors, hosts, the store or the platform: plain values come in, and
decisions that state their inputs go out.
"""

from .backlogs import AccountWork, Demand, PoolBacklog
from .evidence import MIN_ENDED_TASKS, DurationEvidence
from .forecasts import Capacity, Forecast, forecast_end, work_ahead
from .return_times import ReturnSchedule
from .rules import Cause, Decision, decide

__all__ = [
    "MIN_ENDED_TASKS",
    "AccountWork",
    "Capacity",
    "Cause",
    "Decision",
    "Demand",
    "DurationEvidence",
    "Forecast",
    "PoolBacklog",
    "ReturnSchedule",
    "decide",
    "forecast_end",
    "work_ahead",
]
