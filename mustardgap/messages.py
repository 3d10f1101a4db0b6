"""What entry hosts say to each other, as tagged msgpack structs, and their codec."""

from typing import Any

import msgspec

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
    """The first message on a stream, from both ends: who I am and whom I mean to talk to."""

    me: MemberRow
    network: str = ""


class Gossip(Message, tag=2, frozen=True, array_like=True):
    """What changed since the last message to this peer."""

    rows: list[MemberRow] = []
    deltas: list[MemberDelta] = []
    notices: list[NoticeRow] = []


class Records(Message, tag=3, frozen=True, array_like=True):
    """Records of the log that the peer may lack; ``first`` is the first one's offset."""

    first: int
    records: list[tuple[int, float, dict[str, Any]]]


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


class SlotId(msgspec.Struct, frozen=True, array_like=True):
    """One slot of one executor."""

    executor: str
    index: int


class Follow(Message, tag=10, frozen=True, array_like=True):
    """A member's renewal of its lease with a service's home, with all the slots it holds there.

    ``session`` counts the member's changes of home, ``sent`` is its clock (milliseconds) and comes
    back in the answer, ``echo`` is the home's clock from its last answer.
    """

    service: str
    session: int
    sent: int
    echo: int
    horizon_s: float
    held: list[SlotId]
    sequence: int = 0


class Followed(Message, tag=11, frozen=True, array_like=True):
    """The home's answer to ``Follow``; ``leased`` tells whether the lease was renewed."""

    service: str
    session: int
    sent: int
    clock: int
    leased: bool


class Unfollow(Message, tag=12, frozen=True, array_like=True):
    """A member's request to be let go, because another member is the service's home by now."""

    service: str
    session: int


class Unfollowed(Message, tag=13, frozen=True, array_like=True):
    """The home counts the member no longer and grants it nothing under this session."""

    service: str
    session: int


class Ask(Message, tag=14, frozen=True, array_like=True):
    """How many slots a member wants now; it replaces what the member asked before."""

    service: str
    session: int
    sequence: int
    count: int
    urgency: int
    waited_ms: int
    horizon_s: float
    excluded: list[str] = []


class Grant(Message, tag=15, frozen=True, array_like=True):
    """Slots lent to a member, until it gives them back or its lease and horizon have passed."""

    service: str
    session: int
    slots: list[SlotId]
    answered: int


class Return(Message, tag=16, frozen=True, array_like=True):
    """Slots that a member gives back."""

    service: str
    session: int
    slots: list[SlotId]


class Recall(Message, tag=17, frozen=True, array_like=True):
    """The home wants idle slots back, because others wait."""

    service: str
    session: int
    count: int


AnyMessage = (
    Hello
    | Gossip
    | Records
    | RecordsAsk
    | SnapshotAsk
    | Snapshot
    | Failed
    | Follow
    | Followed
    | Unfollow
    | Unfollowed
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

    ``stamp`` is the sender's hybrid logical time.
    """

    stamp: tuple[int, int]
    items: list[Item] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Encode a frame."""
    return _encoder.encode(frame)


def decode(data: bytes) -> Frame:
    """Decode a frame.

    :raises msgspec.DecodeError: it is no frame.
    """
    return _decoder.decode(data)
