"""An open-loop load generator: Poisson arrivals over several entry hosts, every outcome kept.

A plan says what is sent. Arrivals don't wait for answers, and latencies count from the moment a
request was due, so that a slow system can't hide its slowness by slowing the load down.
"""

import asyncio
import random
import signal
import time
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Annotated

import click
import msgspec
from msgspec import Meta

from .balancers import Balancer, Exchange, Unreached
from .told import Told, judge

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
GRACE_S = 3.0
MAX_RETRY_AFTER_S = 3.0
MAX_SECONDS = 900.0
Positive = Annotated[float, Meta(gt=0, le=MAX_SECONDS)]
Size = Annotated[int, Meta(ge=0, le=16_000_000)]
Share = Annotated[float, Meta(ge=0, le=1)]


class Stage(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Some seconds at one rate of requests a second."""

    rate: Annotated[float, Meta(ge=0, le=5000)]
    seconds: Positive


class Kind(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One kind of request in the mix.

    ``idempotent`` is None for what the method says by itself. ``keyed`` sends an Idempotency-Key;
    ``twice`` is the share sent again at the same time through another entry host, and
    ``ask_again`` how often a keyed request whose outcome is open, or that was refused, is sent
    again with its key.
    """

    service: str
    path: str
    method: str = "GET"
    weight: float = 1.0
    body_bytes: Size = 0
    answer_bytes: Size = 0
    timeout_s: Positive = 5.0
    keyed: bool = False
    twice: Share = 0.0
    ask_again: Annotated[int, Meta(ge=0, le=20)] = 0
    idempotent: bool | None = None

    def may_run_twice(self) -> bool:
        """Whether a second run does no harm."""
        if self.idempotent is not None:
            return self.idempotent
        return self.method in IDEMPOTENT_METHODS


class Plan(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What one load generator sends; ``run`` is the prefix of its request ids."""

    run: str
    entries: list[str]
    stages: list[Stage]
    mix: list[Kind]
    seed: int = 1
    max_in_flight: Annotated[int, Meta(ge=1, le=20_000)] = 4000
    max_requests: Annotated[int, Meta(ge=1, le=1_000_000)] = 200_000


class Report(msgspec.Struct, kw_only=True):
    """What a load generator was told, request by request.

    ``unsent`` counts arrivals that were dropped by the generator's own bounds.
    """

    run: str
    started: float
    ended: float
    unsent: int
    told: list[Told]
    readiness: list[tuple[float, str, bool]]


class Load:
    """Carries one plan out.

    :param plan: what to send.
    """

    def __init__(self, *, plan: Plan) -> None:
        self.plan = plan
        self.balancer = Balancer(entries=plan.entries)
        self.told: list[Told] = []
        self.unsent = 0
        self._count = 0
        self._stopped = asyncio.Event()
        self._random = random.Random(plan.seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._weights = [kind.weight for kind in plan.mix]
        self._bodies = [self._random.randbytes(kind.body_bytes) for kind in plan.mix]

    def stop(self) -> None:
        """Send nothing more; ``run`` then waits for the last answers."""
        self._stopped.set()

    async def run(self) -> Report:
        """Send all stages, wait for the last answers and report."""
        started = time.time()
        await self.balancer.check()
        checker = asyncio.create_task(self.balancer.run())
        for i, stage in enumerate(self.plan.stages):
            await self._send_stage(i, stage)
        while self._tasks:
            await asyncio.wait(self._tasks)
        checker.cancel()
        self.balancer.close()
        return Report(
            run=self.plan.run,
            started=started,
            ended=time.time(),
            unsent=self.unsent,
            told=self.told,
            readiness=self.balancer.changes,
        )

    async def _send_stage(self, number: int, stage: Stage) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        end = due + stage.seconds
        while stage.rate and not self._stopped.is_set():
            due += self._random.expovariate(stage.rate)
            if due >= end:
                break
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            self._arrive(number, due)
        with suppress(TimeoutError):
            await asyncio.wait_for(self._stopped.wait(), max(0.0, end - loop.time()))

    def _arrive(self, stage: int, due: float) -> None:
        if len(self._tasks) >= self.plan.max_in_flight or self._count >= self.plan.max_requests:
            self.unsent += 1
            return
        [kind] = self._random.choices(range(len(self.plan.mix)), self._weights)
        self._count += 1
        name = f"{self.plan.run}-{self._count}"
        self._start(self._ask(name, kind, stage, due, copy=0))
        if self._random.random() < self.plan.mix[kind].twice:
            self._start(self._ask(name, kind, stage, due, copy=1))

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, name: str, index: int, stage: int, due: float, *, copy: int) -> None:
        """Send one request, and again with its key while its outcome is open."""
        kind = self.plan.mix[index]
        for attempt in range(kind.ask_again + 1):
            told = await self._send(name, index, stage, due, number=copy * 100 + attempt)
            self.told.append(told)
            if not kind.keyed or not told.is_open or attempt == kind.ask_again:
                return
            wait = min(MAX_RETRY_AFTER_S, told.retry_after or 0.5)
            await asyncio.sleep(wait * self._random.uniform(1.0, 1.2))
            due = asyncio.get_running_loop().time()

    async def _send(self, name: str, index: int, stage: int, due: float, *, number: int) -> Told:
        kind = self.plan.mix[index]
        request_id = f"{name}.{number}"
        headers = {"X-Request-Id": request_id, "X-Request-Timeout": f"{kind.timeout_s:g}"}
        if kind.keyed:
            headers["Idempotency-Key"] = f'"{name}"'
        sent = time.time()
        exchange: Exchange | None = None
        with suppress(Unreached):
            exchange = await self.balancer.send(
                method=kind.method,
                path=f"{kind.path}?load={name}&size={kind.answer_bytes}",
                headers=headers,
                body=self._bodies[index],
                timeout_s=kind.timeout_s + GRACE_S,
            )
        latency_s = asyncio.get_running_loop().time() - due
        return judge(
            exchange,
            body=self._bodies[index],
            id=request_id,
            keyed=kind.keyed,
            service=kind.service,
            idempotent=kind.may_run_twice(),
            kind=index,
            stage=stage,
            sent=sent,
            latency_s=latency_s,
        )


def read_plan(path: str | Path) -> Plan:
    """Read a plan from a file of JSON."""
    return msgspec.json.decode(Path(path).read_bytes(), type=Plan)


def read_report(path: str | Path) -> Report:
    """Read a load generator's report."""
    return msgspec.msgpack.decode(Path(path).read_bytes(), type=Report)


async def _run(plan: Plan) -> Report:
    load = Load(plan=plan)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, load.stop)
    return await load.run()


@click.command()
@click.option("--plan", "plan_path", required=True, type=click.Path(exists=True))
@click.option("--out", required=True, type=click.Path(), help="Where the report is written.")
def main(plan_path: str, out: str) -> None:
    """Carry out a plan against entry hosts that run."""
    plan = read_plan(plan_path)
    total = sum(stage.seconds for stage in plan.stages)
    if total > MAX_SECONDS:
        raise click.BadParameter(f"the stages take {total:g} s, more than {MAX_SECONDS:g}")
    report = asyncio.run(_run(plan))
    Path(out).write_bytes(msgspec.msgpack.encode(report))
    click.echo(f"{len(report.told)} told, {report.unsent} unsent")


if __name__ == "__main__":
    main()
