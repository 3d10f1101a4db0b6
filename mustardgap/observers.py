"""Connects the metrics that are read at a scrape to the parts of the daemon."""

from . import budgets, metrics
from .members import Member, Members
from .peers import Peers
from .readiness import Readiness
from .states import State
from .streams import Log
from .supervisors import Supervisor
from .timers import Timers

OUT_OF_SERVICE_PHASES = ("draining", "drained", "rebooting", "failed", "set_aside")


def observe(
    *, log: Log, members: Members, peers: Peers, readiness: Readiness, timers: Timers
) -> None:
    """Register callbacks that read metrics from these parts of the daemon."""
    metrics.observe("mustardgap.log.offset", lambda: log.offset)
    metrics.observe("mustardgap.log.age", log.seconds_since_confirmed)
    metrics.observe("mustardgap.members.live", lambda: len(members.live()))
    metrics.observe("mustardgap.ready", lambda: int(readiness.ready))
    metrics.observe("mustardgap.peers.sent", lambda: peers.sent_bytes)
    metrics.observe("mustardgap.peers.received", lambda: peers.received_bytes)
    metrics.observe("mustardgap.hosts.out", lambda: count_hosts_out_of_service(log.state))
    metrics.observe("mustardgap.budget.breaches", lambda: count_budget_breaches(log.state))
    members.on_change(_count_change)
    timers.on_gap(lambda lost: metrics.process_gaps.add(1))


def observe_restarts(supervisor: Supervisor) -> None:
    """Register a callback that reads how often the supervisor restarted a part."""
    metrics.observe("mustardgap.child.restarts", lambda: supervisor.restarts)


def count_hosts_out_of_service(state: State) -> int:
    """Return how many hosts of pools are out of service."""
    hosts = state.hosts_by_name.values()
    return sum(host["pool"] != "" and host["phase"] in OUT_OF_SERVICE_PHASES for host in hosts)


def count_budget_breaches(state: State) -> int:
    """Return how many services are below their availability budget."""
    return sum(budgets.margin(state, service) < 0 for service in state.declared("service"))


def _count_change(member: Member, previous: Member | None) -> None:
    metrics.member_changes.add(1, {"state": member.state.name})
