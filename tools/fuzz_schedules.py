"""Schedules of faults and operators' actions, drawn by hypothesis from a seed."""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import hypothesis
import msgspec
from hypothesis import HealthCheck, Phase
from hypothesis import strategies as st

from .fuzz_fleet import DAEMONS, EXECUTORS, FIELDS, RACKS, SERVICES, WORKERS

DRAWS = 6
STEPS_PER_S = 1.5


class Step(NamedTuple):
    """One fault or action: when it begins, how long it lasts and whom it concerns.

    ``number`` is what the action needs beside that: a ratio, a delay in seconds or a value.
    """

    at_s: float
    action: str
    on: str
    for_s: float
    number: float = 0.0


class Shape(NamedTuple):
    """What steps of one action look like; they last from ``least_s`` to ``most_s``."""

    targets: Sequence[str]
    least_s: float
    most_s: float
    numbers: Sequence[float] = (0.0,)
    weight: int = 1


_LOG = ("/log/*",)
_CALLS = ("/log/*", "/workers*", "/tasks*", "/hosts*", "/*")
_RATIOS = (0.1, 0.3, 1.0)

SHAPES: dict[str, Shape] = {
    # Daemons.
    "daemon_kill": Shape(DAEMONS, 0.5, 4.0, weight=3),
    "daemon_freeze": Shape(DAEMONS, 3.0, 10.0, weight=3),
    "daemon_stop": Shape(DAEMONS, 0.2, 3.0, weight=3),
    # Executors processes.
    "executors_kill": Shape(EXECUTORS, 0.5, 3.0),
    "executors_kill_after_run": Shape(EXECUTORS, 1.0, 3.0),
    "executors_freeze": Shape(EXECUTORS, 0.5, 5.0),
    # Executors.
    "slow": Shape((*WORKERS, *SERVICES), 1.0, 6.0, (0.1, 0.5, 2.5, 6.0)),
    "failing": Shape(WORKERS, 1.0, 6.0, _RATIOS),
    "refusing": Shape((*WORKERS, *SERVICES), 1.0, 5.0, _RATIOS),
    "late": Shape(WORKERS, 1.0, 5.0, (0.5, 2.5, 5.0)),
    "short": Shape(WORKERS, 1.0, 5.0, (20, 150, 300, 300_000)),
    "wrong_id": Shape(WORKERS, 1.0, 5.0, _RATIOS),
    "doubled": Shape(WORKERS, 1.0, 5.0, _RATIOS),
    "reset_before_reading": Shape(WORKERS, 1.0, 5.0, _RATIOS),
    "reset_after_reading": Shape(WORKERS, 1.0, 5.0, _RATIOS),
    "reset_after_running": Shape(WORKERS, 1.0, 5.0, _RATIOS),
    "silent": Shape((*WORKERS, *SERVICES), 1.0, 4.0, weight=2),
    "leaving": Shape(WORKERS, 2.0, 6.0, weight=2),
    # The platform's calls.
    "calls_down": Shape(_CALLS, 1.0, 9.0, _RATIOS, weight=2),
    "calls_slow": Shape(_CALLS, 1.0, 6.0, (0.3, 1.5, 3.0), weight=2),
    "calls_lost": Shape(_CALLS, 1.0, 8.0, _RATIOS, weight=2),
    "calls_doubled": Shape(_CALLS, 1.0, 8.0, _RATIOS),
    "calls_silent": Shape(_CALLS, 1.0, 7.0),
    "way_silent": Shape(("",), 2.0, 10.0),
    "way_down": Shape(("",), 2.0, 10.0),
    # Not the claims of keys: the platform promises to keep them for as long as keys count.
    "log_expired": Shape(("mustardgap",), 0.1, 0.1, (0.0, 20.0), weight=2),
    "hosts_lag": Shape(("",), 2.0, 8.0, (3.0, 10.0)),
    "host_removed": Shape(DAEMONS, 0.1, 0.1),
    # Workers and racks.
    "paused": Shape((*WORKERS, *RACKS), 0.5, 8.0, weight=2),
    "power_off": Shape((*WORKERS, *RACKS), 1.0, 6.0, weight=3),
    "never_drains": Shape(WORKERS, 2.0, 8.0),
    "never_returns": Shape(WORKERS, 2.0, 8.0),
    "host_leaving": Shape(WORKERS, 2.0, 8.0),
    # Operators.
    "wave": Shape(RACKS, 0.1, 0.1, weight=3),
    "wave_pause": Shape(RACKS, 0.5, 4.0),
    "drain": Shape(WORKERS, 1.0, 8.0, weight=3),
    "race": Shape(tuple(FIELDS), 0.1, 0.1, weight=5),
    "job": Shape(("twice", "once"), 0.1, 0.1, (1.0, 3.0, 6.0), weight=5),
    "job_cancelled": Shape(("twice", "once"), 0.2, 3.0, (4.0, 8.0), weight=2),
}


@st.composite
def steps(draw: Any, seconds: float) -> Step:
    """One step that begins and ends within some seconds."""
    names = [name for name, shape in SHAPES.items() for _ in range(shape.weight)]
    action = draw(st.sampled_from(names))
    shape = SHAPES[action]
    for_s = draw(st.floats(shape.least_s, min(shape.most_s, max(shape.least_s, seconds / 2))))
    return Step(
        at_s=round(draw(st.floats(0.0, max(0.0, seconds - for_s))), 2),
        action=action,
        on=draw(st.sampled_from(shape.targets)),
        for_s=round(for_s, 2),
        number=draw(st.sampled_from(shape.numbers)),
    )


def schedules(seconds: float) -> st.SearchStrategy[list[Step]]:
    """Lists of steps, more of them the longer the run."""
    most = max(3, round(seconds * STEPS_PER_S))
    return st.lists(steps(seconds), min_size=most // 2, max_size=most).map(sorted)


def draw(seed: int, seconds: float) -> list[Step]:
    """The schedule of a seed; hypothesis draws its simplest first, so the last draw is taken."""
    found: list[list[Step]] = []

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=DRAWS,
        database=None,
        deadline=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @hypothesis.given(schedules(seconds))
    def keep(schedule: list[Step]) -> None:
        found.append(schedule)

    keep()
    return found[-1]


def pick(schedule: list[Step], numbers: Iterable[int]) -> list[Step]:
    """The steps of these numbers only."""
    wanted = set(numbers)
    return [step for i, step in enumerate(schedule) if i in wanted]


def lines(schedule: list[Step]) -> list[str]:
    """A line a step, with its number."""
    return [
        f"{i:3} {s.at_s:6.2f} s  {s.action:24} {s.on:8} for {s.for_s:5.2f} s  {s.number:g}"
        for i, s in enumerate(schedule)
    ]


def encode(schedule: list[Step]) -> list[Any]:
    """A schedule as JSON can hold it."""
    return [list(step) for step in schedule]


def decode(value: Any) -> list[Step]:
    """Read a schedule again."""
    return [msgspec.convert(item, Step) for item in value]
