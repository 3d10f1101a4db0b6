"""Writing the membership of entry hosts to the log: join, leave, and who is gone."""

from absl import logging

from .brokers import Broker
from .duties import Duties
from .entries import Entries
from .exceptions import MustardgapError
from .members import Members
from .models import EntryBody, LogRecord
from .outcomes import Verdict
from .settings import Settings
from .slots import SharingPolicy
from .streams import Log
from .timers import Timers

LOOK_S = 0.25
WRITE_S = 2.0
COLLECT_S = 0.1


class Enrolment:
    """Keeps this entry host among the owners of slots, and the gone out of them.

    While the log is out of reach nothing changes: members keep their shares.

    :param log: the state stream.
    :param members: the entry hosts.
    :param settings: the daemon's settings.
    :param timers: the timer service.
    """

    def __init__(self, *, log: Log, members: Members, settings: Settings, timers: Timers) -> None:
        self.log = log
        self.members = members
        self.clock = timers.clock
        duties = Duties(
            members=members, clock=timers.clock, takeover_s=settings.capacity.takeover_s
        )
        self.entries = Entries(state=log.state, members=members, duties=duties)
        self._stale_s = settings.platform.stale_after_s

    def follow(self, way: SharingPolicy) -> None:
        """Have a way of sharing follow the membership."""
        if isinstance(way, Broker):
            self.log.on_fold(lambda record, verdict: self._folded(way, record, verdict))
            self.log.on_restore(way.restored)

    async def run(self) -> None:
        """Write the records that are due, until cancelled."""
        while True:
            if self.log.current and self.log.seconds_since_confirmed() <= self._stale_s:
                await self._look()
            await self.clock.sleep(LOOK_S)

    async def leave(self, way: SharingPolicy, *, timeout_s: float) -> None:
        """Collect what is lent and leave; without that the others take this run for gone."""
        body = self.entries.leave()
        if body is None:
            return
        end = self.clock.monotonic() + timeout_s
        while isinstance(way, Broker) and not way.is_clear():
            if self.clock.monotonic() > end:
                logging.info("slots that are lent didn't come back in time")
                return
            way.stop_lending()
            await self.clock.sleep(COLLECT_S)
        if isinstance(way, Broker):
            way.stop_owning()
        await self._write(body)

    async def _look(self) -> None:
        own = self.log.state.entries_by_host.get(self.members.me.host)
        run = (own["state"], own["incarnation"]) if own is not None else ("", 0)
        if run == ("gone", self.members.me.incarnation):
            # The others have taken this run's share over; only a new run may go on.
            self.members.renew()
        for body in self.entries.due():
            await self._write(body)

    async def _write(self, body: EntryBody) -> None:
        try:
            await self.log.write("entry", body, timeout_s=WRITE_S)
        except (TimeoutError, MustardgapError) as exc:
            logging.debug("entry record: %s", exc)

    def _folded(self, way: Broker, record: LogRecord, verdict: Verdict) -> None:
        way.folded()
