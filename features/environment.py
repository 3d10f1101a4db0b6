"""Hooks of behave: each scenario gets a folder and a set of processes of its own."""

import shutil
import tempfile
from pathlib import Path

from tools.processes import Processes


def before_scenario(context, scenario):
    """Make the scenario's folder; its processes are started through ``context.processes``."""
    context.folder = Path(tempfile.mkdtemp(prefix="mustardgap-"))
    context.processes = Processes(folder=context.folder)


def after_scenario(context, scenario):
    """End the scenario's processes; show their output when it failed."""
    context.processes.stop_all()
    if scenario.status.name != "passed":
        for name in context.processes.by_name:
            print(f"--- {name} ---\n{context.processes.output(name)[-4000:]}")
    shutil.rmtree(context.folder, ignore_errors=True)
