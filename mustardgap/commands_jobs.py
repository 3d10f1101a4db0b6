"""Commands about jobs."""

import uuid
from typing import Any

import click

from . import status_codes
from .clients import Client
from .codecs import Undecodable, convert
from .command_options import NameType, SecondsType, cli, emit, options, run
from .exceptions import MustardgapError
from .explanations import explain_job
from .models import JobSpec
from .outputs import Progress, print_lines, print_table
from .settings import read_json


@cli.group()
def jobs() -> None:
    """Submit, watch and cancel jobs."""


@jobs.command()
@click.argument("file", metavar="FILE", type=click.Path())
@click.option("--id", "job", default="", help="The job's id; made up when missing.")
@click.option("--wait", is_flag=True, help="End when the job has ended.")
@click.option("--timeout", type=SecondsType(0.1, 86_400), default=600.0, show_default=True)
def submit(file: str, job: str, wait: bool, timeout: float) -> None:
    """Submit the job in FILE (JSON with comments).

    The same id can be sent again without harm: the job is accepted once.

    \b
    Example: mustardgap jobs submit reconcile.json5 --id reconcile-42 --wait
    """
    spec = _read_spec(file)
    job = job or f"job-{uuid.uuid4().hex[:12]}"

    async def call(client: Client) -> dict[str, Any]:
        answer = await client.submit(job, spec)
        if wait:
            answer["state"] = await _wait_end(client, job, timeout)
        return answer

    answer = run(call)
    emit(answer, lambda: _show_submitted(answer))
    state = answer.get("state")
    code = status_codes.by_number.get(state["code"]) if state else None
    if code:
        click.get_current_context().exit(code.exit_status)


@jobs.command("status")
@click.argument("job", type=NameType("jobs"))
def job_status(job: str) -> None:
    """Show one job with its attempts.

    \b
    Example: mustardgap jobs status reconcile-42
    """
    answer = run(lambda client: client.items("jobs", job))
    emit(answer, lambda: _show_job(answer["items"][job]))


@jobs.command("list")
@click.option("--team", default="", help="Only jobs of this team.")
@click.option("--phase", default="", help="Only jobs in this phase, such as waiting or ended.")
def list_jobs(team: str, phase: str) -> None:
    """List the jobs.

    \b
    Example: mustardgap jobs list --team ledger --phase waiting
    """
    answer = run(lambda client: client.items("jobs"))
    items = {
        name: job
        for name, job in answer["items"].items()
        if (not team or job["spec"]["team"] == team) and (not phase or job["phase"] == phase)
    }
    answer["items"] = items
    columns = ["job", "team", "urgency", "phase", "attempts", "worker", "code"]
    rows = [_row(job) for job in items.values()]
    emit(answer, lambda: print_table(columns, rows))


@jobs.command()
@click.argument("names", metavar="JOB...", nargs=-1, required=True, type=NameType("jobs"))
def cancel(names: tuple[str, ...]) -> None:
    """Cancel jobs; one that has ended stays as it is.

    \b
    Example: mustardgap jobs cancel reconcile-41 reconcile-42
    """
    answer = run(lambda client: client.cancel(list(names)))
    codes = {job: status_codes.by_number[number] for job, number in answer["codes"].items()}
    rows = [(job, f"{code} {code.name}") for job, code in codes.items()]
    emit(answer, lambda: print_table(["job", "result"], rows))
    worst = max((code.exit_status for code in codes.values()), default=0)
    click.get_current_context().exit(worst)


def _read_spec(file: str) -> JobSpec:
    try:
        return convert(read_json(file), JobSpec)
    except Undecodable as exc:
        detail, _, where = str(exc).partition(" - at `$")
        place = f"{file}:{where.rstrip('`').lstrip('.')}".rstrip(":")
        raise MustardgapError(
            code=status_codes.DECLARATION_INVALID, detail=detail, place=place
        ) from None


async def _wait_end(client: Client, job: str, timeout_s: float) -> dict[str, Any]:
    progress = Progress(quiet=options().json)

    def show(state: dict[str, Any]) -> None:
        progress.show(f"job {job}: {state['phase']}, {len(state['attempts'])} attempts")

    try:
        return await client.wait_job(job, timeout_s=timeout_s, progress=show)
    finally:
        progress.end()


def _show_submitted(answer: dict[str, Any]) -> None:
    click.echo(f"job {answer['job']} accepted at offset {answer['offset']}")
    if "state" in answer:
        _show_job(answer["state"])


def _show_job(job: Any) -> None:
    print_lines(explain_job(job))


def _row(job: dict[str, Any]) -> tuple[object, ...]:
    last = job["attempts"][-1]["worker"] if job["attempts"] else ""
    code = f"MG{job['code']}" if job["phase"] == "ended" else ""
    spec = job["spec"]
    attempts = len(job["attempts"])
    return job["job"], spec["team"], spec["urgency"], job["phase"], attempts, last, code
