"""Counts arrivals, refusals and machines by client account and pool, under bounded labels."""

from . import metrics
from .job_replies import JobReply

# Replies with other statuses of 400 and above don't refuse a job: it is unknown, or may have been
# stored.
REFUSAL_STATUSES = frozenset({401, 403, 429, 503})

_accounts = metrics.BoundedLabels()
_pools = metrics.BoundedLabels()


def count_submission(*, account: str, reply: JobReply) -> None:
    """Count a submission and, by its cause, a refusal.

    :param account: the client account, empty without one.
    :param reply: what the caller is told.
    """
    label = _accounts.label(account)
    if label:
        metrics.submitted_jobs.add(1, {"account": label})
    if reply.code.http_status in REFUSAL_STATUSES:
        metrics.refused_jobs.add(1, {"cause": reply.code.name, "account": label})


def set_machines(*, pool: str, wanted: float, had: int) -> None:
    """Record how many machines a pool wants and has."""
    label = _pools.label(pool)
    if label != metrics.OTHER_LABEL:
        metrics.pool_machines.record(wanted, {"pool": label, "kind": "wanted"})
        metrics.pool_machines.record(had, {"pool": label, "kind": "had"})
