"""Steps of experiments that leave mechanisms out."""

import tempfile
from pathlib import Path

from behave import given, then, when

from mustardgap import policies
from mustardgap.exceptions import SettingsError
from mustardgap.policies import WHOLE, Mechanism, Policy

FILES = {
    "leaves out lending and foresight": '{ // two\n "without": ["lending", "foresight"]}',
    "says nothing": "{}",
    "leaves out what doesn't exist": '{"without": ["lendin"]}',
    "has a key that doesn't exist": '{"witout": []}',
    "isn't JSON": "without lending",
}
READ = {
    "without both": Policy(without=(Mechanism.LENDING, Mechanism.FORESIGHT)),
    "without none": WHOLE,
}


@when("a file of experiments {has}")
def read_file(context, has):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "policy.json"
        if has in FILES:
            path.write_text(FILES[has], encoding="utf-8")
        try:
            context.read = policies.load("" if has == "isn't named at all" else path)
        except SettingsError as exc:
            context.read = exc


@then("reading it is {outcome}")
def check_read(context, outcome):
    if outcome in READ:
        assert context.read == READ[outcome], context.read
        return
    code, text = outcome.split(": ")
    assert isinstance(context.read, SettingsError), context.read
    assert str(context.read.code) == code and text in str(context.read), context.read


@given("an experiment without {mechanism}")
def experiment(context, mechanism):
    left_out = () if mechanism == "nothing" else (Mechanism(mechanism),)
    context.policy = Policy(without=left_out)
