"""Starting and ending the separate processes of demo, tests and benchmarks on loopback."""

import functools
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple
from urllib.error import URLError
from urllib.request import urlopen

ROOT = Path(__file__).resolve().parent.parent
FIRST_PORT = 12_000
LAST_PORT = 32_000
PORTS_PER_BLOCK = 399


def free_ports(count: int) -> list[int]:
    """Hand out TCP ports on loopback that nobody listens on now.

    Ports that the kernel picks for a moment can be taken by an outgoing connection, or by another
    run, before their process listens: a start then fails now and then. So these lie below the
    kernel's own range, and each run keeps a block of them for itself by listening on its first.

    :param count: how many.
    :rtype: list
    """
    candidates = (next(_block().ports) for _ in range(PORTS_PER_BLOCK))
    ports = list(itertools.islice(filter(_is_free, candidates), count))
    if len(ports) < count:
        raise OSError(f"only {len(ports)} of {count} ports are free")
    return ports


class _Block(NamedTuple):
    guard: socket.socket
    ports: Iterator[int]


@functools.cache
def _block() -> _Block:
    bases = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK + 1))
    random.shuffle(bases)
    for base in bases:
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", base))
            guard.listen()
        except OSError:
            guard.close()
            continue
        return _Block(guard, itertools.cycle(range(base + 1, base + 1 + PORTS_PER_BLOCK)))
    raise OSError("all blocks of ports are taken")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Processes:
    """The processes that one run has started, each by name; only these are ever ended.

    :param folder: where each process's output is written.
    """

    def __init__(self, *, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.by_name: dict[str, subprocess.Popen[bytes]] = {}

    def start(
        self, name: str, module: str, *args: str, variables: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        """Start ``python -m module args`` under a name; its output goes to ``<name>.log``.

        :param variables: environment variables beside those of this process.
        """
        with open(self.folder / f"{name}.log", "ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *args],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1", **(variables or {})},
            )
        self.by_name[name] = process
        return process

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that still runs."""
        if self.by_name[name].poll() is None:
            self.by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.signal(name, signal.SIGKILL)
        self.by_name[name].wait(timeout=10)

    def stop(self, name: str, timeout_s: float = 40.0) -> int:
        """Ask a process to end and wait for it.

        :return: its exit status.
        """
        self.signal(name, signal.SIGTERM)
        try:
            return self.by_name[name].wait(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            self.kill(name)
            return -signal.SIGKILL

    def freeze(self, name: str) -> None:
        """Stop a process from running, without ending it."""
        self.signal(name, signal.SIGSTOP)

    def wake(self, name: str) -> None:
        """Let a frozen process run on."""
        self.signal(name, signal.SIGCONT)

    def is_running(self, name: str) -> bool:
        """Whether a process hasn't ended."""
        return self.by_name[name].poll() is None

    def stop_all(self) -> None:
        """End every process of this run, frozen ones too."""
        for name, process in reversed(self.by_name.items()):
            if process.poll() is None:
                self.signal(name, signal.SIGCONT)
                self.kill(name)

    def output(self, name: str) -> str:
        """What a process has written so far."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")


def wait_http(
    url: str, *, timeout_s: float = 20.0, running: Callable[[], bool] = lambda: True
) -> None:
    """Wait until a URL answers 200.

    :param running: whether the process that should answer hasn't ended.
    :raises TimeoutError: it didn't in time, or its process has ended.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            with urlopen(url, timeout=1.0) as resp:
                if resp.status == 200:
                    return
        except (URLError, OSError):
            pass
        if not running():
            raise TimeoutError(f"{url} won't answer: its process has ended")
        if time.monotonic() > deadline:
            raise TimeoutError(f"{url} didn't answer 200 within {timeout_s} s")
        time.sleep(0.05)


def get_json(url: str) -> Any:
    """Get a URL and decode its JSON.

    :raises OSError: there is no answer, or none of success.
    """
    with urlopen(url, timeout=10.0) as resp:
        return json.load(resp)
