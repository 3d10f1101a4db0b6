"""Judges a fuzzed run from what callers and operators were told and the stand-ins' own record."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from .fuzz_fleet import BUFFERED_BYTES, LEAST_BY_POOL, mix
from .fuzz_operators import Attempt
from .fuzz_worlds import Window
from .oracle import (
    OPEN_OUTCOMES,
    RAN_ELSEWHERE,
    SERVING,
    Fault,
    check_cuts,
    check_pools,
    check_requests,
    runs_by_name,
)
from .told import Told

# How long daemons may take to know of a host that was lost while they can talk to the platform: the
# platform's own delay, a poll, the time after which a host counts as failed, and a record.
KNOWN_AFTER_S = 8.0
BALANCER_S = 3.0
PLANNED_STATES = ("draining", "drained", "rebooting")
DOWN_ACTIONS = ("daemon_kill", "daemon_freeze", "daemon_stop")
PROMISES = (
    "doubled",
    "cut",
    "mixed",
    "untrue refusal",
    "untrue answer",
    "broken",
    "silent",
    "unreached",
    "failed",
    "two pools",
    "budget breach",
    "cut by maintenance",
    "reverted configuration",
    "job run twice",
    "states differ",
    "not serving",
    "not ended",
    "process ended",
)


class Windows:
    """What was broken on purpose, and when.

    :param windows: the windows of the run.
    :param name_by_address: the daemons by their callers' addresses.
    """

    def __init__(self, windows: Iterable[Window], name_by_address: Mapping[str, str]) -> None:
        self.windows = list(windows)
        self.name_by_address = name_by_address

    def any(self, actions: Sequence[str], start: float, end: float, on: str = "") -> bool:
        """Whether one of some actions was on at a time, on anything or on one target."""
        return any(
            w.action in actions and on in ("", w.on) and w.start <= end and start <= w.end
            for w in self.windows
        )

    def excuses(self, one: Told) -> bool:
        """Whether what was broken explains that a caller got no whole answer.

        A killed process breaks connections and a frozen one is silent. A large answer is passed on
        while it comes, so that one cut by its executor can only end as cut, never as whole.
        """
        start, end = one.sent, one.sent + max(0.0, one.latency_s)
        name = self.name_by_address.get(one.entry, "?")
        killed = self.any(("daemon_kill",), start, end, name)
        frozen = self.any(("daemon_freeze",), start, end, name)
        if one.outcome == "unreached":
            return self.any(DOWN_ACTIONS, start - BALANCER_S, end)
        if one.outcome == "silent":
            return frozen
        if one.outcome == "broken":
            return killed or frozen
        if one.outcome == "cut" and one.detail:
            large = mix()[one.kind].answer_bytes > BUFFERED_BYTES
            return killed or frozen or large
        return False


def check_told(
    told: Sequence[Told], runs: Sequence[Mapping[str, Any]], windows: Windows
) -> list[Fault]:
    """Check what callers were told.

    :param told: all that callers were told.
    :param runs: all runs of all executors.
    """
    excused = {one.id for one in told if windows.excuses(one)}
    found = [f for f in check_requests(told, runs).faults if f.name not in excused]
    found += [
        Fault(one.outcome, one.id, f"{one.entry} {one.detail} after {one.latency_s:.1f} s")
        for one in told
        if one.outcome in ("broken", "unreached") and one.id not in excused
    ]
    return found + check_refusals(told, runs)


def check_refusals(told: Iterable[Told], runs: Iterable[Mapping[str, Any]]) -> list[Fault]:
    """Find requests that ran although only copies that were refused had been sent by then.

    A refusal that is asked again and answered then isn't shown to be true by the answer: the run
    must have begun after a copy was sent that wasn't refused.
    """
    copies_by_name: defaultdict[str, list[Told]] = defaultdict(list)
    for one in told:
        copies_by_name[one.name].append(one)
    faults = []
    for name, found in runs_by_name(runs).items():
        copies = copies_by_name[name]
        first = min((c.sent for c in copies if c.outcome in OPEN_OUTCOMES), default=math.inf)
        early = [run for run in found if run["start"] < first]
        refused = [c for c in copies if c.outcome == "refused" and c.code not in RAN_ELSEWHERE]
        if early and refused and first < math.inf:
            text = f"MG{refused[0].code}, but it ran before another copy was sent"
            faults.append(Fault("untrue refusal", name, text))
    return faults


# The platform's record


def check_truth(
    truth: Mapping[str, Any],
    executors: Mapping[str, Mapping[str, Any]],
    windows: Windows,
    *,
    since: float,
) -> list[Fault]:
    """Check pools, planned work and budgets.

    :param executors: the state of each executor.
    :param since: the time from which budgets are in force.
    """
    return [
        *check_pools(truth, executors),
        *check_cuts(truth, since=since),
        *check_planned(truth, windows, since=since),
    ]


def check_planned(truth: Mapping[str, Any], windows: Windows, *, since: float) -> list[Fault]:
    """Find hosts that planned work took away although the budget didn't allow it.

    Failures may break a budget and planned work may not. A host that was lost only a moment ago, or
    while the platform's calls were broken, can't be known yet and counts as there.
    """
    events = sorted(
        ((event["time"], worker, event) for worker, h in truth["workers"].items() for event in h),
        key=lambda entry: entry[0],
    )
    before: dict[str, Mapping[str, Any]] = {}
    lost_at: dict[str, tuple[float, str]] = {}
    faults = []
    for time, worker, event in events:
        old = before.get(worker)
        before[worker] = event
        was_serving = old is not None and old["state"] == SERVING
        if event["state"] == SERVING:
            lost_at.pop(worker, None)
        elif was_serving and old is not None and event["state"] not in PLANNED_STATES:
            lost_at[worker] = (time, old["pool"])
        elif was_serving and old is not None and time >= since:
            pool = old["pool"]
            there = sum(e["state"] == SERVING and e["pool"] == pool for e in before.values())
            unknown = sum(p == pool and _is_unknown(t, time, windows) for t, p in lost_at.values())
            if there + unknown < LEAST_BY_POOL.get(pool, 0):
                text = f"{there} hosts ({unknown} lost just now) when {worker} became "
                faults.append(Fault("budget breach", pool, f"{text}{event['state']} at {time:.2f}"))
    return faults


def _is_unknown(lost_at: float, now: float, windows: Windows) -> bool:
    known_by = lost_at + KNOWN_AFTER_S
    blind = ("calls_down", "calls_slow", "calls_lost", "calls_silent")
    return now < known_by or windows.any(blind, lost_at, now)


def check_jobs(truth: Mapping[str, Any], idempotent_by_job: Mapping[str, bool]) -> list[Fault]:
    """Find jobs that must not run twice and did.

    A job goes on from its checkpoint in another run, which is no second one.
    """
    faults = []
    for job, entry in truth["jobs"].items():
        if idempotent_by_job.get(job, True):
            continue
        runs = sorted(entry["runs"], key=lambda run: run["start"])
        whole = [run for run in runs[:-1] if run["outcome"] != "checkpointed"]
        if whole or entry["overlapping"]:
            text = ", ".join(f"{run['worker']} {run['outcome']}" for run in runs)
            faults.append(Fault("job run twice", job, text))
    return faults


# Configuration


def check_configuration(
    attempts: Iterable[Attempt], declarations_by_daemon: Mapping[str, Mapping[str, Any]]
) -> list[Fault]:
    """Find accepted changes that are not in force, and others that are.

    :param attempts: all changes that operators tried, with what they were told.
    :param declarations_by_daemon: what each daemon shows after healing.
    """
    faults = []
    by_key: defaultdict[str, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        by_key[attempt.key].append(attempt)
    for key, tried in by_key.items():
        accepted = [a for a in tried if a.told == "accepted"]
        twice = [base for base, n in Counter(a.base for a in accepted).items() if n > 1]
        faults += [Fault("reverted configuration", key, f"two win over {base}") for base in twice]
        for daemon, items in declarations_by_daemon.items():
            text = _wrong(tried, accepted, items[key])
            if text:
                faults.append(Fault("reverted configuration", f"{daemon} {key}", text))
    return faults


def _wrong(tried: list[Attempt], accepted: list[Attempt], shown: Mapping[str, Any]) -> str:
    latest = max(accepted, key=lambda a: a.offset, default=None)
    if latest is not None and shown["version"] < latest.offset:
        return f"shows version {shown['version']}, but {latest.offset} was accepted"
    if latest is not None and shown["version"] == latest.offset:
        return "" if shown["value"] == latest.value else f"shows {shown['value']} at its version"
    changed = shown["version"] > min(a.base for a in tried)
    is_open = any(a.told == "unknown" and a.value == shown["value"] for a in tried)
    return f"shows {shown['value']}, which was told as rejected" if changed and not is_open else ""


def check_versions(before: Mapping[str, int], after: Mapping[str, int], daemon: str) -> list[Fault]:
    """Find declarations whose version went down on a daemon that says it is ready."""
    return [
        Fault("reverted configuration", f"{daemon} {key}", f"from {version} to {after.get(key)}")
        for key, version in before.items()
        if after.get(key, -1) < version
    ]
