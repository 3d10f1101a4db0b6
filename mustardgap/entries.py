"""The membership of entry hosts on the log: the records that this daemon should write now."""

from .duties import Duties
from .members import Members, MemberState
from .models import EntryBody, EntryState
from .states import State


class EntryMembership:
    """Makes the records by which this daemon joins and leaves, and those of hosts that are gone.

    :param state: the folded state.
    :param members: the entry hosts as this daemon sees them.
    :param duties: decides which daemon writes the record of a host that is gone.
    """

    def __init__(self, *, state: State, members: Members, duties: Duties) -> None:
        self.state = state
        self.members = members
        self.duties = duties
        self.may_join = True

    def due_records(self) -> list[EntryBody]:
        """Return the records that this daemon should write now."""
        me = self.members.me
        own = self.state.entries_by_host.get(me.host)
        if not self.is_joined():
            if not self.may_join or me.state is not MemberState.live:
                return []
            return [_make_record(own, me.host, me.incarnation, "join")]
        return [
            self._make_gone_record(entry)
            for entry in self._missing_entries()
            if self._is_due(entry)
        ]

    def leave(self) -> EntryBody | None:
        """Return the record by which this daemon leaves, None if it hasn't joined."""
        self.may_join = False
        me = self.members.me
        own = self.state.entries_by_host.get(me.host)
        return _make_record(own, me.host, me.incarnation, "leave") if self.is_joined() else None

    def is_joined(self) -> bool:
        """Return whether this incarnation has joined."""
        me = self.members.me
        own = self.state.entries_by_host.get(me.host)
        return own is not None and (own["state"], own["incarnation"]) == ("joined", me.incarnation)

    def _missing_entries(self) -> list[EntryState]:
        """Return the joined hosts that this one sees as dead and the platform no longer lists.

        A host that is partitioned with a minority sees all others as dead. It writes nothing, as
        it sees no live majority. This is only a guard: a wrong record costs a host its share,
        but doesn't change the sum of the shares.
        """
        members = self.members
        joined = [e for e in self.state.entries_by_host.values() if e["state"] == "joined"]
        live = {(m.host, m.incarnation) for m in members.live()}
        live_count = sum((e["host"], e["incarnation"]) in live for e in joined)
        if 2 * live_count <= len(joined) or not members.listed_hosts:
            return []
        return [e for e in joined if e["host"] not in members.listed_hosts and self._is_dead(e)]

    def _is_dead(self, entry: EntryState) -> bool:
        m = self.members.by_id.get(f"{entry['host']}@{entry['incarnation']:x}")
        return m is None or m.state is MemberState.dead

    def _is_due(self, entry: EntryState) -> bool:
        key = f"entry/{entry['host']}"
        if not self.duties.is_due(key, entry["epoch"]):
            return False
        self.duties.note_attempt(key)
        return True

    def _make_gone_record(self, entry: EntryState) -> EntryBody:
        return _make_record(entry, entry["host"], entry["incarnation"], "gone")


def _make_record(entry: EntryState | None, host: str, incarnation: int, step: str) -> EntryBody:
    base = entry["epoch"] if entry is not None else 0
    return EntryBody(host=host, base=base, incarnation=incarnation, step=step)  # type: ignore[typeddict-item]
