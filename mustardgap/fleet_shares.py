"""The part of the fleet's owner in sharing its capacity among client accounts."""

from . import metrics
from .accounts import Account, ShareBalancer, SharePlan, valid_weight
from .accounts.shares import MAX_NAMED_ACCOUNTS
from .events import EventLog
from .fleet_states import UP, FleetState
from .load_features import Feature, LoadFeatures
from .pool_views import PoolRequest, PoolView
from .timers import Clock
from .workloads import Configuration

LOG_INTERVAL_S = 1.0


class FleetShares:
    """Collects what arrives at all pools, and tells them what exceeds the accounts' shares.

    :param epoch: the epoch of this ownership of the fleet.
    :param state: the fleet as its owner knows it.
    :param features: the decisions for hard load that take part.
    :param clock: the clocks to read.
    :param events: the process's event log.
    """

    def __init__(
        self,
        *,
        epoch: int,
        state: FleetState,
        features: LoadFeatures,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._balancer = ShareBalancer(epoch=epoch)
        self._state = state
        self._features = features
        self._clock = clock
        self._events = events
        self._plan: SharePlan | None = None
        self._pools: set[str] = set()
        self._logged_at = float("-inf")
        self._was_excess = False
        # The accounts whose weights the last log line named as invalid.
        self._invalid_weights: list[str] = []

    def note(self, view: PoolView, now: float) -> None:
        """Note a pool's view.

        :param now: monotonic seconds.
        """
        if view.arrivals_by_account is None:
            self._balancer.forget(view.service)
            return
        capacity_cpu = sum(
            executor.capacity_cpu
            for executor in view.executors
            if executor.up_to_date and not executor.draining
        )
        capacity = max(capacity_cpu - view.lasting_cpu, 0) / 1000
        self._balancer.note(view.service, view.arrivals_by_account, capacity, now)

    def plan(self, configuration: Configuration) -> None:
        """Decide the shares by what the pools reported last."""
        accounts = configuration.accounts
        if accounts is None or not self._features.has(Feature.ACCOUNT_SHARES):
            self._plan = None
            return
        self._forget_removed(configuration)
        self._log_invalid_weights(accounts.by_name)
        now = self._clock.monotonic()
        self._plan = self._balancer.plan(
            lambda name: accounts.by_name[name].weight if name in accounts.by_name else 1.0,
            self._standby_cores(configuration),
            now,
        )
        if self._plan is not None:
            self._report(self._plan, now)

    def add_to(self, request: PoolRequest) -> PoolRequest:
        """Return a request to a pool with the figures for it.

        A pool's owner that sends no counts may be of an older version, which can't read figures.
        """
        if self._plan is None or not self._balancer.has_counts(request.service):
            return request
        return request._replace(
            excess_by_account=self._plan.excess_by_account, excess_number=self._plan.number
        )

    def close(self) -> None:
        """Withdraw what was published, when the ownership ends."""
        metrics.account_arrivals.clear()
        metrics.account_shares.clear()

    def _forget_removed(self, configuration: Configuration) -> None:
        pools = {s.name for s in configuration.services_by_name.values() if not s.standby}
        for pool in self._pools - pools:
            self._balancer.forget(pool)
        self._pools = pools

    def _standby_cores(self, configuration: Configuration) -> float:
        machines = self._state.machines_by_id.values()
        return sum(
            machine.capacity.cpu / 1000
            for machine in machines
            if machine.state == UP and self._state.is_standby(machine.pool, configuration)
        )

    def _log_invalid_weights(self, accounts: dict[str, Account]) -> None:
        invalid = sorted(a.name for a in accounts.values() if valid_weight(a.weight) != a.weight)
        if invalid and invalid != self._invalid_weights:
            self._events.note(
                "account.weight_invalid",
                vital=True,
                accounts=invalid[:MAX_NAMED_ACCOUNTS],
                count=len(invalid),
                counts_as=1.0,
            )
        self._invalid_weights = invalid

    def _report(self, plan: SharePlan, now: float) -> None:
        """Publish the largest accounts, and log them once a second while any exceeds its share."""
        largest = plan.largest()
        metrics.account_arrivals.clear()
        metrics.account_shares.clear()
        for account in largest:
            labels = {"account": account}
            metrics.account_arrivals.record(plan.demands_by_account[account], labels)
            metrics.account_shares.record(plan.shares_by_account[account], labels)
        is_excess = bool(plan.excess_by_account)
        if not (is_excess or self._was_excess) or now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at, self._was_excess = now, is_excess
        self._events.note(
            "account.shares",
            number=plan.number.sequence,
            epoch=plan.number.epoch,
            capacity=plan.capacity,
            wanted=sum(plan.demands_by_account.values()),
            accounts=len(plan.demands_by_account),
            largest=[
                {
                    "account": account,
                    "wanted": round(plan.demands_by_account[account], 1),
                    "share": round(plan.shares_by_account[account], 1),
                    "excess": plan.excess_by_account.get(account, 0.0),
                }
                for account in largest
            ],
        )
