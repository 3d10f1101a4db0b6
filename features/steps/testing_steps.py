"""Steps for the test runner's own tests."""

import subprocess
import sys

from behave import given, then, when

from tools.processes import ROOT

FEATURES_BY_NAME = {
    "green": "  Scenario: it passes\n    Given all is well\n"
    "  Scenario: it passes too\n    Given all is well\n",
    "red": "  Scenario: it passes\n    Given all is well\n"
    "  Scenario: it fails\n    Given all is lost\n",
    "crash": "  Scenario: it passes\n    Given all is well\n"
    "  Scenario: it crashes\n    Given the process dies\n",
    "hook": "  Scenario: its hook breaks\n    Given all is well\n",
    "empty": "",
    "syntax": "  Scenario: it passes\n    Given all is well\n  Nonsense\n",
    "undefined": "  Scenario: it has no step\n    Given nobody wrote this\n",
}
STEPS = """
import os
from behave import given
@given("all is well")
def step(context): pass
@given("all is lost")
def step(context): assert False
@given("the process dies")
def step(context): os.abort()
"""
ENVIRONMENT = """
def before_scenario(context, scenario):
    if "hook breaks" in scenario.name:
        raise ValueError("broken hook")
"""


@given("a testing folder with the features {names}")
def write_features(context, names):
    folder = context.folder / "features"
    (folder / "steps").mkdir(parents=True)
    (folder / "steps" / "some_steps.py").write_text(STEPS)
    (folder / "environment.py").write_text(ENVIRONMENT)
    for name in names.split(","):
        (folder / f"{name}.feature").write_text(f"Feature: {name}\n{FEATURES_BY_NAME[name]}")


@given("a testing list of known failures {known}")
def write_known(context, known):
    if known != "none":
        lines = known.replace(" / ", " | ").replace(";", "\n")
        (context.folder / "KNOWN-RED.txt").write_text(lines + "\n")


@when("the testing runner runs")
def run(context):
    command = [sys.executable, "-m", "tools.testing", "--root", str(context.folder)]
    context.run = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False
    )


@then("the testing runner's last line is {line} and its exit status {status:d}")
def check_verdict(context, line, status):
    assert context.run.stdout.splitlines()[-1] == line, context.run.stdout + context.run.stderr
    assert context.run.returncode == status, context.run.returncode


@then("the testing runner prints {text}")
def check_printed(context, text):
    assert text in context.run.stdout, context.run.stdout
