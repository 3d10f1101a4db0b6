"""Crowds of callers that don't behave, and a watch over the process that they call."""

import asyncio
import json
import os
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

MEGABYTE = 1_000_000
# What the operator's configuration allows for a body, by default.
LEGAL_BODY_BYTES = 262_144
PIECE_BYTES = 16_384
CHUNK_BYTES = 65_536
# Files, beside which sockets and pipes share a process's descriptors.
RESERVED_DESCRIPTORS = 200
# How long a crowd may take to send what the daemon is willing to read.
SEND_TIMEOUT_S = 20.0
SAMPLE_INTERVAL_S = 0.01
LISTEN_STATE = "0A"


class Played(NamedTuple):
    """What one caller of a crowd sends, piece by piece."""

    pieces: list[bytes]


def _head(number: int, *lines: str, method: str = "POST") -> bytes:
    start = f"{method} /quotes/{number:016x} HTTP/1.1"
    return "\r\n".join([start, "Host: stairs.example", *lines, "", ""]).encode()


def _body(size: int) -> bytes:
    """A body that is no job: its payload is too long."""
    return b'{"spec":"' + b"p" * (size - 11) + b'"}'


def _announced(size: int, *, missing: int = 0, piece: int | None = None) -> Callable[[int], Played]:
    body = _body(size)[: size - missing]
    step = piece or len(body)
    pieces = [body[place : place + step] for place in range(0, len(body), step)]
    return lambda number: Played([_head(number, f"Content-Length: {size}"), *pieces])


def _chunked(chunk: bytes, count: int) -> Callable[[int], Played]:
    wire = b"%x\r\n%b\r\n" % (len(chunk), chunk) * count
    return lambda number: Played([_head(number, "Transfer-Encoding: chunked"), wire])


def _jobs(steps: int) -> Callable[[int], Played]:
    step = {"count": 1, "cpu": 1, "memMb": 1, "estimateMs": 500, "image": "i"}
    body = json.dumps({"spec": "p", "steps": [step] * steps}, separators=(",", ":")).encode()
    assert len(body) <= LEGAL_BODY_BYTES, len(body)
    return lambda number: Played([_head(number, f"Content-Length: {len(body)}"), body])


CROWDS: dict[str, Callable[[int], Played]] = {
    "whole bodies of legal size": _announced(LEGAL_BODY_BYTES),
    "bodies of legal size but for the last byte": _announced(LEGAL_BODY_BYTES, missing=1),
    "bodies in pieces of 16 KB but for the last byte": _announced(
        LEGAL_BODY_BYTES, missing=1, piece=PIECE_BYTES
    ),
    "bodies of 1 MB but for the last byte": _announced(1024 * 1024, missing=1),
    "bodies of 8 MB, announced": _announced(8 * 1024 * 1024),
    "chunks of 64 KB without the last one": _chunked(b"p" * CHUNK_BYTES, 4),
    "chunks of 64 KB up to 1 MB without an end": _chunked(b"p" * CHUNK_BYTES, 16),
    "40,000 chunks of 2 bytes without the last one": _chunked(b"pp", 40_000),
    "one byte each": lambda number: Played([b"P"]),
    "whole jobs of 3,800 steps": _jobs(3_800),
    "300 questions each and read no answer": lambda number: Played(
        [_head(number, method="GET") * 300]
    ),
}


class Crowd:
    """Callers that send and stay connected until they are told to leave.

    :param port: the daemon's port.
    :param connections: how many callers.
    :param what: the key of what they send.
    """

    def __init__(self, *, port: int, connections: int, what: str) -> None:
        self._port = port
        self._connections = connections
        self._make = CROWDS[what]
        self._sent = threading.Event()
        self._leaving = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._play()), daemon=True)

    def send(self) -> None:
        """Send everything that the daemon reads in time; the callers stay connected."""
        self._thread.start()
        self._sent.wait()

    def leave(self) -> None:
        """Close all connections."""
        self._leaving.set()
        self._thread.join()

    async def _play(self) -> None:
        callers = [
            asyncio.create_task(self._call(self._make(number)))
            for number in range(1, self._connections + 1)
        ]
        done, sending = await asyncio.wait(callers, timeout=SEND_TIMEOUT_S)
        self._sent.set()
        await asyncio.to_thread(self._leaving.wait)
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        for task in done:
            writer = task.result()
            if writer is not None:
                writer.transport.abort()

    async def _call(self, played: Played) -> asyncio.StreamWriter | None:
        writer = None
        try:
            # Read by nobody: a caller that doesn't behave takes no notice of its answer.
            _, writer = await asyncio.open_connection("127.0.0.1", self._port)
            for piece in played.pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
        except OSError:
            # Refused or closed by the daemon, which is allowed.
            pass
        except asyncio.CancelledError:
            if writer is not None:
                writer.transport.abort()
            raise
        return writer


class Watch:
    """Follows the memory and the sockets of a process.

    :param pid: the process.
    :param ports: the ports on which it receives.
    """

    def __init__(self, *, pid: int, ports: list[int]) -> None:
        self.most_bytes = 0
        self.most_sockets = 0
        self._pid = pid
        self._ports = {f"{port:04X}" for port in ports}
        self._ending = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def end(self) -> None:
        """Follow the process no longer."""
        self._ending.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._ending.is_set():
            try:
                self._sample()
            except FileNotFoundError:
                # The process has ended, which the test looks at itself.
                return
            time.sleep(SAMPLE_INTERVAL_S)

    def _sample(self) -> None:
        status = Path(f"/proc/{self._pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        if "VmRSS" not in fields:
            raise FileNotFoundError
        resident = int(fields["VmRSS"].split()[0]) * 1024
        peak = int(fields["VmHWM"].split()[0]) * 1024
        self.most_bytes = max(self.most_bytes, peak, resident + self._unread())
        self.most_sockets = max(self.most_sockets, self._sockets())

    def _unread(self) -> int:
        """Bytes that the kernel holds for the process."""
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues = line.split()[:5]
            if state != LISTEN_STATE and local.rpartition(":")[2] in self._ports:
                total += int(queues.partition(":")[2], 16)
        return total

    def _sockets(self) -> int:
        folder = f"/proc/{self._pid}/fd"
        return sum(map(_is_socket, (f"{folder}/{name}" for name in os.listdir(folder))))


def _is_socket(path: str) -> bool:
    try:
        return os.readlink(path).startswith(("socket:", "pipe:"))
    except FileNotFoundError:
        # Closed meanwhile.
        return False
