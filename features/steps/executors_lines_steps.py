"""Steps for the log lines about executors' changes of state."""

import logging

from absl import logging as absl_logging
from behave import then, when

from mustardgap.healths import HealthSign
from mustardgap.outliers import Outliers, TrackedExecutor
from mustardgap.settings import RequestsSettings
from mustardgap.timelines import Timeline
from tools.actor_platforms import HandClock

NAMES = [f"x{n}" for n in range(6)]


class Lines(logging.Handler):
    """Collects the logged lines."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


def run_states(clock, settings, timeline):
    """Start six executors slowly, then eject one and let it return."""
    outliers = Outliers(
        settings=settings,
        clock=clock,
        timeline=timeline,
        floor=lambda service: 1,
        on_change=lambda service: None,
    )

    def pass_time(seconds):
        clock.now += seconds
        for name in NAMES:
            outliers.weight(name)

    for name in NAMES:
        tracked = TrackedExecutor(executor=name, service="quotes", worker=f"w-{name}", rack=name)
        outliers.add(tracked, slowly=True)
    pass_time(settings.slow_start_s)
    for _ in range(settings.eject_after):
        outliers.note_try("x1", HealthSign(True, hard=True), 0.1)
    pass_time(settings.eject_s * 2)
    outliers.allow_request("x1", idempotent=True)
    outliers.note_try("x1", HealthSign(False), 0.1)
    pass_time(settings.slow_start_s)


@when("executors start slowly, and one of them is ejected and returns")
def step_states(context):
    clock = HandClock()
    context.timeline, lines = Timeline(member="e", clock=clock), Lines()
    logger, verbosity = absl_logging.get_absl_logger(), absl_logging.get_verbosity()
    absl_logging.set_verbosity(absl_logging.INFO)
    logger.addHandler(lines)
    try:
        run_states(clock, RequestsSettings(), context.timeline)
    finally:
        logger.removeHandler(lines)
        absl_logging.set_verbosity(verbosity)
    context.lines = lines.lines


@then("executors wrote one line for the ejection and one for the return, and all to the timeline")
def step_lines(context):
    kinds = [e.kind.removeprefix("executor.") for e in context.timeline.events(executor="x1")]
    assert kinds == ["returning", "well", "ejected", "probing", "returning", "well"], kinds
    assert [line.split(":")[0] for line in context.lines] == [
        "executor x1 is ejected",
        "executor x1 is returning",
    ], context.lines
