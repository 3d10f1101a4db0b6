"""Runs requests with faults at points of their handling, and checks their answers."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from mustardgap.dispatchers import Dispatcher
from mustardgap.path_holders import path_of
from mustardgap.shard_logs import CANCELLED_KEY, JOB_KEY, PROGRESS_KEY
from tools.owner_troubles import TWO_STEPS
from tools.owner_worlds import QUEUE

from .answer_worlds import POLL_INTERVAL_S, AnswerWorld, until
from .suspensions import (
    Meddle,
    Suspensions,
    cancel_task,
    hold_during,
    throw_afterwards,
    throw_at_once,
)

JOB = "00000000000000a1"
BODY = b'{"spec":"p","steps":[{"count":1,"cpu":1000,"memMb":500,"estimateMs":500}]}'
# Shorter than a job request handler waits for the store, so that a change isn't sent twice to a
# store that doesn't respond.
DEADLINE_MS = 1000
# A request counts as unanswered this long after its handling has ended, or once the caller has
# waited several times as long as all calls of its handling take together.
ANSWER_DELAY_S = 2.0
ANSWER_TIMEOUT_S = 15.0
# Delays the store while another request's record is being written.
STORE_DELAY_S = 0.1
MAX_POINTS = 60
# Limits of drawn cases: hits per case, and the highest point; few requests have more points.
MAX_HITS = 3
MAX_DRAWN_POINT = 3
REFUSAL_STATUSES = (429, 503)
STATUSES = (200, 410, *REFUSAL_STATUSES, 504)


class Request(NamedTuple):
    """What a caller sends, and the keys of the records that show, each, that a change was made."""

    method: str
    path: str
    body: bytes = b""
    records: tuple[str, ...] = ()


REQUESTS = {
    "new job": Request("POST", QUEUE.path_prefix + JOB, BODY, (JOB_KEY + JOB,)),
    "job cancellation": Request(
        "DELETE", QUEUE.path_prefix + JOB, b"", (PROGRESS_KEY + JOB, CANCELLED_KEY + JOB)
    ),
    "job query": Request("GET", QUEUE.path_prefix + JOB),
    "queue count": Request("GET", QUEUE.path_prefix),
}


class Situation(NamedTuple):
    """The state of the daemons and the store when a request arrives.

    :param at_owner: whether the receiving daemon owns the queue itself.
    :param is_owner_known: whether the receiving daemon knows the queue's owner.
    :param is_stored: whether the job has been accepted.
    :param earlier: requests that were sent just before and are still being handled.
    """

    at_owner: bool = False
    is_owner_known: bool = True
    is_stored: bool = False
    earlier: tuple[str, ...] = ()


SITUATIONS = {
    "its job is new": Situation(),
    "its job is stored": Situation(is_stored=True),
    "its job is unknown": Situation(),
    "its job is being stored": Situation(earlier=("new job",)),
    "the owner isn't known yet": Situation(is_owner_known=False, is_stored=True),
    "the receiving daemon is the owner": Situation(at_owner=True, is_stored=True),
    "the receiving daemon is the owner, its job is new": Situation(at_owner=True),
    "the owner isn't known yet, its job is new": Situation(is_owner_known=False),
}


def _internal_error() -> BaseException:
    return ValueError("an internal error")


THROWN: dict[str, Meddle] = {
    "an error is raised": throw_at_once(_internal_error),
    "an error is raised after the wait": throw_afterwards(_internal_error),
    "a cancellation is raised": throw_at_once(asyncio.CancelledError),
    "a cancellation is raised after the wait": throw_afterwards(asyncio.CancelledError),
    "the task is cancelled": cancel_task,
}
FAULTS: dict[str, Callable[[AnswerWorld], Awaitable[None]]] = {
    "another call times out": AnswerWorld.end_another_call,
    "the channel is closed": AnswerWorld.close_channels,
    "the shard is given up": AnswerWorld.give_up_shard,
    "the shard moves to the other daemon": AnswerWorld.move_shard,
    "a part of the ownership fails": AnswerWorld.end_ownership,
    "calls to the store are held back": AnswerWorld.hold_store,
    "answers of the store are held back": AnswerWorld.hold_store_answers,
    "the owner's server stops": AnswerWorld.stop_server,
    "the front is stopped": AnswerWorld.stop_front,
    "the front is stopped at once": AnswerWorld.stop_front_at_once,
}


class Hit(NamedTuple):
    """A fault, by its name, at a point of the handling of a case's requests.

    :param side: the daemon whose points are counted, "receiving" or "owning".
    :param point: the point's number, from 1.
    """

    side: str
    point: int
    fault: str


class Case(NamedTuple):
    """A request in a situation, by their names, and the faults that hit its handling.

    ``stopped_after`` counts turns of the event loop from the request's sending until the front is
    stopped, None if it isn't.
    """

    request: str
    situation: str
    hits: tuple[Hit, ...] = ()
    stopped_after: int | None = None


class Outcome(NamedTuple):
    """The result of one case.

    :param hits: how many of the case's hits met a point.
    :param was_read: whether the request was read.
    :param reply: the status and code that the caller received.
    :param problems: what is wrong.
    """

    case: Case
    hits: int
    was_read: bool
    reply: str
    problems: list[str]

    def __str__(self) -> str:
        hits = "; ".join(f"at {h.side} point {h.point} {h.fault}" for h in self.case.hits)
        if self.case.stopped_after is not None:
            hits = f"the front stopped {self.case.stopped_after} turns after"
        problems = ", ".join(self.problems)
        return f"{self.case.request}, {self.case.situation}, {hits}: {problems} ({self.reply})"


class Caller:
    """A caller with a connection of its own."""

    def __init__(self, *, world: AnswerWorld, request: Request) -> None:
        self.request = request
        self.status = 0
        self.code = ""
        self.problems: list[str] = []
        # A request whose connection was closed before it was read needs no answer.
        self.was_read = False
        self._world = world
        self._before = 0
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter
        self._reading: asyncio.Task[None]

    async def connect(self) -> None:
        """Connect to the receiving daemon."""
        port = self._world.receiving.front_port
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", port)

    def send(self) -> None:
        """Send the request, and start to read the answer."""
        self._before = self._world.handling
        lines = [
            f"{self.request.method} {self.request.path} HTTP/1.1",
            f"Host: {QUEUE.host}",
            f"X-Mustardgap-Request-Deadline: {DEADLINE_MS}",
            f"Content-Length: {len(self.request.body)}",
        ]
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + self.request.body)
        self._reading = asyncio.ensure_future(self._read())

    async def wait_until_read(self) -> None:
        """Wait until the request has been read, or the connection has ended."""
        await until(
            lambda: self._world.handling > self._before or self._reading.done(),
            "the request has been read",
        )
        # A handling that is cancelled before its first step can be seen only by its answer.
        self.was_read = self._world.handling > self._before or self.status > 0

    async def read(self) -> None:
        """Read the answer, and note what is wrong with it."""
        waiting = asyncio.ensure_future(self._time_out())
        both = [self._reading, waiting]
        await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        for task in both:
            task.cancel()
        await asyncio.wait(both)
        if not self.status and self.was_read:
            self.problems.append("no answer")
        elif self.status and (self.status not in STATUSES or not self.code):
            self.problems.append(f"answered {self.status} {self.code or 'without a code'}")

    async def read_end(self) -> None:
        """Read until the connection ends; nothing more may arrive."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                rest = await self._reader.read()
        except ConnectionError:
            rest = b""
        except TimeoutError:
            self.problems.append("the connection stays open")
            rest = b""
        if rest:
            self.problems.append(f"more than one answer: {rest[:40]!r}")
        self._writer.close()

    async def _read(self) -> None:
        try:
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
            lines = [line for line in head.split("\r\n")[1:] if line]
            fields = dict(line.split(": ", 1) for line in lines)
            await self._reader.readexactly(int(fields["Content-Length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        self.status = int(head.split()[1])
        self.code = fields.get("X-Result-Code", "")

    async def _time_out(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + ANSWER_TIMEOUT_S
        while loop.time() < end and not self._world.is_handled:
            await asyncio.sleep(POLL_INTERVAL_S)
        await asyncio.sleep(ANSWER_DELAY_S)


async def run_case(case: Case) -> Outcome:
    """Run one case in a world of its own, and check the answers that its callers get."""
    situation = SITUATIONS[case.situation]
    world = AnswerWorld()
    front, handler = (_suspensions(world, case, side) for side in ("receiving", "owning"))
    await world.start(at_owner=situation.at_owner, front=front, handler=handler)
    await _arrange(world, situation)
    names = (*situation.earlier, case.request)
    callers = [Caller(world=world, request=REQUESTS[name]) for name in names]
    check = _Check(world=world, callers=callers, was_accepted=situation.is_stored)
    for caller in callers:
        await caller.connect()
    for caller in callers:
        caller.send()
        if case.stopped_after is not None:
            await _stop_front(world, case.stopped_after)
        await caller.wait_until_read()
    await asyncio.gather(*(check.check_answer(caller) for caller in callers))
    check.check_refusals("now")
    await world.settle()
    left = await world.close()
    check.check_refusals("later")
    for caller in callers:
        await caller.read_end()
    problems = [problem for caller in callers for problem in caller.problems]
    problems += [f"left open: {coroutine}" for coroutine in left] + world.failures
    seen_by_side = {"receiving": front.seen, "owning": handler.seen}
    hits = sum(hit.point <= seen_by_side[hit.side] for hit in case.hits)
    last = callers[-1]
    return Outcome(case, hits, last.was_read, f"told {last.status} {last.code}", problems)


async def _stop_front(world: AnswerWorld, turns: int) -> None:
    for _ in range(turns):
        await asyncio.sleep(0)
    await world.stop_front()


def _suspensions(world: AnswerWorld, case: Case, side: str) -> Suspensions:
    hits = [hit for hit in case.hits if hit.side == side]
    return Suspensions(meddles_by_point={hit.point: _meddle(world, hit.fault) for hit in hits})


def _meddle(world: AnswerWorld, fault: str) -> Meddle:
    return THROWN.get(fault) or hold_during(lambda: world.inject(FAULTS[fault]))


def _holds_path(dispatcher: Dispatcher | None) -> bool:
    return dispatcher is not None and path_of(QUEUE) in dispatcher.paths.by_path


async def _arrange(world: AnswerWorld, situation: Situation) -> None:
    if situation.is_owner_known:
        await world.receiving.owners.refresh()
    assert world.owner.dispatcher is not None
    if situation.is_stored:
        # An owner refuses a job, truthfully, that comes before it has taken the path. A stall of
        # the process may end its ownership; the next one takes the path anew.
        await until(lambda: _holds_path(world.owner.dispatcher), "the path is taken")
        dispatcher = world.owner.dispatcher
        assert dispatcher is not None
        reply = await dispatcher.job_request_handler.submit(job_id=JOB, queue=QUEUE, spec=TWO_STEPS)
        assert reply.code.http_status == 200, reply
        await until(lambda: JOB in dispatcher.jobs_by_id, "the job is accepted")
    if situation.earlier:
        world.store.slow_s = STORE_DELAY_S


class _Check:
    """Compares the answers that callers got with the store's records.

    :param was_accepted: whether the job had been accepted before.
    """

    def __init__(self, *, world: AnswerWorld, callers: list[Caller], was_accepted: bool) -> None:
        self._world = world
        self._callers = callers
        self._was_accepted = was_accepted
        self._before = {keys for keys in self._changes() if self._is_stored(keys)}

    def _changes(self) -> list[tuple[str, ...]]:
        """The keys of the records of each change that callers ask for."""
        return sorted({caller.request.records for caller in self._callers} - {()})

    def _is_stored(self, keys: tuple[str, ...]) -> bool:
        return any(self._world.record(key) is not None for key in keys)

    async def check_answer(self, caller: Caller) -> None:
        """Wait for an answer, and check that it is correct."""
        await caller.read()
        keys = caller.request.records
        # A job that was said not to exist, as it was cancelled, mustn't be accepted later.
        if caller.status in (200, 410) and keys and not self._is_stored(keys):
            caller.problems.append(f"told {caller.code}, and it isn't stored")
        if caller.status == 410 and self._was_accepted:
            caller.problems.append("told that no such job exists, and it was accepted before")

    def check_refusals(self, when: str) -> None:
        """Find changes that are stored although all callers that requested them were refused.

        A caller whose request wasn't read counts as refused. Of two callers with the same job one
        may be refused and the other not; the record then belongs to the other.
        """
        for keys in self._changes():
            asking = [caller for caller in self._callers if caller.request.records == keys]
            refused = [
                caller
                for caller in asking
                if caller.status in REFUSAL_STATUSES or not caller.was_read
            ]
            if keys in self._before or not self._is_stored(keys) or refused != asking:
                continue
            reply = f"refused with {refused[0].code}" if refused[0].was_read else "not read"
            refused[0].problems.append(f"{reply}, and stored {when}")


async def run_at_each_point(
    *, request: str, situation: str, side: str, fault: str, semaphore: asyncio.Semaphore
) -> list[Outcome]:
    """Run a request once for each point of its handling on one side, until no point is left.

    :param semaphore: limits how many cases run concurrently.
    """
    outcomes: list[Outcome] = []
    for point in range(1, MAX_POINTS + 1):
        case = Case(request, situation, (Hit(side, point, fault),))
        outcomes.append(await run_limited(semaphore, case))
        if not outcomes[-1].hits:
            return outcomes
    raise AssertionError(f"{case} has more than {MAX_POINTS} points")


async def run_limited(semaphore: asyncio.Semaphore, case: Case) -> Outcome:
    """Run a case once the semaphore admits it."""
    async with semaphore:
        # In a task of its own, as the tasks that a world starts belong to its context.
        return await asyncio.ensure_future(run_case(case))


def front_stop_cases(*, rows: Sequence[tuple[str, str]], turns: int) -> list[Case]:
    """Make cases in which the front stops in each event loop turn after the request is sent.

    :param rows: requests with their situations.
    """
    return [Case(*row, stopped_after=turn) for row in rows for turn in range(turns)]


def draw_cases(*, rows: Sequence[tuple[str, str]], seed: int, count: int) -> list[Case]:
    """Draw cases whose handling is hit several times.

    :param rows: requests with their situations.
    """
    rng = random.Random(seed)
    faults = [*THROWN, *FAULTS]
    cases = []
    for _ in range(count):
        hits = [
            Hit(
                rng.choice(("receiving", "owning")),
                rng.randint(1, MAX_DRAWN_POINT),
                rng.choice(faults),
            )
            for _ in range(rng.randint(2, MAX_HITS))
        ]
        cases.append(Case(*rng.choice(rows), tuple(hits)))
    return cases
