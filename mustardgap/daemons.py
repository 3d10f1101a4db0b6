"""The daemon: builds the parts of an entry host, runs them as a supervisor tree, stops them."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from functools import partial

import click
from absl import logging

from . import cancellations, logs, observers, settings, status_codes
from .__version__ import __version__
from .brokers import Broker
from .exceptions import MustardgapError
from .parts import Parts
from .readiness import current
from .settings import Settings
from .status_codes import Code
from .supervisors import Supervisor

READINESS_S = 0.25
STARTING_S = 10.0
SETTLING_S = 5.0


class Daemon:
    """One entry host's process.

    :param settings: the checked settings.
    """

    def __init__(self, *, settings: Settings) -> None:
        self.settings = settings
        self.parts = Parts(settings=settings)
        self.readiness = self.parts.readiness
        self._root = Supervisor(name="daemon")
        observers.observe_restarts(self._root)
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Serve until told to stop, then stop gracefully.

        :raises MustardgapError: MG2003 to MG2006, the daemon can't start or can't go on.
        """
        self._handle_signals()
        self.parts.open()
        for name, run in self._children().items():
            self._root.start_child(name, run)
        try:
            await self._first(self._root.run(), self._start())
            await self._first(self._root.run(), self._stop.wait())
            await self._first(self._root.run(), self._leave())
        finally:
            # Before the parts stop that know what became of the requests under way.
            await self.parts.callers.cut_off()
            await self._root.stop()
            self.parts.close()

    def _children(self) -> dict[str, Callable[[], Awaitable[None]]]:
        parts = self.parts
        children: dict[str, Callable[[], Awaitable[None]]] = {
            "timers": parts.timers.run,
            "log": parts.log.run,
            "presence": parts.presence.run,
            "peers": parts.peers.run,
            "relays": parts.relays.run,
            "workers": parts.workers.run,
            "keys": parts.keys.run,
            "slots": parts.slots.run,
            "actors": parts.actors.run,
            "operators": parts.operators.run,
            "callers": parts.callers.run,
        }
        if isinstance(parts.slots.sharing, Broker):
            children["enrolment"] = parts.enrolment.run
            children["broker"] = parts.slots.sharing.run
        return children

    async def _start(self) -> None:
        """Wait until the state is known, from the log or from a peer.

        A daemon that can't know it would refuse everything; ending tells the platform that starts
        it, which tries again, and its own operators, who see the exit status.
        """
        self.parts.timers.subscribe("readiness", READINESS_S, self._check_current)
        clock = self.parts.timers.clock
        deadline = clock.monotonic() + STARTING_S
        while not self._is_current() and not self._stop.is_set():
            if clock.monotonic() > deadline:
                place = f"platform {self.settings.platform.address}"
                raise MustardgapError(
                    code=status_codes.PLATFORM_AT_START,
                    detail=f"no state from log or peers within {STARTING_S:g} s",
                    place=place,
                )
            await clock.sleep(READINESS_S / 5)
        await self._settle()
        self.readiness.clear("daemon")

    async def _settle(self) -> None:
        """Wait until the services' slots can be had here, but not for long.

        The balancer would otherwise send requests that wait a second for the first lease. With no
        home in reach this entry host must become ready all the same, and refuse what it can't run.
        """
        clock = self.parts.timers.clock
        deadline = clock.monotonic() + SETTLING_S
        way = self.parts.slots.sharing
        while isinstance(way, Broker) and not way.is_settled():
            if clock.monotonic() > deadline or self._stop.is_set():
                return
            await clock.sleep(READINESS_S / 5)

    async def _first(self, *waits: Awaitable[object]) -> None:
        tasks = [asyncio.ensure_future(wait) for wait in waits]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()

    async def _leave(self) -> None:
        """Stop gracefully: unready first, then no new work, then end what is in flight.

        A step that fails leaves a line, and the next ones are taken. Left out, callers would be
        cut off, ends of claims be missing on the log, and the others send work to a host that is
        gone. Each step looks for itself at what is to be done, so none needs one before it.
        """
        for name, step in self._leaving_steps().items():
            try:
                await cancellations.run_part(step)
            except Exception:
                logging.exception("%s failed as the daemon was stopping; the stop goes on", name)

    def _leaving_steps(self) -> dict[str, Callable[[], Awaitable[object]]]:
        parts = self.parts
        part_s = self.settings.stop_timeout_s / 4
        return {
            "readiness.stop": self._stop_readiness,
            "presence.leave": parts.presence.leave,
            "callers.drain": parts.callers.drain,
            "enrolment.leave": partial(
                parts.enrolment.leave, parts.slots.sharing, timeout_s=part_s
            ),
            "keys.flush": partial(parts.keys.flush, timeout_s=part_s),
            "actors.settle": parts.actors.settle,
            "presence.withdraw": parts.presence.withdraw,
        }

    async def _stop_readiness(self) -> None:
        self.readiness.stop()
        self.parts.timeline.add("daemon.stopping")

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)

    def _check_current(self) -> None:
        if self._is_current():
            self.readiness.clear("log")
        else:
            code = self.parts.log.why_not_current or status_codes.LOG_UNAVAILABLE
            self.readiness.block("log", f"{code} {code.title}")

    def _is_current(self) -> bool:
        log, members = self.parts.log, self.parts.members
        known = members.electorate()
        reachable = known & {m.host for m in members.live()}
        return log.current and current(
            age_s=log.seconds_since_confirmed(),
            stale_after_s=self.settings.platform.stale_after_s,
            reachable=len(reachable),
            known=len(known),
        )


async def _run(checked: Settings) -> None:
    await Daemon(settings=checked).run()


@click.command(name="mustardgapd")
@click.option("--settings", "path", required=True, help="The settings file, JSON with comments.")
@click.option("--check", is_flag=True, help="Only check the settings.")
@click.version_option(__version__, prog_name="mustardgapd")
def main(path: str, check: bool) -> None:
    """Run one entry host of mustardgap.

    Example: mustardgapd --settings /etc/mustardgap/e1.json
    """
    try:
        checked = settings.load(path)
        if check:
            click.echo(f"{path}: valid")
            return
        logs.set_up(host=checked.host, verbosity=checked.verbosity)
        asyncio.run(_run(checked))
    except MustardgapError as exc:
        _fail(exc.code, str(exc))


def _fail(code: Code, text: str) -> None:
    logging.flush()
    advice = f"; {code.advice}" if code.advice else ""
    click.echo(f"error: {text}{advice}", err=True)
    sys.exit(code.exit_status)


if __name__ == "__main__":
    main()
