"""What result codes mean and what jobs are doing, in lines of text."""

from typing import Any

from . import status_codes
from .exceptions import MustardgapError
from .models import JobState
from .status_codes import Code


def explain_code(name: str) -> dict[str, Any]:
    """What a result code means and what to do.

    :param name: its number, with or without ``MG``, or its name.
    :raises MustardgapError: MG6003 when there is none.
    """
    code = _find(name)
    lines = [f"{code} {code.name}: {code.title}"]
    if code.advice:
        lines.append(f"What to do: {code.advice}")
    lines.append(f"HTTP status {code.http_status}, exit status {code.exit_status}")
    return {"lines": lines, "code": code.number, "name": code.name}


def explain_job(job: JobState) -> list[str]:
    """What a job is doing and why, from its folded state."""
    lines = [f"job {job['job']} is {job['phase']}{', cancelled' if job['cancelled'] else ''}"]
    for attempt in job["attempts"]:
        lines.append(f"attempt {attempt['number']} on {attempt['worker']}: {attempt['outcome']}")
    code = status_codes.by_number.get(job["code"])
    if job["phase"] == "ended" and code:
        lines.append(f"{code} {code.name}: {code.title}")
    elif job["phase"] == "waiting":
        lines.append("it waits for room on a worker within its team's quota, the urgent first")
    return lines


def _find(name: str) -> Code:
    number = name.upper().removeprefix("MG")
    for code in status_codes.by_number.values():
        if number == str(code.number) or name.lower() == code.name:
            return code
    raise MustardgapError(
        code=status_codes.NOT_FOUND, detail=f"no result code {name}", place=f"code/{name}"
    )
