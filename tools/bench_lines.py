"""Benchmark of the structured lines: bytes and processor time at 1, 5 and 20 times the load."""

import os
import threading
import time
from collections.abc import Iterator

import click

from mustardgap.events import LINES_PER_S, EventLog
from mustardgap.timers import Clock

from .rows import Row, at_most

LOADS = (1, 5, 20)
# The busiest of 8 daemons wrote 99 lines, 21 KB, a second over 35 s of a day with trouble.
USUAL_LINES_PER_S = 100.0
SECONDS, QUICK_SECONDS = 60.0, 10.0
# The bound of lines a second, at the length of the longest usual line.
MAX_BYTES_PER_S = LINES_PER_S * 600


class _HandClock(Clock):
    """A clock that is moved by hand, so that a minute's load is noted at once."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        """Seconds that were passed by hand."""
        return self.now

    def wall(self) -> float:
        """Seconds since the epoch."""
        return 1_800_000_000.0 + self.now


class _Reader(threading.Thread):
    """Reads what is written, and counts its bytes."""

    def __init__(self, *, descriptor: int) -> None:
        super().__init__(daemon=True)
        self.size = 0
        self._descriptor = descriptor

    def run(self) -> None:
        """Read to the end."""
        while chunk := os.read(self._descriptor, 1 << 20):
            self.size += len(chunk)


def rows(quick: bool) -> Iterator[Row]:
    """All rows, for each load."""
    seconds = QUICK_SECONDS if quick else SECONDS
    for load in LOADS:
        size, noted, cpu_s = _write(load * USUAL_LINES_PER_S, seconds)
        yield Row(
            f"lines at {load} times the load",
            size / seconds,
            "B/s",
            note=f"{noted} lines noted in {seconds:.0f} s",
            **at_most(size / seconds, MAX_BYTES_PER_S, f"at most {MAX_BYTES_PER_S:.0f} B/s"),
        )
        yield Row(
            f"processor time for lines at {load} times the load",
            100 * cpu_s / seconds,
            "% of a core",
            note=f"{1e6 * cpu_s / noted:.1f} us a line",
        )


def _write(lines_per_s: float, seconds: float) -> tuple[int, int, float]:
    """Note a mix of lines through a pipe; gives the bytes read, the lines and processor seconds."""
    clock = _HandClock()
    read_end, write_end = os.pipe()
    reader = _Reader(descriptor=read_end)
    reader.start()
    log = EventLog(host="edge-hall-1", clock=clock, descriptor=write_end)
    noted = int(lines_per_s * seconds)
    began = time.thread_time()
    for number in range(noted):
        clock.now = number / lines_per_s
        _note(log, number)
    cpu_s = time.thread_time() - began
    os.close(write_end)
    reader.join()
    os.close(read_end)
    return reader.size, noted, cpu_s


def _note(log: EventLog, number: int) -> None:
    job = f"{number // 20:016x}"
    task = (job, 0, 0, number % 10)
    if number % 20 == 0:
        log.note("job.accepted", job=job, queue="quotes", service="quoting", shard=3, epoch=7)
    elif number % 20 < 10:
        log.note(
            "run.start",
            job=job,
            task=task,
            run=number,
            executor="i-281e802187",
            free_cpu=64_000,
            failures=0,
            fence=7,
            waited_s=0.0214,
        )
    else:
        log.note("run.end", job=job, task=task, run=number, executor="i-281e802187", how="DONE")


@click.command()
@click.option("--quick", is_flag=True, help="A sixth of the time.")
def main(quick: bool) -> None:
    """Measure the structured lines."""
    for row in rows(quick):
        click.echo(f"{row.name}: {row.value:.2f} {row.unit} ({row.note}) {row.target} {row.met}")


if __name__ == "__main__":
    main()
