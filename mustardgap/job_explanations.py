"""Why jobs waited or were refused, in lines of text, from the log lines of all daemons."""

from collections import Counter
from collections.abc import Sequence

from . import account_costs
from .job_facts import JobFacts, Refusal, Verdict, collect
from .job_histories import Line, history
from .wait_causes import WaitIndex

# An account's refusals, windows and waits are named up to this many each, the most first.
MAX_NAMED = 10
# Accounts to compare with; what an account suffers is usually caused by a few large ones.
MAX_COMPARED = 3
# Smaller gaps aren't worth telling: hosts' clocks are kept within some hundredths of a second.
MIN_CLOCK_GAP_S = 0.1


def explain_job(lines: Sequence[Line], job_id: str) -> list[str]:
    """Explain why a job waited or was refused, and show its history.

    :param lines: the lines of all daemons, by time.
    :param job_id: the job's id.
    """
    jobs_by_id = collect(lines)
    job = jobs_by_id.get(job_id)
    if job is None:
        return history(lines, job_id)
    index = WaitIndex(lines=lines, jobs_by_id=jobs_by_id)
    account = f", account {job.account}" if job.account else ""
    found = [f"job {job_id} of queue {job.queue or 'unknown'}{account}"]
    found += _refusal_lines(job)
    found += _end_lines(job)
    found += _wait_lines(job, index)
    found += _clock_lines(index)
    return [*found, "", *history(lines, job_id)]


def explain_account(lines: Sequence[Line], account: str) -> list[str]:
    """Explain why the jobs of a client account waited or were refused.

    :param lines: the lines of all daemons, by time.
    :param account: the account's name.
    """
    jobs_by_id = collect(lines)
    jobs = [job for job in jobs_by_id.values() if job.account == account]
    if not jobs:
        return [f"no log line mentions a job of account {account}"]
    index = WaitIndex(lines=lines, jobs_by_id=jobs_by_id)
    found = [
        f"account {account}: {_verdicts(cost.verdicts)}" for cost in account_costs.by_account(jobs)
    ]
    found = found or [f"account {account}: only jobs that were cancelled or have lasting tasks"]
    found += [
        f"queue {cost.group[1]}: {_verdicts(cost.verdicts)}"
        for cost in account_costs.by_queue(jobs)
    ]
    found += _account_refusal_lines(jobs)
    found += _account_wait_lines(jobs, index)
    start = lines[0].time
    found += [
        f"submitted from {cost.group[1]} s on: {_verdicts(cost.verdicts)}"
        for cost in account_costs.by_window(jobs, start)[:MAX_NAMED]
        if cost.missed
    ]
    found += _other_account_lines(jobs_by_id, account)
    left_out = sum(line.fields.get("left_out", 0) for line in lines)
    if left_out:
        found.append(f"{left_out} lines were left out, so that these numbers may be too low")
    return found + _clock_lines(index)


def _refusal_lines(job: JobFacts) -> list[str]:
    returns = job.returns_by_refusal()
    found = []
    for number, refusal in enumerate(job.refusals):
        back = returns.get(number)
        came = f", came back after {back.actual_s:.2f} s" if back else ""
        found.append(
            f"refused at {refusal.at - job.at:.3f} s by {refusal.host}: "
            f"{_refusal_text(refusal)}{_promise(refusal)}{came}"
        )
    return found


def _refusal_text(refusal: Refusal) -> str:
    parts = [f"{refusal.code} {refusal.why}".strip()]
    if refusal.forecast_s is not None and refusal.limit_s is not None:
        parts.append(
            f"it would have ended after {refusal.forecast_s:.1f} s, "
            f"of use is an end within {refusal.limit_s:.1f} s"
        )
    return "; ".join(part for part in parts if part)


def _promise(refusal: Refusal) -> str:
    if refusal.retry_after_s is None:
        return ""
    return f"; told to come back after {refusal.retry_after_s:g} s"


def _end_lines(job: JobFacts) -> list[str]:
    if not job.is_accepted:
        return [] if job.refusals else ["no line tells that it was accepted"]
    missing = [] if job.accepted else ["the line on its acceptance is missing"]
    if not job.phase:
        return [*missing, "no line tells of its end"]
    ended = f"{job.phase.lower()} {job.age_s:.2f} s after its acceptance"
    if job.verdict in (Verdict.IN_TIME, Verdict.LATE, Verdict.USELESS):
        objective = f", objective {job.objective_s:.2f} s" if job.has_objective else ""
        ended = f"{ended}{objective}: {job.verdict}"
    elif job.ended is not None and job.ended.fields.get("why"):
        ended = f"{ended}: {job.ended.fields['why']}"
    return [*missing, ended]


def _wait_lines(job: JobFacts, index: WaitIndex) -> list[str]:
    wait = index.wait_of(job)
    if wait is None:
        is_unknown = job.has_started and job.first_start is None
        return ["the line on the start of its first task is missing"] if is_unknown else []
    waited_s = wait.until - wait.since
    spare = f", of which it could spare {job.slack_s:.2f} s" if job.has_objective else ""
    if job.first_start is None:
        found = [f"no task of it was seen to start in {waited_s:.2f} s:"]
    else:
        found = [f"its first task waited {waited_s:.2f} s{spare}:"]
    found += [f"  {cause.text}" for cause in index.causes(job, wait)]
    left_out = index.left_out(wait)
    if left_out:
        found.append(f"  {left_out} lines were left out about then; more may have caused it")
    return found


def _clock_lines(index: WaitIndex) -> list[str]:
    if index.clock_gap_s < MIN_CLOCK_GAP_S:
        return []
    return [
        f"the clocks of two hosts differ by at least {index.clock_gap_s:.2f} s: times of different "
        "hosts don't compare, and causes are looked for in a time as much longer"
    ]


def _account_refusal_lines(jobs: Sequence[JobFacts]) -> list[str]:
    found = []
    for refused in account_costs.refusals(jobs)[:MAX_NAMED]:
        back = ""
        if refused.returns:
            back = (
                f"; {refused.returns} came back, on average told {refused.promised_s:.1f} s, "
                f"after {refused.actual_s:.1f} s"
            )
        reason = f"{refused.code} {refused.why}".strip()
        found.append(f"refused {refused.refused} times in queue {refused.queue}: {reason}{back}")
    return found


def _account_wait_lines(jobs: Sequence[JobFacts], index: WaitIndex) -> list[str]:
    counts = account_costs.waits(jobs, index)
    found = [
        f"waited for {cause}, in queue {queue}: {count}"
        for (_, queue, cause), count in counts.most_common(MAX_NAMED)
    ]
    started: Counter[str] = Counter()
    for job in account_costs.counted(jobs):
        wait = index.wait_of(job)
        if wait is not None:
            started += index.started_meanwhile(job, wait)
    if started:
        named = ", ".join(
            f"{count} of {name or account_costs.NO_ACCOUNT}"
            for name, count in started.most_common(MAX_COMPARED)
        )
        found.append(f"tasks that started in their pools while they waited, for each job: {named}")
    return found


def _other_account_lines(jobs_by_id: dict[str, JobFacts], account: str) -> list[str]:
    """Compare the account with those that submitted the most jobs."""
    costs = account_costs.by_account(jobs_by_id.values())
    others = [cost for cost in costs if cost.group[0] != account]
    others.sort(key=lambda cost: -cost.verdicts.total())
    return [
        f"for comparison, account {cost.group[0]}: {_verdicts(cost.verdicts)}"
        for cost in others[:MAX_COMPARED]
    ]


def _verdicts(counts: Counter[Verdict]) -> str:
    named = ", ".join(f"{counts[verdict]} {verdict}" for verdict in Verdict if counts[verdict])
    return f"{counts.total()} jobs: {named}"
