"""The daemon: builds the parts of an entry host, runs them under a supervisor and stops them."""

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
from .readiness import is_current
from .settings import Settings
from .status_codes import Code
from .supervisors import Supervisor

READINESS_PERIOD_S = 0.25
START_TIMEOUT_S = 10.0
SLOTS_TIMEOUT_S = 5.0


class Daemon:
    """The process of one entry host.

    :param settings: the validated settings.
    """

    def __init__(self, *, settings: Settings) -> None:
        self.settings = settings
        self.parts = Parts(settings=settings)
        self.readiness = self.parts.readiness
        self._root = Supervisor(name="daemon")
        observers.observe_restarts(self._root)
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Serve until a signal requests a stop, then stop gracefully.

        :raises MustardgapError: MG2003 to MG2006, the daemon can't start or can't continue.
        """
        self._handle_signals()
        self.parts.open()
        for name, run in self._children().items():
            self._root.start_child(name, run)
        try:
            await self._wait_for_first(self._root.run(), self._start())
            await self._wait_for_first(self._root.run(), self._stop.wait())
            await self._wait_for_first(self._root.run(), self._stop_gracefully())
        finally:
            # While the parts still run that know the outcomes of the requests in flight.
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

        Without the state a daemon would refuse everything. It exits instead, so that the platform
        starts it again and operators see the exit status.

        :raises MustardgapError: the state isn't known within ``START_TIMEOUT_S``.
        """
        self.parts.timers.subscribe("readiness", READINESS_PERIOD_S, self._check_current)
        clock = self.parts.timers.clock
        deadline = clock.monotonic() + START_TIMEOUT_S
        while not self._is_current() and not self._stop.is_set():
            if clock.monotonic() > deadline:
                place = f"platform {self.settings.platform.address}"
                raise MustardgapError(
                    code=status_codes.PLATFORM_AT_START,
                    detail=f"no state from log or peers within {START_TIMEOUT_S:g} s",
                    place=place,
                )
            await clock.sleep(READINESS_PERIOD_S / 5)
        await self._wait_for_slots()
        self.readiness.clear("daemon")

    async def _wait_for_slots(self) -> None:
        """Wait for a limited time until slots of the services can be acquired here.

        The balancer would otherwise send requests that wait a second for the first lease. If no
        owner is reachable, this entry host must still become ready and refuse what it can't run.
        """
        clock = self.parts.timers.clock
        deadline = clock.monotonic() + SLOTS_TIMEOUT_S
        sharing = self.parts.slots.sharing
        while isinstance(sharing, Broker) and not sharing.is_settled():
            if clock.monotonic() > deadline or self._stop.is_set():
                return
            await clock.sleep(READINESS_PERIOD_S / 5)

    async def _wait_for_first(self, *awaitables: Awaitable[object]) -> None:
        tasks = [asyncio.ensure_future(awaitable) for awaitable in awaitables]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()

    async def _stop_gracefully(self) -> None:
        """Stop gracefully: become unready, take no new work, then finish what is in flight.

        A step that fails is logged, and the next ones still run. Without them, callers would be
        cut off, ends of claims be missing on the log, and peers send work to a host that is gone.
        Each step checks for itself what there is to do, so none depends on an earlier one.
        """
        for name, step in self._stop_steps().items():
            try:
                await cancellations.run_part(step)
            except Exception:
                logging.exception(
                    "%s failed while the daemon was stopping; the next steps still run", name
                )

    def _stop_steps(self) -> dict[str, Callable[[], Awaitable[object]]]:
        parts = self.parts
        step_timeout_s = self.settings.stop_timeout_s / 4
        return {
            "readiness.stop": self._stop_readiness,
            "presence.leave": parts.presence.leave,
            "callers.drain": parts.callers.drain,
            "enrolment.leave": partial(
                parts.enrolment.leave, parts.slots.sharing, timeout_s=step_timeout_s
            ),
            "keys.flush": partial(parts.keys.flush, timeout_s=step_timeout_s),
            "actors.settle": parts.actors.settle,
            "presence.withdraw": parts.presence.withdraw,
        }

    async def _stop_readiness(self) -> None:
        self.readiness.stop()
        self.parts.timeline.add("daemon.stopping")

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop.set)

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
        return log.current and is_current(
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
