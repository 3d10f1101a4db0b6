"""What a caller was told of one request, and summaries of many with HDR histograms."""

import hashlib
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec
from hdrh.histogram import HdrHistogram

from mustardgap.status_codes import REPLAYED
from standins.answers import pieces

from .balancers import Exchange

MAX_LATENCY_US = 600_000_000


class AnswerHead(msgspec.Struct):
    """The first line of an executor's answer, as far as it is compared."""

    path: str
    digest: str


class Told(msgspec.Struct, array_like=True, kw_only=True):
    """What one caller was told of one request.

    ``outcome`` is ``answered``, ``refused`` (said not to have run), ``unknown`` (said that it may
    have run), ``broken`` (the connection broke, so nothing was said), ``silent`` (nothing came in
    time), ``cut`` (an answer began and broke off), ``mixed`` (an answer to another request),
    ``unreached`` (no entry host took the connection) or ``failed`` (an error without a code).
    ``replayed`` is set for the kept answer of an earlier request with the same key.
    """

    id: str
    keyed: bool
    service: str
    idempotent: bool
    kind: int
    stage: int
    sent: float
    latency_s: float
    outcome: str
    entry: str = ""
    status: int = 0
    code: int = -1
    size: int = 0
    retry_after: float = 0.0
    replayed: bool = False
    detail: str = ""

    @property
    def name(self) -> str:
        """What copies and repeats of one request have in common."""
        return self.id.rpartition(".")[0]

    @property
    def is_open(self) -> bool:
        """Whether the caller should ask again."""
        return self.outcome not in ("answered", "mixed")


def judge(exchange: Exchange | None, *, body: bytes, **facts: Any) -> Told:
    """Name the outcome of one exchange.

    :param exchange: what came back, None when nothing was sent.
    :param body: the request's body, whose digest the answer must hold.
    :param facts: the request's own fields of ``Told``.
    """
    if exchange is None:
        return Told(outcome="unreached", **facts)
    code = _number(exchange.headers.get("X-Result-Code", "").removeprefix("MG"))
    return Told(
        outcome=_outcome(exchange, facts["id"], code, body),
        entry=exchange.entry,
        status=exchange.status,
        code=code,
        size=exchange.size,
        retry_after=max(0, _number(exchange.headers.get("Retry-After", ""))),
        replayed=code == REPLAYED.number,
        detail=exchange.error,
        **facts,
    )


def _number(text: str) -> int:
    return int(text) if text.isdecimal() else -1


def _outcome(exchange: Exchange, request_id: str, code: int, body: bytes) -> str:
    if not exchange.status:
        return "silent" if exchange.error == "timeout" else "broken"
    if not exchange.whole:
        return "cut"
    if exchange.headers.get("X-Request-Id", request_id) != request_id:
        return "mixed"
    if 1100 <= code < 1200:
        return "refused"
    if 1200 <= code < 1300:
        return "unknown"
    if code < 0 and exchange.status >= 400:
        return "failed"
    return _whole_or_mixed(exchange, request_id.rpartition(".")[0], body)


def _whole_or_mixed(exchange: Exchange, name: str, body: bytes) -> str:
    """Compare an answer with what an executor makes of this request."""
    head = exchange.head.partition(b"\n")[0]
    try:
        value = msgspec.json.decode(head, type=AnswerHead)
    except msgspec.MsgspecError:
        return "mixed"
    asked = parse_qs(urlsplit(value.path).query)
    if asked.get("load") != [name] or value.digest != hashlib.sha256(body).hexdigest():
        return "mixed"
    digest = hashlib.sha256()
    for piece in pieces(head, int(asked.get("size", ["0"])[0])):
        digest.update(piece)
    return "answered" if digest.hexdigest() == exchange.digest else "cut"


class Summary(NamedTuple):
    """One stage in figures; latencies in milliseconds are those of answered requests."""

    requests: int
    by_outcome: dict[str, int]
    goodput: float
    p50_ms: float
    p99_ms: float
    max_ms: float


def histogram(latencies_s: Iterable[float]) -> HdrHistogram:
    """Count latencies in seconds into a histogram in microseconds."""
    counts = HdrHistogram(1, MAX_LATENCY_US, 3)
    for latency_s in latencies_s:
        counts.record_value(max(1, min(MAX_LATENCY_US, int(latency_s * 1e6))))
    return counts


def percentile_ms(counts: HdrHistogram, percent: float) -> float:
    """A percentile of a histogram, in milliseconds."""
    return counts.get_value_at_percentile(percent) / 1000 if counts.total_count else 0.0


def summarize(told: Iterable[Told], *, seconds: float) -> Summary:
    """Sum up what callers were told.

    :param told: the requests.
    :param seconds: the seconds over which they were sent.
    """
    by_outcome: Counter[str] = Counter()
    latencies = []
    for one in told:
        by_outcome[one.outcome] += 1
        if one.outcome == "answered" and one.status < 500:
            latencies.append(one.latency_s)
    counts = histogram(latencies)
    return Summary(
        requests=by_outcome.total(),
        by_outcome=dict(by_outcome),
        goodput=len(latencies) / seconds,
        p50_ms=percentile_ms(counts, 50),
        p99_ms=percentile_ms(counts, 99),
        max_ms=counts.get_max_value() / 1000 if latencies else 0.0,
    )


def by_stage(told: Iterable[Told]) -> dict[int, list[Told]]:
    """Sort what was told by the stage it was sent in."""
    found: defaultdict[int, list[Told]] = defaultdict(list)
    for one in told:
        found[one.stage].append(one)
    return dict(found)
