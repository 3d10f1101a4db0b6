"""Steps for the daemon's settings."""

import os

import json5
from behave import given, then
from hypothesis import given as given_any
from hypothesis import strategies as st

from features.support.command_line import run_command
from features.support.drawing import bounded
from mustardgap import settings, status_codes
from mustardgap.exceptions import SettingsError

EXAMPLES = 2000 if os.environ.get("MUSTARDGAP_LONG") else 150
BOUNDED = bounded(EXAMPLES)
EXAMPLE = """// An entry host.
{
  host: "entry-1",
  data_center: "kochi-a",
  platform: {address: "127.0.0.1:9000"},  // the stand-in
  callers: {default_timeout_s: 5, max_connections: 500},
  peers: {seeds: ["127.0.0.1:8182"], gossip_s: 0.5},
  requests: {sharing: "least"},
}
"""
TEXTS_BY_NAME = {
    "nothing": "",
    "1000 open brackets": "[" * 1000,
    "20000 open brackets": "[" * 20_000,
    "5 MB of spaces": " " * 5_000_000,
}
ODD_VALUES = ["", "x", -1, 0, 1e308, 2**70, True, None, [], {}, [[]], {"a": 1}, "\x00", "5s"]


@given("settings' example file with comments")
def example_file(context):
    context.file = context.folder / "settings.json"
    context.file.write_text(EXAMPLE)


@given("settings with {key} = {value}")
def file_with(context, key, value):
    example_file(context)
    tree = json5.loads(EXAMPLE)
    *sections, last = key.split(".")
    branch = tree
    for section in sections:
        branch = branch.setdefault(section, {})
    branch[last] = "VALUE"
    context.file.write_text(json5.dumps(tree).replace('"VALUE"', value))


@given("a settings file that holds {text}")
def file_that_holds(context, text):
    context.file = context.folder / "settings.json"
    if text == "a device in its place":
        context.file.symlink_to("/dev/zero")
    elif text == "bytes that aren't UTF-8":
        context.file.write_bytes(b'{"host": "\xff\xfe"}')
    elif text != "no file in its place":
        context.file.write_text(TEXTS_BY_NAME.get(text, text))


@then("settings are loaded and the command line says that they are valid")
def check_loaded(context):
    loaded = settings.load(context.file)
    assert loaded.requests.sharing == "least" and loaded.callers.port == 8080, loaded
    result = run_command("config", "check", context.file)
    assert result.status == 0 and "the settings are valid" in result.stdout, result


@then("settings are refused as MG2002 at {place} with {detail}")
def check_refused(context, place, detail):
    where = str(context.file) if place == "-" else f"{context.file}:{place}"
    _check(context, "MG2002", f"(at {where})", "" if detail == "-" else detail)


@then("settings are refused as {code} at the file")
def check_file_refused(context, code):
    _check(context, code, str(context.file), "")


def _check(context, code, place, detail):
    result = run_command("config", "check", context.file)
    assert result.status == status_codes.SETTINGS_INVALID.exit_status, result
    assert result.stdout == "", result
    assert result.stderr.startswith(f"error: {code} "), result
    assert result.stderr.count("\n") == 1 and "Traceback" not in result.stderr, result
    assert place in result.stderr and detail in result.stderr, result


@then("settings mutated at random are loaded, or refused as MG2000, MG2001 or MG2002 at the file")
def check_mutated(context):
    tree = json5.loads(EXAMPLE)
    sections = [tree, *(value for value in tree.values() if isinstance(value, dict))]
    odd = st.sampled_from(ODD_VALUES) | st.floats() | st.integers() | st.text(max_size=5)
    seen = {"loaded": 0, "refused": 0}

    @BOUNDED
    @given_any(st.data())
    def mutate(data):
        text = EXAMPLE
        if data.draw(st.booleans()):
            section = data.draw(st.sampled_from(sections))
            key = data.draw(st.sampled_from(sorted(section)) | st.text(max_size=6))
            kept = dict(section)
            section[key] = data.draw(odd)
            text = json5.dumps(tree)
            section.clear()
            section.update(kept)
        else:
            start = data.draw(st.integers(0, len(text)))
            end = start + data.draw(st.integers(0, 3))
            text = text[:start] + data.draw(st.text(max_size=3)) + text[end:]
        context.file.write_text(text, encoding="utf-8", errors="surrogatepass")
        try:
            settings.load(context.file)
            seen["loaded"] += 1
        except SettingsError as exc:
            assert exc.code.number in (2000, 2001, 2002), exc
            assert exc.place.startswith(str(context.file)), exc
            assert "\n" not in str(exc), exc
            seen["refused"] += 1

    mutate()
    assert seen["refused"] > EXAMPLES / 4, seen
