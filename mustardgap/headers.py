"""Which headers are passed on between callers and executors."""

from tornado.httputil import HTTPHeaders

# RFC 9110 section 7.6.1, and the fields that this hop makes anew.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_SET_FOR_EXECUTORS = frozenset({"content-length", "expect", "x-request-id", "x-request-timeout"})
_SET_FOR_CALLERS = frozenset(
    {"x-request-id", "x-result-code", "x-leaving", "x-not-run", "x-request-timeout"}
)


def forwarded(headers: HTTPHeaders) -> HTTPHeaders:
    """The headers of a request that an executor gets."""
    dropped = _HOP_BY_HOP | _SET_FOR_EXECUTORS | _connection_options(headers)
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept


def returned(headers: HTTPHeaders) -> list[tuple[str, str]]:
    """The headers of an answer that the caller gets."""
    dropped = _HOP_BY_HOP | _SET_FOR_CALLERS | _connection_options(headers)
    return [(name, value) for name, value in headers.get_all() if name.lower() not in dropped]


def _connection_options(headers: HTTPHeaders) -> frozenset[str]:
    """The fields that the Connection field names as meant for this hop only."""
    return frozenset(name.strip().lower() for name in headers.get("Connection", "").split(","))
