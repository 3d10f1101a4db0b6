"""Steps for drawn interleavings of claims, on a log whose append outcomes are drawn."""

import asyncio
import contextlib
import os
import time
from collections import Counter
from unittest import mock

import msgspec
from behave import then, when
from hypothesis import given as drawn
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from features.support.drawing import bounded
from mustardgap import claim_logs, status_codes
from mustardgap.claims import Ledger
from mustardgap.exceptions import AnswerLost, PlatformError
from mustardgap.keys import Claim, Keys
from mustardgap.models import LogRecord, Page
from mustardgap.outcomes import Answered, NotRun, Unknown
from mustardgap.settings import Settings
from mustardgap.upstreams import Request

LONG = os.environ.get("MUSTARDGAP_LONG") == "1"


class DrawnLog:
    """A log with drawn append outcomes; delayed records are stored after the next append."""

    def __init__(self, append_outcomes):
        self.append_outcomes = append_outcomes
        self.records = []
        self.delayed = []
        self.appended = asyncio.Event()

    async def append(self, stream, values):
        append_outcome = self.append_outcomes.pop() if self.append_outcomes else "successful"
        await asyncio.sleep(0)
        if append_outcome == "refused":
            raise PlatformError(detail="drawn")
        if append_outcome in ("delayed", "stuck"):
            self.delayed += values
            # A stuck append is stored only after its request has been refused.
            await asyncio.sleep(0.03 if append_outcome == "stuck" else 0)
            raise AnswerLost(detail="drawn")
        for value in values * (2 if append_outcome == "doubled" else 1):
            self._append_record(value)
        while self.delayed:
            self._append_record(self.delayed.pop())
        if append_outcome == "lost":
            raise AnswerLost(detail="drawn")
        return len(self.records) - len(values)

    def _append_record(self, value):
        self.records.append(LogRecord(len(self.records), time.time(), value))
        self.appended.set()
        self.appended = asyncio.Event()

    def claims_held(self):
        """Return the ids of the claims that hold a key, as folded from the start of the log."""
        while self.delayed:
            self._append_record(self.delayed.pop())
        ledger = Ledger(ttl_s=3600.0)
        for record in self.records:
            ledger.fold(record)
        return {entry.id for entry in ledger.by_key.values()}

    async def read(self, stream, start, *, limit=500, wait_s=0.0):
        if start >= len(self.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.appended.wait(), wait_s)
        records = self.records[start : start + limit]
        return Page(records, start + len(records), 0, len(self.records))


@when("keys' claims interleave as drawn")
def interleave(context):
    runner, context.results = asyncio.Runner(), Counter()
    requests = {"claim_timeout_s": 0.02, "claim_appends_per_s": 1_000_000, "key_ttl_s": 3600.0}
    settings = msgspec.convert(
        {"host": "e", "data_center": "d", "platform": {"address": "127.0.0.1:1"}}, Settings
    )
    request_settings = msgspec.convert(requests, type(settings.requests))
    settings = msgspec.structs.replace(settings, requests=request_settings)
    append_outcomes = st.lists(
        st.sampled_from(["successful", "lost", "delayed", "stuck", "doubled", "refused"]),
        max_size=12,
    )
    steps = st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from(["k1", "k2"]),
            st.sampled_from(["answered", "not run", "unknown", "killed"]),
            st.integers(0, 4),
        ),
        min_size=2,
        max_size=10,
    )

    async def run_example(drawn_outcomes, drawn_steps):
        log = DrawnLog(list(drawn_outcomes))
        hosts = [Keys(settings=settings, platform=log, member=f"e{i}") for i in range(3)]
        tasks = [asyncio.create_task(host.run()) for host in hosts]
        executed, won_ids = Counter(), set()

        async def send(index, key, outcome, yields):
            for _ in range(yields):
                await asyncio.sleep(0)
            headers = HTTPHeaders({"Idempotency-Key": key})
            request = Request("r", "POST", "/quotes", headers)
            deadline = time.monotonic() + 5
            result = await hosts[index].claim("quotes", request, deadline=deadline)
            if not isinstance(result, Claim):
                context.results[result.code.number] += 1
                return
            context.results["claimed"] += 1
            won_ids.add(result.id)
            if outcome != "not run":
                executed[key] += 1
            await asyncio.sleep(0)
            if outcome == "answered":
                hosts[index].finish(result, Answered(status=200, headers=[], body=b""))
            elif outcome == "not run":
                hosts[index].finish(result, NotRun(code=status_codes.UNKNOWN_RESET))
            elif outcome == "unknown":
                hosts[index].finish(result, Unknown(code=status_codes.UNKNOWN_RESET))
            else:
                tasks[index].cancel()

        await asyncio.sleep(0.001)
        await asyncio.gather(*(send(*step) for step in drawn_steps))
        await asyncio.gather(*(send(i, k, o, 0) for i, k, o, _ in drawn_steps[:3]))
        await asyncio.gather(*(host.flush(timeout_s=0.1) for host in hosts))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if "killed" not in [outcome for _, _, outcome, _ in drawn_steps]:
            assert log.claims_held() <= won_ids, (drawn_outcomes, drawn_steps)
        assert max(executed.values(), default=0) <= 1, (executed, drawn_outcomes, drawn_steps)

    @bounded(5000 if LONG else 200)
    @drawn(append_outcomes, steps)
    def example(drawn_outcomes, drawn_steps):
        runner.run(run_example(drawn_outcomes, drawn_steps))

    delays = {"RETRY_S": 0.002, "END_LINGER_S": 0.001}
    with mock.patch.multiple(claim_logs, **delays), runner:
        example()


@then("keys were executed at most once, and some were refused and some replayed")
def check_interleaved(context):
    results = context.results
    assert results["claimed"] and results[1001] and results[1107] and results[1108], results
