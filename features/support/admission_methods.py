"""Methods of admission that were compared; only the product's is used outside of tests."""

import math
from collections.abc import Mapping

from mustardgap.admission import (
    Capacity,
    Cause,
    Decision,
    Demand,
    DurationEvidence,
    PoolBacklog,
    decide,
    forecast_end,
    work_ahead,
)

ADMITTED = Decision(None)
# Both are those of the paper, scaled from packets to jobs: a standing delay of a quarter of a
# usual objective, for as long as a task takes.
CODEL_TARGET_S = 0.75
CODEL_INTERVAL_S = 1.35


class Situation:
    """What a method may know when a job comes."""

    def __init__(
        self,
        *,
        now: float,
        demand: Demand,
        limit_s: float,
        wait_s: float,
        backlog: PoolBacklog,
        cores: float,
        weights: Mapping[str, float],
        evidence: DurationEvidence,
        oldest_wait_s: float,
    ) -> None:
        self.now = now
        self.demand = demand
        self.limit_s = limit_s
        self.wait_s = wait_s
        self.backlog = backlog
        self.cores = cores
        self.weights = weights
        self.evidence = evidence
        self.oldest_wait_s = oldest_wait_s


class AdmitAll:
    """Accepts every job, as the product did before."""

    def decide(self, situation: Situation) -> Decision:
        """Decide on a job."""
        return ADMITTED


class FairFinish:
    """The product's method: virtual finish times by client account."""

    def decide(self, situation: Situation) -> Decision:
        """Decide on a job."""
        if not situation.evidence.suffices:
            return ADMITTED
        s = situation
        ahead = work_ahead(s.demand, s.backlog, s.weights)
        forecast = forecast_end(s.demand, s.backlog, ahead, Capacity(s.cores), s.now)
        return decide(forecast, limit_s=s.limit_s, wait_s=s.wait_s)


class WorkBound:
    """Bounds the pool's whole work by what it does within a job's slack, whoever sends it."""

    def decide(self, situation: Situation) -> Decision:
        """Decide on a job."""
        s = situation
        if not s.evidence.suffices:
            return ADMITTED
        work = sum(
            w.total for by in s.backlog.work_by_account_by_priority.values() for w in by.values()
        )
        excess_s = work / s.cores - (s.limit_s - s.demand.chain_s)
        return _refuse(s, excess_s) if excess_s > 0 else ADMITTED


class DelayBound:
    """Controlled delay (CoDel; Nichols and Jacobson, 2012): drops while the delay stands."""

    def __init__(self) -> None:
        self._above_since: float | None = None
        self._next_drop_at = 0.0
        self._drops = 0

    def decide(self, situation: Situation) -> Decision:
        """Decide on a job."""
        now = situation.now
        if situation.oldest_wait_s < CODEL_TARGET_S:
            self._above_since, self._drops = None, 0
            return ADMITTED
        if self._above_since is None:
            self._above_since = now
            self._next_drop_at = now + CODEL_INTERVAL_S
        if now < self._next_drop_at:
            return ADMITTED
        self._drops += 1
        self._next_drop_at = now + CODEL_INTERVAL_S / math.sqrt(self._drops) / 10
        return _refuse(situation, 1.0)


def _refuse(situation: Situation, excess_s: float) -> Decision:
    latest = math.floor(situation.wait_s - 0.3)
    if excess_s > latest or latest < 1:
        return Decision(Cause.NO_RETRY)
    return Decision(Cause.WAIT, (max(math.ceil(excess_s), 1), latest))


METHODS = {
    "none": AdmitAll,
    "fair finish": FairFinish,
    "work bound": WorkBound,
    "delay bound": DelayBound,
}
