"""Writing the membership of entry hosts to the log: join, leave, and who is gone."""

from absl import logging

from .brokers import Broker
from .duties import Duties
from .entries import EntryMembership
from .exceptions import MustardgapError
from .members import Members
from .models import EntryBody, LogRecord
from .outcomes import Verdict
from .settings import Settings
from .slots import SharingPolicy
from .streams import Log
from .timers import Timers

POLL_PERIOD_S = 0.25
WRITE_TIMEOUT_S = 2.0
RETURN_POLL_PERIOD_S = 0.1


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
        self.entries = EntryMembership(state=log.state, members=members, duties=duties)
        self._stale_after_s = settings.platform.stale_after_s

    def subscribe(self, sharing: SharingPolicy) -> None:
        """Have a way of sharing follow the membership."""
        if isinstance(sharing, Broker):
            self.log.on_fold(lambda record, verdict: self._on_fold(sharing, record, verdict))
            self.log.on_restore(sharing.restored)

    async def run(self) -> None:
        """Write the records that are due, until cancelled."""
        while True:
            if self.log.current and self.log.fresh_s() <= self._stale_after_s:
                await self._write_due_records()
            await self.clock.sleep(POLL_PERIOD_S)

    async def leave(self, sharing: SharingPolicy, *, timeout_s: float) -> None:
        """Collect what is lent and leave; without that the others take this run for gone."""
        body = self.entries.leave()
        if body is None:
            return
        deadline = self.clock.monotonic() + timeout_s
        while isinstance(sharing, Broker) and not sharing.is_clear():
            if self.clock.monotonic() > deadline:
                logging.info("slots that are lent didn't come back in time")
                return
            sharing.stop_lending()
            await self.clock.sleep(RETURN_POLL_PERIOD_S)
        if isinstance(sharing, Broker):
            sharing.stop_owning()
        await self._write(body)

    async def _write_due_records(self) -> None:
        own = self.log.state.entries_by_host.get(self.members.me.host)
        own_run = (own["state"], own["incarnation"]) if own is not None else ("", 0)
        if own_run == ("gone", self.members.me.incarnation):
            # The others have taken this run's share over; only a new run may go on.
            self.members.renew()
        for body in self.entries.due_records():
            await self._write(body)

    async def _write(self, body: EntryBody) -> None:
        try:
            await self.log.write("entry", body, timeout_s=WRITE_TIMEOUT_S)
        except (TimeoutError, MustardgapError) as exc:
            logging.debug("entry record: %s", exc)

    def _on_fold(self, sharing: Broker, record: LogRecord, verdict: Verdict) -> None:
        sharing.folded()
