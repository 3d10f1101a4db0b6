"""What entry hosts say to each other, as tagged msgpack structs, and their codec."""

from math import inf
from typing import Any

import msgspec

from .codecs import Undecodable, total

MAX_FRAME_BYTES = 4 * 1024 * 1024


class Message(msgspec.Struct, frozen=True, array_like=True, kw_only=False):
    """The base of all messages; the tag is the first element on the wire."""


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """A member as gossip carries it the first time a peer hears of it."""

    host: str
    incarnation: int
    version: int
    state: int
    peers_address: str
    operators_address: str
    data_center: str
    offset: int
    rules: int


class MemberDelta(msgspec.Struct, frozen=True, array_like=True):
    """What changed of a member that the peer knows already, by its incarnation."""

    incarnation: int
    version: int
    state: int
    offset: int


class NoticeRow(msgspec.Struct, frozen=True, array_like=True):
    """The latest word on a key; the higher stamp wins, and it lapses after ``ttl_s`` seconds."""

    kind: str
    key: str
    stamp: int
    ttl_s: float
    value: Any


class Hello(Message, tag=1, frozen=True, array_like=True):
    """The first message on a stream, from both ends: who I am and whom I mean to talk to.

    ``stream`` is the dialer's number of the stream; the acceptor returns it.
    """

    me: MemberRow
    network: str = ""
    stream: int = 0


class Gossip(Message, tag=2, frozen=True, array_like=True):
    """What changed since the last message to this peer."""

    rows: list[MemberRow] = []
    deltas: list[MemberDelta] = []
    notices: list[NoticeRow] = []


class Records(Message, tag=3, frozen=True, array_like=True):
    """Records of the log that the peer may lack; ``first`` is the first one's offset.

    ``end`` is the sender's offset, ``age_s`` the seconds since it last knew that it was current.
    """

    first: int
    records: list[tuple[int, float, dict[str, Any]]]
    end: int = -1
    age_s: float = inf


class RecordsAsk(Message, tag=4, frozen=True, array_like=True):
    """A peer that is behind asks for the records from an offset on."""

    first: int


class SnapshotAsk(Message, tag=5, frozen=True, array_like=True):
    """A starting daemon asks for one part of the folded state; ``digest`` names the snapshot."""

    part: int
    digest: str = ""


class Snapshot(Message, tag=6, frozen=True, array_like=True):
    """One part of a snapshot; ``parts`` is how many there are, 0 when there is none to give."""

    part: int
    parts: int
    digest: str
    chunk: bytes


class Failed(Message, tag=7, frozen=True, array_like=True):
    """The answer to a call that the peer couldn't serve."""

    detail: str


Masks = dict[str, int]
"""Slots by executor: bit ``i`` stands for slot ``i``."""


class Settle(Message, tag=10, frozen=True, array_like=True):
    """Who owns slots anew since a record at ``offset`` asks which of them are still in use."""

    offset: int


class Settled(Message, tag=11, frozen=True, array_like=True):
    """The slots that the sender uses or has lent, at a moment when it had folded to ``offset``.

    ``age_ms`` is how long ago it folded the last record that ended a run without a leave.
    """

    offset: int
    busy: Masks
    age_ms: int


class Hold(Message, tag=12, frozen=True, array_like=True):
    """A borrower's renewal of its lease, with all the slots it has of the owner.

    ``session`` counts the borrower's new starts. ``sent`` is its clock in milliseconds, which comes
    back in the answer. ``number`` is the highest grant it has dealt with; earlier ones that come
    later are ignored.
    """

    service: str
    session: int
    sent: int
    number: int
    held: Masks


class Held(Message, tag=13, frozen=True, array_like=True):
    """The owner's answer to ``Hold``.

    Without ``leased`` the session is over. ``number`` tells which grants must have arrived by now
    or are lost, ``drop`` which slots the sender owns no longer.
    """

    service: str
    session: int
    sent: int
    leased: bool
    number: int
    drop: Masks


class Ask(Message, tag=14, frozen=True, array_like=True):
    """How many slots a member lacks now, after grant ``number``; replaces its earlier asks."""

    service: str
    session: int
    sent: int
    sequence: int
    number: int
    count: int
    urgency: int
    waited_ms: int
    excluded: list[str] = []


class Grant(Message, tag=15, frozen=True, array_like=True):
    """Slots lent to a member; ``sent`` is from its latest message, which this one answers."""

    service: str
    session: int
    sent: int
    number: int
    slots: Masks


class Return(Message, tag=16, frozen=True, array_like=True):
    """Slots that a member gives back, by the number of the grant that lent them."""

    service: str
    session: int
    numbered: dict[int, Masks]


class Recall(Message, tag=17, frozen=True, array_like=True):
    """Others wait for slots; ``waited_ms`` is how long the one whose turn is next has waited."""

    service: str
    session: int
    urgency: int
    waited_ms: int


AnyMessage = (
    Hello
    | Gossip
    | Records
    | RecordsAsk
    | SnapshotAsk
    | Snapshot
    | Failed
    | Settle
    | Settled
    | Hold
    | Held
    | Ask
    | Grant
    | Return
    | Recall
)


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One message of a frame; ``request`` is 0, the id of a call, or minus the id it answers."""

    request: int
    body: AnyMessage


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """All messages that were queued for a peer at one moment; empty for a heartbeat.

    ``stamp`` is the sender's hybrid logical time. After a frame with ``last`` the sender writes no
    more on this stream.
    """

    stamp: tuple[int, int]
    items: list[Item] = []
    last: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Encode a frame."""
    return _encoder.encode(frame)


@total(Undecodable)
def decode(data: bytes) -> Frame:
    """Decode a frame.

    :raises Undecodable: it is no frame.
    """
    return _decoder.decode(data)
