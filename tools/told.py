"""What a caller was told of one request, and summaries of many with HDR histograms."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from .balancers import Exchange

MAX_LATENCY_US = 600_000_000


class Told(msgspec.Struct, array_like=True, kw_only=True):
    """What one caller was told of one request.

    ``outcome`` is ``answered``, ``refused`` (said not to have run), ``unknown`` (said that it may
    have run), ``broken`` (the connection broke, so nothing was said), ``silent`` (nothing came in
    time), ``cut`` (an answer began and broke off), ``mixed`` (an answer to another request) or
    ``unreached`` (no entry host took the connection). ``replayed`` is set for the kept answer of
    an earlier request with the same key.
    """

    id: str
    key: str
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
    def is_open(self) -> bool:
        """Whether the caller should ask again."""
        return self.outcome not in ("answered", "mixed")


def judge(exchange: Exchange | None, **facts: Any) -> Told:
    """Name the outcome of one exchange; ``facts`` are the request's own fields of ``Told``."""
    if exchange is None:
        return Told(outcome="unreached", **facts)
    code = _number(exchange.headers.get("X-Result-Code", "").removeprefix("MG"))
    return Told(
        outcome=_outcome(exchange, facts["id"], code),
        entry=exchange.entry,
        status=exchange.status,
        code=code,
        size=exchange.size,
        retry_after=max(0, _number(exchange.headers.get("Retry-After", ""))),
        replayed=code == 1001,
        detail=exchange.error,
        **facts,
    )


def _number(text: str) -> int:
    return int(text) if text.isdecimal() else -1


def _outcome(exchange: Exchange, request_id: str, code: int) -> str:
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
    return "answered" if _is_own(exchange, request_id) else "mixed"


def _is_own(exchange: Exchange, request_id: str) -> bool:
    # A kept answer was made for the earlier request with the same key: its id differs only after
    # the last dot, which numbers the copies.
    made_for = exchange.headers.get("X-Load-Id", request_id)
    return made_for.rpartition(".")[0] == request_id.rpartition(".")[0]


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
