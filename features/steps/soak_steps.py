"""Steps of the short soak in CI."""

import asyncio

from behave import then, when

from tools.soak import play


@when("a soak is played for {seconds:g} s with seed {seed:d}")
def soak(context, seconds, seed):
    folder = context.folder / "soak"
    folder.mkdir()
    context.outcome = asyncio.run(play(seed, seconds=seconds, folder=folder))


@then("the soak broke no promise")
def nothing_broken(context):
    assert not context.outcome.problems, "\n".join(context.outcome.problems)


@then("the soak had jobs accepted and troubles brought")
def was_busy(context):
    assert context.outcome.accepted and context.outcome.troubles, context.outcome
