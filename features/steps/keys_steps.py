"""Steps for Idempotency-Keys, against the stand-in platform."""

import asyncio
import os
import signal
import time
from collections import Counter

import msgspec
from behave import given, then, when
from tornado.httpserver import HTTPServer

from features.support.entries import EntryHost
from features.support.rigs import Rig
from mustardgap.keys import MAX_CLOCK_SKEW_S
from standins import platforms
from standins.faults import Fault
from standins.settings import FleetSpec
from standins.settings import PlatformSettings as StandinSettings
from tools.processes import free_ports, wait_http

LONG = os.environ.get("MUSTARDGAP_LONG") == "1"
STREAM = "/log/mustardgap-claims"
KEY = {"Idempotency-Key": '"order-1"'}
FAULTS = {
    "successful": [],
    "lost once": [{"fault": "lost", "count": 1}],
    "doubled": [{"fault": "doubled"}],
    "slow 0.3": [{"fault": "slow", "seconds": 0.3}],
    "slow 1.5": [{"fault": "slow", "seconds": 1.5}],
    "down": [{"fault": "down"}],
    "silent": [{"fault": "silent"}],
    "lost, unread": [{"fault": "lost"}, {"fault": "silent", "method": "GET"}],
    "doubled, down": [{"fault": "doubled"}, {"fault": "down"}],
    "down, unread": [{"fault": "down"}, {"fault": "down", "method": "GET"}],
}
OUTCOMES = {
    "a small answer": {},
    "an answer too large to keep": {"query": "size=9000"},
    "an answer passed on": {"query": "size=500000"},
    "an error of the executor": {"fault": "failing"},
    "a lost answer": {"fault": "reset_after_running"},
    "a refusal by the executors": {"fault": "refusing"},
    "a caller that hung up": {"query": "run_s=0.5"},
    "an end that the log refused": {"query": "run_s=0.4"},
    "another body": {},
    "a forgotten key": {},
}


class KeyRig(Rig):
    """Two entry hosts over the same executors and a platform, in this process."""

    def __init__(self, folder):
        self.platform = platforms.Platform(
            settings=StandinSettings(fleet=FleetSpec(data_centers=[])), place=folder
        )
        (self.platform_port,) = free_ports(1)
        self.platform_address = f"127.0.0.1:{self.platform_port}"
        super().__init__(platform=self.platform_address)

    async def __aenter__(self):
        self.server = HTTPServer(platforms.application(self.platform, 0))
        self.server.listen(self.platform_port, "127.0.0.1")
        await super().__aenter__()
        self.rows = [(n, f"127.0.0.1:{e.port}", "r") for n, e in self.upstreams.by_name.items()]
        self.entries = [self.entry, await self.start_entry_host("e2")]
        await self.wait_until_ready()
        return self

    async def start_entry_host(self, name):
        return await EntryHost(name, self.rows, platform=self.platform_address).__aenter__()

    async def wait_until_ready(self):
        async with asyncio.timeout(10):
            while not all(entry.keys.is_usable() for entry in self.entries):
                await asyncio.sleep(0.02)

    async def __aexit__(self, *args):
        for entry in self.entries[1:]:
            await entry.__aexit__()
        await super().__aexit__(*args)
        self.server.stop()

    def set_log_faults(self, name):
        self.platform.faults.clear()
        for fields in FAULTS[name]:
            self.platform.faults.add(Fault(**{"on": STREAM, "method": "POST", **fields}))

    async def send(self, entry=0, *, query="", timeout_s=3.0):
        """Send the request of the key, always the same one."""
        self.entry, self.count = self.entries[entry], 0
        answer = await self.ask("keyed", query=query, timeout_s=timeout_s, headers=KEY)
        if answer.code == 1000:
            answer.check(self.runs(answer.path), False)
        return answer


@given("keys with two entry hosts")
def two_entries(context):
    context.runner = asyncio.Runner()
    context.key_rig = context.runner.run(KeyRig(context.folder).__aenter__())
    context.add_cleanup(context.runner.close)
    context.add_cleanup(lambda: context.runner.run(context.key_rig.__aexit__()))
    context.query = ""


@when("keys' log has appends that are {fault}")
def fault_log(context, fault):
    context.key_rig.set_log_faults(fault)


@when("keys' log works again")
def restore_log(context):
    context.key_rig.set_log_faults("successful")


@when("keys are sent {count:d} times at once through both entry hosts")
def send_at_once(context, count):
    async def main():
        rig = context.key_rig
        sends = [asyncio.create_task(rig.send(number % 2)) for number in range(count)]
        context.codes = [(await task).code for task in sends]

    context.runner.run(main())
    assert set(context.codes) <= {1000, 1001, 1108}, context.codes
    assert context.codes.count(1000) <= 1, context.codes


@when("keys are sent once")
def send_once(context):
    context.answer = context.runner.run(context.key_rig.send())


@then("keys have run once")
def check_ran_once(context):
    runs = context.key_rig.runs()
    assert len(runs) == 1, runs


@then("keys have not run")
def check_not_run(context):
    assert not context.key_rig.runs()


@then("keys are refused with {code:d} and have not run")
def check_refused(context, code):
    assert context.answer.code == code, context.answer.code
    check_not_run(context)


@then("keys sent again run once")
def ask_until_run(context):
    async def main():
        async with asyncio.timeout(15):
            while (answer := await context.key_rig.send(1)).code != 1000:
                assert answer.code in (1107, 1108), answer.code
                await asyncio.sleep(0.1)

    context.runner.run(main())
    check_ran_once(context)


@then("keys sent again through either host are replayed")
def check_replayed(context):
    check_sent_again(context, 1001)


@when("keys are sent until one is refused because of it")
def refuse_one(context):
    context.answer = context.runner.run(context.key_rig.send())
    context.runner.run(asyncio.sleep(1.2))


@then("keys sent then are refused without a wait")
def check_refused_at_once(context):
    async def main():
        rig, wait_times_s = context.key_rig, []
        for number in range(10):
            started = time.monotonic()
            answer = await rig.ask("keyed", headers={"Idempotency-Key": f"k{number}"})
            wait_times_s.append(time.monotonic() - started)
            assert answer.code == 1107, answer.code
        # One request per quarter of a second tests whether the log works again.
        assert sum(wait < 0.2 for wait in wait_times_s) >= 5, wait_times_s

    context.runner.run(main())
    check_not_run(context)


@when("keys are sent with {outcome}")
def send_with(context, outcome):
    rig, spec = context.key_rig, OUTCOMES[outcome]
    context.query = spec.get("query", "")

    async def main():
        if "fault" in spec:
            rig.fault(spec["fault"])
        if outcome == "a caller that hung up":
            _, writer = await asyncio.open_connection("127.0.0.1", rig.entries[0].callers.port)
            head = f"POST /quotes/1?{context.query} HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
            writer.write(f'{head}Idempotency-Key: {KEY["Idempotency-Key"]}\r\n\r\n1'.encode())
            await asyncio.sleep(0.3)
            writer.close()
            await asyncio.sleep(0.5)
        else:
            sending = asyncio.create_task(rig.send(query=context.query))
            if outcome == "an end that the log refused":
                await asyncio.sleep(0.2)
                rig.set_log_faults("down")
            await sending
            await asyncio.sleep(0.2)
            rig.set_log_faults("successful")
        rig.upstreams.faults.clear()
        if outcome == "a forgotten key":
            await forget(rig)
        if outcome in ("another body", "a forgotten key"):
            context.query = "other=1"

    context.runner.run(main())


async def forget(key_rig):
    """Expire all keys, which takes effect when the next record is read."""
    ledgers = [entry.keys._log.ledger for entry in key_rig.entries]
    for ledger in ledgers:
        ledger.ttl_s = 0.0
    await key_rig.ask("keyed", headers={"Idempotency-Key": "another"})
    await asyncio.sleep(0.2)
    for ledger in ledgers:
        ledger.ttl_s = 3600.0


@when("keys' claimant answers while the log is down, and the claim's time passes")
def end_while_down(context):
    async def main():
        rig = context.key_rig
        sending = asyncio.create_task(rig.send(query="run_s=0.4", timeout_s=3.0))
        ledger = rig.entries[1].keys._log.ledger
        while not ledger.by_key:
            await asyncio.sleep(0.005)
        rig.set_log_faults("down, unread")
        assert (await sending).code == 1000
        entries = ledger.by_key.values()
        async with asyncio.timeout(20):
            while not entries or rig.entries[1].keys.is_usable():
                await asyncio.sleep(0.05)
            while any(entry.until + MAX_CLOCK_SKEW_S > time.time() for entry in entries):
                await asyncio.sleep(0.05)

    context.runner.run(main())


@then("keys sent through the other host are refused with {code:d}")
def check_other_host_refuses(context, code):
    answer = context.runner.run(context.key_rig.send(1, query="run_s=0.4"))
    assert answer.code == code, answer.code


@then("keys are replayed once the log works again")
def check_replayed_later(context):
    async def main():
        context.key_rig.set_log_faults("successful")
        async with asyncio.timeout(15):
            while (answer := await context.key_rig.send(1, query="run_s=0.4")).code in (1107, 1108):
                await asyncio.sleep(0.05)
        assert answer.code == 1001, answer.code

    context.runner.run(main())
    check_ran_once(context)


@when("keys' entry hosts are replaced")
def replace(context):
    async def main():
        rig = context.key_rig
        for entry in rig.entries:
            await entry.keys.flush(timeout_s=5.0)
            await entry.__aexit__()
        rig.entries = [await rig.start_entry_host("e3"), await rig.start_entry_host("e4")]
        await rig.wait_until_ready()

    context.runner.run(main())


@then("keys sent again through either host are answered {code:d}")
def check_sent_again(context, code):
    async def main():
        for entry in (0, 1):
            async with asyncio.timeout(10):
                answer = await context.key_rig.send(entry, query=context.query)
                while answer.code == 1108:
                    await asyncio.sleep(0.05)
                    answer = await context.key_rig.send(entry, query=context.query)
            expected = {code, 1001} if code == 1000 else {code}
            assert answer.code in expected, answer.code

    context.runner.run(main())
    counts = Counter(run.path for run in context.key_rig.runs())
    assert max(counts.values()) == 1, counts


@given("keys with two entry hosts, the first in a process of its own")
def entry_process(context):
    two_entries(context)
    rig = context.key_rig
    (port,) = free_ports(1)
    options = {"name": "e0", "executors": rig.rows, "platform": rig.platform_address}
    options["callers"] = {"port": port}
    text = msgspec.json.encode(options).decode()
    context.processes.start("e0", "features.support.entries", text)
    context.port = port

    async def main():
        await asyncio.to_thread(wait_http, f"http://127.0.0.1:{port}/-/ready")

    context.runner.run(main())


async def _send_raw(context, query, timeout_s):
    """Send the request of the key to the process, and don't read the answer."""
    _, writer = await asyncio.open_connection("127.0.0.1", context.port)
    head = f"POST /quotes/1?{query} HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
    key = f'X-Request-Timeout: {timeout_s}\r\nIdempotency-Key: {KEY["Idempotency-Key"]}\r\n'
    writer.write((head + key + "\r\n1").encode())
    await writer.drain()
    return writer


@when("keys' claimant is {failure} while its request runs")
def lose_claimant(context, failure):
    rig = context.key_rig

    async def main():
        context.writer = await _send_raw(context, "run_s=1", 2.0)
        async with asyncio.timeout(10):
            while not rig.upstreams.by_name["x1"].show()["running"]:
                await asyncio.sleep(0.01)
        number = signal.SIGKILL if failure == "killed" else signal.SIGSTOP
        context.processes.signal("e0", number)

    context.query = "run_s=1"
    context.runner.run(main())


@then("keys sent through the other host are in use, then unknown")
def check_in_use_then_unknown(context):
    async def main():
        seen = []
        async with asyncio.timeout(15):
            while not seen or seen[-1] == 1108:
                seen.append((await context.key_rig.send(1, query=context.query)).code)
                await asyncio.sleep(0.1)
        context.seen = seen

    context.runner.run(main())
    assert context.seen[0] == 1108 and context.seen[-1] == 1204, context.seen


@when("keys' claimant is frozen between its claim and its request")
def freeze_claimant(context):
    rig = context.key_rig

    async def main():
        # The append takes effect after 0.3 s. By then the claimant is stopped, for longer than the
        # request's timeout.
        rig.platform.faults.add(Fault(fault="slow", on=STREAM, method="POST", seconds=0.3))
        context.writer = await _send_raw(context, "", 1.0)
        await asyncio.sleep(0.15)
        context.processes.signal("e0", signal.SIGSTOP)
        await asyncio.sleep(1.5)
        assert rig.platform.logs.by_name["mustardgap-claims"].end == 1
        rig.platform.faults.clear()
        context.processes.signal("e0", signal.SIGCONT)
        await asyncio.sleep(0.5)

    context.runner.run(main())
