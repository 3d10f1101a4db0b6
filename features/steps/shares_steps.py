"""Steps for the order in which client accounts' jobs get a pool that is full."""

from behave import then, when

from mustardgap.job_states import Job, StoredJob
from mustardgap.placing import sort_for_placement
from mustardgap.workloads import JobSpec, Step
from tools.owner_worlds import QUEUE

LARGE, SMALL = "large", "small"
NOW = 1000.0
CORES = {QUEUE.service: 8.0}
SPEC = JobSpec("p", (Step(4, 1_000, 500, 0, 0.6),))


def _job(account, number, *, begun=False):
    """A job that was accepted some milliseconds before the jobs with lower numbers."""
    accepted_at = NOW - 0.1 - number / 10_000
    stored = StoredJob(QUEUE.name, QUEUE.service, accepted_at, SPEC, account)
    job = Job(job_id=f"{account}-{number}", stored=stored)
    job.has_started = begun
    return job


def _sort(jobs, weights):
    return sort_for_placement(
        jobs, lambda job: QUEUE, CORES, NOW, weight_of=lambda account: weights.get(account, 1.0)
    )


@when("a pool is flooded by {count:d} jobs of a large account, and a small account sends one")
def flood(context, count):
    jobs = [_job(LARGE, number) for number in range(count)] + [_job(SMALL, count)]
    context.order = _sort(jobs, {})


@then("the small account's job is started among the first {place:d} of those that wait")
def among_first(context, place):
    assert SMALL in [job.account for job in context.order[:place]]


@when("two accounts of weights {weight:g} and 1 flood a pool with {count:d} equal jobs each")
def flood_both(context, weight, count):
    jobs = [_job(account, number) for account in (LARGE, SMALL) for number in range(count)]
    context.order = _sort(jobs, {LARGE: weight})


@then("of the first {count:d} jobs started {starts:d} are those of the first account")
def starts_of_first(context, count, starts):
    assert [job.account for job in context.order[:count]].count(LARGE) == starts


@when("a large account has jobs at work in a full pool, and both accounts send one")
def large_at_work(context):
    jobs = [_job(LARGE, number, begun=True) for number in range(10, 30)]
    jobs += [_job(LARGE, number) for number in range(1, 10)] + [_job(SMALL, 9)]
    context.order = [job for job in _sort(jobs, {}) if not job.has_started]


@then("the small account's job is started first")
def small_first(context):
    assert context.order[0].account == SMALL, [job.job_id for job in context.order[:3]]


@when("one account sends {count:d} jobs into a full pool")
def one_account(context, count):
    context.order = _sort([_job("", number) for number in range(count)], {})


@then("its jobs are started from the newest to the oldest")
def newest_first(context):
    accepted = [job.accepted_at for job in context.order]
    assert accepted == sorted(accepted, reverse=True), accepted
