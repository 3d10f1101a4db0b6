"""Runs the command line in this process, as a shell would see it."""

import contextlib
import io
import os
from typing import NamedTuple
from unittest import mock

from mustardgap import commands


class Result(NamedTuple):
    """What a shell sees of a command."""

    args: tuple[str, ...]
    status: int
    stdout: str
    stderr: str


def run_command(*args, entries=(), env=None):
    """Run ``mustardgap`` with arguments.

    :param entries: the operators' ports to talk to.
    :param env: environment variables to add.
    :rtype: Result
    """
    named = [word for entry in entries for word in ("--entry", entry)]
    words = [*named, *map(str, args)]
    stdout, stderr = _stream(), _stream()
    with (
        contextlib.redirect_stdout(stdout),
        contextlib.redirect_stderr(stderr),
        mock.patch.dict(os.environ, {"MUSTARDGAP_ENTRY": "", **(env or {})}),
    ):
        try:
            status = commands.invoke(words)
        except SystemExit as exc:
            # Click ends the process itself when it has printed completions.
            status = int(exc.code or 0)
    return Result(tuple(words), status, _text(stdout), _text(stderr))


def _stream():
    return io.TextIOWrapper(io.BytesIO(), encoding="utf-8")


def _text(stream):
    stream.flush()
    return stream.buffer.getvalue().decode()
