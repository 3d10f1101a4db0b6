"""Compares what callers were told with what executors and the platform really did.

Requests are joined with runs by the name that the load puts into the query, which reaches the
executor whatever the entry host does with headers.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from itertools import pairwise
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from mustardgap.status_codes import KEY_IN_USE, KEY_REUSED

from .told import Told

RAN_ELSEWHERE = (KEY_IN_USE.number, KEY_REUSED.number)
OPEN_OUTCOMES = ("answered", "unknown", "broken", "silent", "cut", "mixed", "failed")
SERVING = "up"


class Fault(NamedTuple):
    """One breach of a promise."""

    promise: str
    name: str
    detail: str


class Counts(NamedTuple):
    """What became of all requests, and the breaches of promises that were found."""

    by_outcome: Counter[str]
    runs: int
    faults: list[Fault]

    def of(self, promise: str) -> int:
        """How many breaches of one promise."""
        return sum(fault.promise == promise for fault in self.faults)


PROMISES = (
    "doubled",
    "untrue refusal",
    "untrue answer",
    "cut",
    "mixed",
    "silent",
    "failed",
    "budget breach",
    "two pools",
    "cut by maintenance",
)


def runs_by_name(runs: Iterable[Mapping[str, Any]]) -> dict[str, list[Mapping[str, Any]]]:
    """Sort the executors' runs by the name of the request."""
    found: defaultdict[str, list[Mapping[str, Any]]] = defaultdict(list)
    for run in runs:
        [name] = parse_qs(urlsplit(run["path"]).query).get("load", [""])
        found[name].append(run)
    return dict(found)


def check_requests(told: Iterable[Told], runs: Iterable[Mapping[str, Any]]) -> Counts:
    """Compare what callers were told with what executors ran.

    :param told: all that callers were told.
    :param runs: all runs of all executors.
    """
    told_by_name: defaultdict[str, list[Told]] = defaultdict(list)
    by_outcome: Counter[str] = Counter()
    for one in told:
        told_by_name[one.name].append(one)
        by_outcome[one.outcome] += 1
    by_name = runs_by_name(runs)
    faults = []
    for name, copies in told_by_name.items():
        faults += _check_name(name, copies, by_name.get(name, []))
    return Counts(by_outcome, sum(len(by_name.get(name, [])) for name in told_by_name), faults)


def _check_name(name: str, copies: list[Told], runs: list[Mapping[str, Any]]) -> list[Fault]:
    faults = [
        Fault(one.outcome, one.id, f"{one.status} MG{one.code} {one.detail}")
        for one in copies
        if one.outcome in ("cut", "mixed", "silent", "failed")
    ]
    answered = [one for one in copies if one.outcome == "answered"]
    once = copies[0].keyed or not copies[0].idempotent
    if once and len(runs) > 1:
        where = ", ".join(run["executor"] for run in runs)
        faults.append(Fault("doubled", name, f"ran {len(runs)} times: {where}"))
    if answered and not runs:
        faults.append(Fault("untrue answer", name, f"MG{answered[0].code}, never ran"))
    if runs and not any(one.outcome in OPEN_OUTCOMES for one in copies):
        refused = [one for one in copies if one.code not in RAN_ELSEWHERE]
        if refused:
            faults.append(Fault("untrue refusal", name, f"MG{refused[0].code}, but it ran"))
    return faults


# The platform's own record


def check_budgets(
    truth: Mapping[str, Any], least_by_pool: Mapping[str, int], *, since: float
) -> list[Fault]:
    """Find the moments at which a pool had fewer serving hosts than its service's budget.

    :param truth: the platform's record.
    :param least_by_pool: the fewest hosts each pool must have.
    :param since: the time from which budgets are in force.
    """
    events = sorted(
        (event["time"], worker, event)
        for worker, history in truth["workers"].items()
        for event in history
    )
    pool_by_worker: dict[str, str] = {}
    faults = []
    breached: set[str] = set()
    for time, worker, event in events:
        serving = event["state"] == SERVING
        pool_by_worker[worker] = event["pool"] if serving else ""
        count_by_pool = Counter(pool_by_worker.values())
        short = {p for p, least in least_by_pool.items() if count_by_pool[p] < least}
        if time >= since:
            faults += [_breach(p, count_by_pool[p], worker, time) for p in short - breached]
            breached = short
    return faults


def _breach(pool: str, count: int, worker: str, time: float) -> Fault:
    return Fault("budget breach", pool, f"{count} hosts when {worker} left at {time:.3f}")


def check_pools(
    truth: Mapping[str, Any], executors: Mapping[str, Mapping[str, Any]]
) -> list[Fault]:
    """Find hosts that served two pools at once, or changed pools without being drained.

    :param truth: the platform's record.
    :param executors: the state of each executor by its name.
    """
    faults = []
    serving = Counter(e["worker"] for e in executors.values() if e["state"] == SERVING)
    for worker, count in serving.items():
        if count > 1:
            faults.append(Fault("two pools", worker, f"{count} executors serve on it"))
    for worker, history in truth["workers"].items():
        for before, after in pairwise(history):
            moved = before["pool"] not in ("", after["pool"]) and after["state"] != "gone"
            if moved and before["state"] == SERVING:
                text = f"{before['pool']} to {after['pool']} without a drain"
                faults.append(Fault("two pools", worker, text))
    return faults


def check_cuts(truth: Mapping[str, Any], *, since: float = 0.0) -> list[Fault]:
    """Find the requests and tasks that planned work on the platform cut off."""
    return [
        Fault("cut by maintenance", cut["worker"], f"{cut['count']} {cut['kind']}: {cut['why']}")
        for cut in truth["cuts"]
        if cut["time"] >= since and "reboot" in cut["why"]
    ]


def lines(counts: Counts) -> list[str]:
    """One line for the outcomes and one for each promise."""
    outcomes = ", ".join(f"{n} {outcome}" for outcome, n in sorted(counts.by_outcome.items()))
    text = [f"requests: {counts.by_outcome.total()} ({outcomes}), {counts.runs} runs"]
    for promise in PROMISES:
        text.append(f"{promise}: {counts.of(promise)}")
    text += [f"  {fault.promise} {fault.name}: {fault.detail}" for fault in counts.faults[:20]]
    return text
