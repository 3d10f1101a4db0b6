"""Steps for metrics."""

from collections import Counter

from behave import then, when
from hypothesis import given as drawn
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from mustardgap import metrics

BOUNDED = hypothesis_settings(max_examples=100, derandomize=True, database=None, deadline=None)
NAMES = st.sampled_from(["service", "code", "result"])
ATTRIBUTES = st.dictionaries(NAMES, st.text(max_size=2) | st.integers(0, 3), max_size=3)


def read_values(tally):
    """Return what a scrape reads, by attributes."""
    return {frozenset(o.attributes.items()): o.value for o in tally.read(None)}


@then("metrics show the sums of any amounts added under any attributes")
def check_sums(context):
    @BOUNDED
    @drawn(st.lists(st.tuples(st.integers(-5, 5), ATTRIBUTES), max_size=30))
    def check(added):
        tally, naive = metrics.Tally("test"), Counter()
        for amount, attributes in added:
            tally.add(amount, attributes)
            naive[frozenset(attributes.items())] += amount
        assert read_values(tally) == dict(naive)

    check()


@when("metrics get {count:d} different attributes")
def add_attributes(context, count):
    context.tally = metrics.Tally("test")
    for number in range(count):
        context.tally.add(1, {"service": f"s{number}"})


@then("metrics hold {series:d} series, and their total is {total:d}")
def check_bounded(context, series, total):
    found = read_values(context.tally)
    assert len(found) == series and sum(found.values()) == total, len(found)
