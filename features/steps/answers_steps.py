"""Steps of the one answer to each request, whatever happens at any point of its way."""

import asyncio
import os

from behave import given, then, when

from features.support.answer_cases import draw_cases, play_each_point, play_in, stopping_cases
from features.support.answer_worlds import channels_kept, keep_tasks

# Worlds played at once; a world mostly waits.
AT_ONCE = 40
LONG = os.environ.get("MUSTARDGAP_LONG") == "1"
LONG_FACTOR = 40
# Drawn points may lie behind the request's end; one case in so many has at least two that don't.
MANY = 5


def _play(play_all):
    async def main():
        asyncio.get_running_loop().set_task_factory(keep_tasks)
        places = asyncio.Semaphore(AT_ONCE)
        return await asyncio.gather(*play_all(places))

    with channels_kept():
        return asyncio.run(main())


@given("callers' requests, each to a daemon of two")
def take_requests(context):
    context.requests = [(row["request"], row["situation"]) for row in context.table]


@when("at each point where the {side} daemon waits, one of these comes")
def play_table(context, side):
    troubles = [row["trouble"] for row in context.table]

    def play_all(places):
        return [
            play_each_point(
                request=request, situation=situation, side=side, trouble=trouble, places=places
            )
            for trouble in troubles
            for request, situation in context.requests
        ]

    context.played = [outcome for played in _play(play_all) for outcome in played]


@when("several of all these come at points drawn with seed {seed:d}, in {count:d} cases")
def play_drawn(context, seed, count):
    count *= LONG_FACTOR if LONG else 1
    cases = draw_cases(rows=context.requests, seed=seed, count=count)
    context.played = _play(lambda places: [play_in(places, case) for case in cases])


@when("the asked daemon's front stops in each of the {turns:d} turns after a request's sending")
def play_stopping(context, turns):
    cases = stopping_cases(rows=context.requests, turns=turns)
    context.played = _play(lambda places: [play_in(places, case) for case in cases])


@then("each request gets its one true answer, and nothing is left open")
def check_answers(context):
    wrong = [str(outcome) for outcome in context.played if outcome.problems]
    assert not wrong, f"{len(wrong)} of {len(context.played)} cases\n" + "\n".join(wrong)


@then("there were such points in the handling of {requests}")
def check_points(context, requests):
    troubled = {outcome.case.request for outcome in context.played if outcome.hits}
    assert troubled >= set(requests.split(", ")), troubled


@then("many requests were hit more than once")
def check_hits(context):
    often = sum(outcome.hits > 1 for outcome in context.played)
    assert often * MANY >= len(context.played), f"{often} of {len(context.played)}"


@then("some of the requests were read, and some were not")
def check_read(context):
    assert {outcome.was_read for outcome in context.played} == {True, False}
