"""Steps for metrics."""

from collections import Counter
from unittest import mock

from behave import then, when
from hypothesis import given as drawn
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from mustardgap import load_metrics, metrics, status_codes
from mustardgap.job_replies import JobReply
from mustardgap.return_tracking import ReturnTracker

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


class _Counted:
    """Replaces the counters by account with empty ones, as other scenarios count in them too."""

    def __init__(self):
        self.submitted = metrics.Tally("submitted")
        self.refused = metrics.Tally("refused")

    def count(self, *submissions):
        """Count submissions, each given as an account and the reply to it."""
        with (
            mock.patch.object(metrics, "submitted_jobs", self.submitted),
            mock.patch.object(metrics, "refused_jobs", self.refused),
            mock.patch.object(load_metrics, "_accounts", metrics.BoundedLabels()),
        ):
            for account, reply in submissions:
                load_metrics.count_submission(account=account, reply=reply)


@when("{count:d} accounts submit 2 jobs each")
def submit_by_accounts(context, count):
    context.counted = _Counted()
    accepted = JobReply(status_codes.JOB_ACCEPTED)
    context.counted.count(*((f"a{n}", accepted) for n in range(count) for _ in range(2)))


@then("{named:d} accounts are counted by name, and {other:d} jobs as other")
def check_named(context, named, other):
    found = {dict(key)["account"]: n for key, n in read_values(context.counted.submitted).items()}
    assert found.pop("other", 0) == other, found
    assert found == {f"a{n}": 2 for n in range(named)}, found


@when("a job of account joiners is answered with {reply}")
def answer_job(context, reply):
    [code] = [code for code in status_codes.by_number.values() if code.name == reply]
    context.counted = _Counted()
    context.counted.count(("joiners", JobReply(code)))


@then("the refusals by cause have {cause}")
def check_cause(context, cause):
    found = [dict(key) for key in read_values(context.counted.refused)]
    expected = [] if cause == "nothing" else [{"cause": cause, "account": "joiners"}]
    assert found == expected, found


# The submissions after a refusal at 0 s: when, and whether they are refused again.
BEHAVIOURS = {
    "come back after 2.5 s": [("j1", 2.5, False)],
    "come back after 0.1 s": [("j1", 0.1, False)],
    "come back after 30 s": [("j1", 30.0, False)],
    "come back under another id": [("j2", 2.0, False)],
    "come back twice": [("j1", 2.0, False), ("j1", 3.0, False)],
    "get refused again and come back": [("j1", 2.0, True), ("j1", 3.0, False)],
}


@when("a caller who was told to come back after 2 s does {behaviour}")
def come_back(context, behaviour):
    tracker = ReturnTracker()
    tracker.note_refused("j1", 2.0, 0.0)
    context.returns = []
    for job_id, at, refused in BEHAVIOURS[behaviour]:
        context.returns.append(tracker.note_submitted(job_id, at))
        if refused:
            tracker.note_refused(job_id, 2.0, at)


@then("its return is measured as {outcome}")
def check_return(context, outcome):
    found = [back for back in context.returns if back is not None]
    if outcome == "nothing":
        assert not found, found
        return
    assert found[-1].actual_s == float(outcome.removesuffix(" s")), found
    assert found[-1].promised_s == 2.0, found


@when("{count:d} callers are refused within a second, and one more 20 s later")
def refuse_flood(context, count):
    tracker = ReturnTracker()
    context.sizes = []
    for number in range(count):
        tracker.note_refused(f"j{number}", 2.0, number / count)
        context.sizes.append(len(tracker))
    tracker.note_refused("last", 2.0, 21.0)
    context.sizes.append(len(tracker))


@then("at most {most:d} refusals were remembered, and {last:d} at the end")
def check_forgotten(context, most, last):
    assert max(context.sizes) == most, max(context.sizes)
    assert context.sizes[-1] == last, context.sizes[-1]


@when(
    "the fleet's owner counts {had:d} of {wanted:d} machines of a pool, then {later:d} of {more:d}"
)
def count_machines(context, had, wanted, later, more):
    context.now = 100.0
    context.machines = metrics.LevelTally("machines", now=lambda: context.now)
    with mock.patch.object(metrics, "pool_machines", context.machines):
        load_metrics.set_machines(pool="cutting", wanted=wanted, had=had)
        load_metrics.set_machines(pool="cutting", wanted=more, had=later)


@then("metrics show {had:d} machines had and {wanted:d} wanted, and none {later:d} s later")
def check_machines(context, had, wanted, later):
    found = {dict(key)["kind"]: value for key, value in read_values(context.machines).items()}
    assert found == {"had": had, "wanted": wanted}, found
    context.now += later
    assert not read_values(context.machines)
