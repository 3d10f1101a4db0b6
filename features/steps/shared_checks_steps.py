"""Steps of the feature on checks whose result many share."""

import asyncio

from behave import then, when

from mustardgap.shared_checks import SharedCheck

WAIT_S = 10.0


class _Runs:
    """A check that counts its runs; each returns its number."""

    def __init__(self, *, seconds=0.0, failing=(), endless=()):
        self.count = self.under_way = self.most = 0
        self._seconds = seconds
        self._failing = failing
        self._endless = endless

    async def run(self):
        self.count += 1
        number = self.count
        self.under_way += 1
        self.most = max(self.most, self.under_way)
        await asyncio.sleep(3_600 if number in self._endless else self._seconds)
        self.under_way -= 1
        if number in self._failing:
            raise ValueError("the check failed")
        return number


def _play(scene):
    async def main():
        async with asyncio.timeout(WAIT_S):
            return await scene()

    return asyncio.run(main())


@when("{count:d} ask for a check at {moments:d} moments, and a run takes {seconds:g} s")
def ask_at_moments(context, count, moments, seconds):
    context.runs = _Runs(seconds=seconds)

    async def ask(check):
        begun_before = context.runs.count
        return begun_before, await check.result()

    async def scene():
        check = SharedCheck(run=context.runs.run)
        asking = []
        for _ in range(moments):
            asking += [asyncio.create_task(ask(check)) for _ in range(count // moments)]
            await asyncio.sleep(seconds / 2)
        return await asyncio.gather(*asking)

    context.results = _play(scene)


@then("each has the result of a run that began after it asked")
def check_began_later(context):
    early = [pair for pair in context.results if pair[1] <= pair[0]]
    assert not early, early


@then("there have been at most {count:d} runs, one at a time")
def check_runs(context, count):
    assert context.runs.count <= count and context.runs.most == 1, vars(context.runs)


@when("two ask for a check, and the first is cancelled")
def cancel_first(context):
    async def scene():
        check = SharedCheck(run=_Runs(seconds=0.02).run)
        first, second = (asyncio.create_task(check.result()) for _ in range(2))
        await asyncio.sleep(0.01)
        first.cancel()
        return await second

    context.result = _play(scene)


@then("the second has its result")
def check_second(context):
    assert context.result == 1, context.result


@when("two ask for a check that fails, and a third asks later")
def ask_failing(context):
    async def scene():
        check = SharedCheck(run=_Runs(failing=(1,)).run)
        two = await asyncio.gather(check.result(), check.result(), return_exceptions=True)
        return [*two, await check.result()]

    context.results = _play(scene)


@then("the first two are told of the error, and the third has its result")
def check_failing(context):
    first, second, third = context.results
    assert isinstance(first, ValueError) and isinstance(second, ValueError), context.results
    assert third == 2, context.results


@when("one asks for a check that never ends, and another asks meanwhile")
def ask_endless(context):
    async def scene():
        check = SharedCheck(run=_Runs(endless=(1,)).run)
        first = asyncio.create_task(check.result())
        await asyncio.sleep(0.01)
        result = await check.result()
        first.cancel()
        return result

    context.result = _play(scene)


@then("the other has its result")
def check_other(context):
    assert context.result == 2, context.result
