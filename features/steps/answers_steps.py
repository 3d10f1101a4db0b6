"""Steps for the answers to requests whose handling is hit by faults."""

import asyncio
import os

from behave import given, then, when

from features.support.answer_cases import (
    draw_cases,
    front_stop_cases,
    run_at_each_point,
    run_limited,
)
from features.support.answer_worlds import track_channels, track_tasks

# Cases that run concurrently; a case mostly waits.
MAX_CONCURRENT_CASES = 40
LONG = os.environ.get("MUSTARDGAP_LONG") == "1"
LONG_FACTOR = 40
# A drawn point may come after the end of the request; one case in so many must be hit at least
# twice.
CASES_PER_MULTI_HIT = 5


def _run_cases(make_runs):
    async def main():
        asyncio.get_running_loop().set_task_factory(track_tasks)
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CASES)
        return await asyncio.gather(*make_runs(semaphore))

    with track_channels():
        return asyncio.run(main())


@given("callers' requests, each to one of two daemons")
def set_requests(context):
    context.requests = [(row["request"], row["situation"]) for row in context.table]


@when("one of these faults occurs at each point where the {side} daemon waits")
def run_table(context, side):
    faults = [row["fault"] for row in context.table]

    def make_runs(semaphore):
        return [
            run_at_each_point(
                request=request, situation=situation, side=side, fault=fault, semaphore=semaphore
            )
            for fault in faults
            for request, situation in context.requests
        ]

    context.outcomes = [outcome for outcomes in _run_cases(make_runs) for outcome in outcomes]


@when("several of all these faults occur at points drawn with seed {seed:d}, in {count:d} cases")
def run_drawn(context, seed, count):
    count *= LONG_FACTOR if LONG else 1
    cases = draw_cases(rows=context.requests, seed=seed, count=count)
    context.outcomes = _run_cases(
        lambda semaphore: [run_limited(semaphore, case) for case in cases]
    )


@when("the receiving daemon's front stops in each of the {turns:d} turns after a request is sent")
def run_front_stops(context, turns):
    cases = front_stop_cases(rows=context.requests, turns=turns)
    context.outcomes = _run_cases(
        lambda semaphore: [run_limited(semaphore, case) for case in cases]
    )


@then("each request gets exactly one correct answer, and nothing is left open")
def check_answers(context):
    wrong = [str(outcome) for outcome in context.outcomes if outcome.problems]
    assert not wrong, f"{len(wrong)} of {len(context.outcomes)} cases\n" + "\n".join(wrong)


@then("such points occurred in the handling of {requests}")
def check_points(context, requests):
    hit_requests = {outcome.case.request for outcome in context.outcomes if outcome.hits}
    assert hit_requests >= set(requests.split(", ")), hit_requests


@then("many requests were hit by more than one fault")
def check_hits(context):
    hit_twice = sum(outcome.hits > 1 for outcome in context.outcomes)
    assert hit_twice * CASES_PER_MULTI_HIT >= len(
        context.outcomes
    ), f"{hit_twice} of {len(context.outcomes)}"


@then("some of the requests were read, and some were not")
def check_read(context):
    assert {outcome.was_read for outcome in context.outcomes} == {True, False}
