"""Writes the membership of entry hosts to the log: joined, left and gone hosts."""

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
    """Keeps this entry host among the owners of slots, and removes hosts that are gone.

    While the log is unavailable nothing changes: members keep their shares.

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
        """Subscribe a sharing policy to changes of the membership."""
        if isinstance(sharing, Broker):
            self.log.on_fold(lambda record, verdict: self._on_fold(sharing, record, verdict))
            self.log.on_restore(sharing.restored)

    async def run(self) -> None:
        """Write the records that are due, until cancelled."""
        while True:
            if self.log.current and self.log.seconds_since_confirmed() <= self._stale_after_s:
                await self._write_due_records()
            await self.clock.sleep(POLL_PERIOD_S)

    async def leave(self, sharing: SharingPolicy, *, timeout_s: float) -> None:
        """Take lent slots back and leave; otherwise the peers will declare this host gone.

        :param sharing: the sharing policy of the slots.
        :param timeout_s: the longest wait for lent slots, in seconds.
        """
        body = self.entries.leave()
        if body is None:
            return
        deadline = self.clock.monotonic() + timeout_s
        while isinstance(sharing, Broker) and not sharing.is_clear():
            if self.clock.monotonic() > deadline:
                logging.info("lent slots weren't returned in time; no leave record is written")
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
            # Other hosts have taken over this incarnation's share; only a new one may join.
            self.members.start_new_incarnation()
        for body in self.entries.due_records():
            await self._write(body)

    async def _write(self, body: EntryBody) -> None:
        try:
            await self.log.write("entry", body, timeout_s=WRITE_TIMEOUT_S)
        except (TimeoutError, MustardgapError) as exc:
            logging.debug("entry record not confirmed: %s", exc)

    def _on_fold(self, sharing: Broker, record: LogRecord, verdict: Verdict) -> None:
        sharing.folded()
