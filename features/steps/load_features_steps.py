"""Steps of the switches of decisions for hard load."""

import tempfile
from pathlib import Path

from behave import then, when

from mustardgap import load_features
from mustardgap.exceptions import SettingsError
from mustardgap.load_features import Feature, LoadFeatures

FILES = {
    "switches admission off": '{ // calls are never refused for load\n "admission": "off"}',
    "leaves admission to the platform": '{"admission": "auto"}',
    "switches sharing on": '{"room_sharing": "on"}',
    "switches stragglers on": '{"stragglers": "on"}',
    "names a feature wrongly": '{"admision": "on"}',
    "gives a switch another value": '{"racks": "maybe"}',
    "isn't JSON": "admission off",
}


@when("the switches are read from a file that {has}")
def read_switches(context, has):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "features.json"
        if has in FILES:
            path.write_text(FILES[has], encoding="utf-8")
        try:
            context.switches = load_features.load("" if has == "isn't named at all" else path)
        except SettingsError as exc:
            context.switches = exc


@when("the platform is one {with_what}")
def create_features(context, with_what):
    expects_overload = with_what == "with overload rules"
    context.load_features = LoadFeatures(
        settings=context.switches, expects_overload=expects_overload
    )
    if with_what == "with stated starts":
        context.load_features.note_starts_stated()


@then("the feature {feature} is {state}")
def check_feature(context, feature, state):
    assert context.load_features.has(Feature(feature)) == (state == "on")


@then("reading the switches is refused with {code}")
def check_refusal(context, code):
    assert isinstance(context.switches, SettingsError), context.switches
    assert str(context.switches.code) == code, context.switches
