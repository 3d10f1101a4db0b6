"""Selects the headers that are forwarded between callers and executors."""

from tornado.httputil import HTTPHeaders

# RFC 9110 section 7.6.1, and the fields that this hop sets itself.
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
    """Return the headers of a request that are forwarded to an executor."""
    dropped = _HOP_BY_HOP | _SET_FOR_EXECUTORS | _connection_options(headers)
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept


def returned(headers: HTTPHeaders) -> list[tuple[str, str]]:
    """Return the headers of an answer that are returned to the caller."""
    dropped = _HOP_BY_HOP | _SET_FOR_CALLERS | _connection_options(headers)
    return [(name, value) for name, value in headers.get_all() if name.lower() not in dropped]


def _connection_options(headers: HTTPHeaders) -> frozenset[str]:
    """Return the fields that the Connection field limits to this hop."""
    return frozenset(name.strip().lower() for name in headers.get("Connection", "").split(","))
