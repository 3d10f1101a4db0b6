"""Which executors of a service are sick: ejected for a time, then probed, then slowly used again.

Ejection never goes below a floor. Signs may be wrong or come from something that all executors
share; below the floor a sick executor only gets the smallest share of the work.
"""

from collections.abc import Callable, Collection, Iterable
from statistics import median
from typing import Literal

from absl import logging

from . import metrics
from .healths import Health, Sign
from .settings import RequestsSettings
from .timelines import Timeline
from .timers import Clock

State = Literal["well", "sick", "ejected", "probing", "returning"]

MIN_WEIGHT = 0.1
WEIGHT_STEPS = 10
CHECK_S = 0.25
MIN_TRIES = 10.0
MIN_PEER_TRIES = 3.0
# How far from its peers an executor must be: by itself, over their median, and by a factor.
FAILURE_RATIO = 0.2
FAILURE_MARGIN = 0.1
SLOW_MARGIN_S = 0.05
TIMES_MEDIAN = 3.0
MAX_DOUBLINGS = 5
RETURNING_LIMIT = 2
PROBE_S = 10.0
# Above this share of failures among the peers, failures don't speak against one executor.
ALL_FAIL_RATIO = 0.3
# Failures of this many workers of one rack within this time make the rest of it suspect.
RACK_WORKERS = 2
RACK_WINDOW_S = 5.0


class Patient:
    """One executor with its health.

    :param executor: the executor's id.
    :param service: its service.
    :param worker: the worker it is on.
    :param rack: that worker's rack.
    """

    def __init__(self, *, executor: str, service: str, worker: str, rack: str) -> None:
        self.executor = executor
        self.service = service
        self.worker = worker
        self.rack = rack
        self.health = Health()
        self.state: State = "well"
        self.until = 0.0
        self.ejections = 0
        self.is_probed = False
        self.unreachable_at = float("-inf")


class Outliers:
    """Watches the executors of all services.

    :param settings: when to eject and for how long.
    :param clock: the clocks to read.
    :param timeline: where ejections and returns are noted.
    :param floor: a function that gives how many executors of a service must stay.
    :param on_change: called with the service of an executor whose state has changed.
    """

    def __init__(
        self,
        *,
        settings: RequestsSettings,
        clock: Clock,
        timeline: Timeline,
        floor: Callable[[str], int],
        on_change: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.timeline = timeline
        self.floor = floor
        self.on_change = on_change
        self.by_executor: dict[str, Patient] = {}
        self._by_service: dict[str, dict[str, Patient]] = {}
        self._by_rack: dict[str, set[str]] = {}
        self._checked: dict[str, float] = {}

    def add(self, patient: Patient, *, slowly: bool) -> None:
        """Watch an executor; ``slowly`` lets its share grow from the smallest."""
        self.by_executor[patient.executor] = patient
        self._by_service.setdefault(patient.service, {})[patient.executor] = patient
        self._by_rack.setdefault(patient.rack, set()).add(patient.executor)
        if slowly:
            self._move(patient, "returning", self.settings.slow_start_s, cause="new")

    def remove(self, executor: str) -> None:
        """Forget an executor."""
        patient = self.by_executor.pop(executor, None)
        if patient is not None:
            self._by_service[patient.service].pop(executor, None)
            self._by_rack[patient.rack].discard(executor)

    def note(self, executor: str, sign: Sign, took_s: float | None) -> None:
        """Take in a try.

        :param executor: the executor's id.
        :param sign: what the try says.
        :param took_s: seconds it took, None when that can't be told.
        """
        patient = self.by_executor.get(executor)
        if patient is None or patient.state == "ejected":
            return
        now = self.clock.monotonic()
        patient.is_probed = False
        patient.health.note(sign, took_s, now)
        if sign.unreachable:
            patient.unreachable_at = now
        if not sign.failed:
            self._note_success(patient)
        elif patient.health.failures_in_row >= self._limit(patient, sign) and (
            sign.hard or self._peers_do_better(patient)
        ):
            self._eject(patient, f"{patient.health.failures_in_row} failures in a row")
        if now - self._checked.get(patient.service, 0.0) >= CHECK_S:
            self._checked[patient.service] = now
            self._check_service(patient.service)

    def skip(self, executor: str) -> None:
        """Take in a try that says nothing, or that was given up; a probe may be made again."""
        patient = self.by_executor.get(executor)
        if patient is not None and patient.is_probed:
            patient.is_probed = False
            self.on_change(patient.service)

    def weight(self, executor: str) -> float:
        """The share of work an executor gets: 1 for a full one, 0 for none."""
        patient = self.by_executor.get(executor)
        if patient is None or patient.state == "well":
            return 1.0
        self._advance(patient)
        if patient.state == "ejected":
            return 0.0
        if patient.state == "probing":
            # A full share for the one probe: with less, nothing would come while the others have
            # slots to spare, and it would be missing when they haven't.
            return 0.0 if patient.is_probed else 1.0
        if patient.state == "returning":
            done = 1.0 - (patient.until - self.clock.monotonic()) / self.settings.slow_start_s
            return max(MIN_WEIGHT, round(done * WEIGHT_STEPS) / WEIGHT_STEPS)
        return MIN_WEIGHT if patient.state != "well" else 1.0

    def begin(self, executor: str, *, idempotent: bool) -> bool:
        """Ask whether a request may go to an executor now.

        One that was ejected gets a single request that may be repeated, and nothing more until that
        is answered. A service may have no such requests at all, so after some time any will do.

        :param executor: the executor's id.
        :param idempotent: whether the request may be repeated.
        """
        patient = self.by_executor.get(executor)
        if patient is None or patient.state not in ("probing", "sick"):
            return True
        suits = idempotent or self.clock.monotonic() >= patient.until
        if patient.state == "sick":
            return suits
        if patient.is_probed or not suits:
            return False
        patient.is_probed = True
        self.on_change(patient.service)
        return True

    def settled(self, service: str) -> bool:
        """Whether no weight of a service changes by time alone."""
        return all(p.state == "well" for p in self._by_service.get(service, {}).values())

    def _limit(self, patient: Patient, sign: Sign) -> int:
        if patient.state == "probing":
            return 1
        if patient.state == "returning":
            return RETURNING_LIMIT
        if sign.unreachable and self._rack_fails(patient):
            return 1
        return self.settings.eject_after

    def _peers_do_better(self, patient: Patient) -> bool:
        """Whether failures that may come from the requests speak against this executor.

        While all requests fail, the executor that is the first to fail five of them has peers with
        a try or two each. Taken for the only sick one, it was ejected for what all had in common.
        So too few tries at each peer are added up, and none at all show nothing.
        """
        peers = [p.health for p in self._by_service[patient.service].values() if p is not patient]
        ratios = [health.failure_ratio for health in peers if health.tries >= MIN_PEER_TRIES]
        if ratios:
            return median(ratios) < ALL_FAIL_RATIO
        tries = sum(health.tries for health in peers)
        failures = sum(health.failure_ratio * health.tries for health in peers)
        return tries >= MIN_PEER_TRIES and failures < ALL_FAIL_RATIO * tries

    def _rack_fails(self, patient: Patient) -> bool:
        # A rack's executors fail together. Waiting for each to fail in a row would cost as many
        # requests as there are executors; two of the rack's other workers are sign enough.
        since = self.clock.monotonic() - RACK_WINDOW_S
        others = (self.by_executor[e] for e in self._by_rack[patient.rack])
        gone = {p.worker for p in others if p.unreachable_at > since}
        return len(gone - {patient.worker}) >= RACK_WORKERS

    def _note_success(self, patient: Patient) -> None:
        if patient.state == "probing":
            patient.health.clear()
            self._move(patient, "returning", self.settings.slow_start_s, cause="probe answered")

    def _check_service(self, service: str) -> None:
        """Eject the one executor that stands out most from its peers."""
        watched = [
            p
            for p in self._by_service[service].values()
            if p.state in ("well", "returning") and p.health.tries >= MIN_PEER_TRIES
        ]
        for patient in sorted(watched, key=_badness, reverse=True):
            peers = [p.health for p in watched if p is not patient]
            if patient.health.tries < MIN_TRIES or not peers:
                continue
            why = _stands_out(patient.health, peers)
            if why:
                self._eject(patient, why)
                return

    def _eject(self, patient: Patient, why: str) -> None:
        if not self._may_eject(patient):
            if patient.state != "sick":
                self._move(patient, "sick", self.settings.eject_s, cause=f"{why}; at the floor")
            return
        doublings = min(patient.ejections, MAX_DOUBLINGS)
        patient.ejections += 1
        metrics.ejections.add(1, {"service": patient.service})
        self._move(patient, "ejected", self.settings.eject_s * 2**doublings, cause=why)

    def _may_eject(self, patient: Patient) -> bool:
        patients = self._by_service[patient.service].values()
        out = sum(1 for p in patients if p.state == "ejected")
        floor = max(self.floor(patient.service), (len(patients) + 1) // 2)
        return len(patients) - out - 1 >= floor

    def _advance(self, patient: Patient) -> None:
        """Let time have its effect on a state."""
        now = self.clock.monotonic()
        if now < patient.until:
            return
        if patient.state == "ejected":
            patient.health.clear()
            self._move(patient, "probing", PROBE_S, cause="time is over")
        elif patient.state == "sick":
            patient.health.clear()
            self._move(patient, "returning", self.settings.slow_start_s, cause="time is over")
        elif patient.state == "returning":
            self._move(patient, "well", 0.0, cause="slow start is over")
            # Not at once to zero: one that fails again soon is ejected for longer.
            patient.ejections = max(0, patient.ejections - 1)

    def _move(self, patient: Patient, state: State, for_s: float, *, cause: str) -> None:
        is_back = patient.state == "probing" and state == "returning"
        patient.state = state
        patient.is_probed = False
        patient.until = self.clock.monotonic() + for_s
        if state == "ejected" or is_back:
            # All that comes up starts slowly: a line for each start would drown these.
            logging.info("executor %s is %s: %s", patient.executor, state, cause)
        self.timeline.add(
            f"executor.{state}",
            cause=cause,
            executor=patient.executor,
            service=patient.service,
            host=patient.worker,
        )
        self.on_change(patient.service)


def _badness(patient: Patient) -> tuple[float, float]:
    return patient.health.failure_ratio, patient.health.mean_s


def _stands_out(health: Health, peers: Collection[Health]) -> str:
    """Why an executor stands out from its peers, "" when it doesn't.

    Measured against the median of the others: what troubles all of them alike, such as bad requests
    or a slow store behind them, is no reason to go to fewer of them.
    """
    return _fails_more(health, peers) or _is_slower(health, peers)


def _fails_more(health: Health, peers: Iterable[Health]) -> str:
    ratio = median(p.failure_ratio for p in peers)
    usual = ratio * TIMES_MEDIAN + FAILURE_MARGIN
    # A lower share counts too once it is certain. By a fixed share alone an executor that fails 19
    # of 100 stays for good, and one that fails 3 of 10 goes or stays by the moment of the check.
    is_certain = health.surest_failure_ratio > usual
    if is_certain or health.failure_ratio > max(FAILURE_RATIO, usual):
        return f"{health.failure_ratio:.0%} of tries fail, {ratio:.0%} elsewhere"
    return ""


def _is_slower(health: Health, peers: Iterable[Health]) -> str:
    # After this host was held up many tries count without their time. Judged by the few times that
    # are left, or beside peers that have none, an executor was ejected for one slow read, or for
    # its usual times. As many times as tries are needed for a judgement show more than chance.
    means = [p.mean_s for p in peers if p.timed >= MIN_PEER_TRIES]
    if health.timed < MIN_TRIES or not means:
        return ""
    mean_s = median(means)
    if health.mean_s > max(mean_s * TIMES_MEDIAN, mean_s + SLOW_MARGIN_S):
        return f"tries take {health.mean_s:.3f} s, {mean_s:.3f} s elsewhere"
    return ""
