"""The head of an HTTP/1.1 request, parsed and checked."""

from typing import NamedTuple

import httptools
from tornado import httputil

HEAD_END = b"\r\n\r\n"


class MalformedRequest(Exception):
    """What a client sent is no valid HTTP request; the text says why."""


class RequestHead(NamedTuple):
    """The head of one request.

    ``target`` is as it was sent. ``content_length`` is None for a body in chunks, and 0 without a
    body. ``keep_alive`` tells whether the connection may carry another request.
    """

    method: str
    target: str
    version: str
    headers: httputil.HTTPHeaders
    content_length: int | None
    keep_alive: bool

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for a word before it sends the body."""
        return self.headers.get("Expect", "").lower() == "100-continue"


class _Collector:
    """What the parser finds in a head."""

    def __init__(self) -> None:
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.messages = 0
        self.is_complete = False
        self.has_body = False

    def on_message_begin(self) -> None:
        self.messages += 1

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.is_complete = True

    def on_body(self, body: bytes) -> None:
        self.has_body = True


def parse(raw: bytes) -> RequestHead:
    """Parse a head.

    :param raw: the head with the empty line that ends it, and nothing behind that.
    :raises MalformedRequest: it isn't valid, or it doesn't say clearly where the request ends.
    """
    collector = _Collector()
    parser = httptools.HttpRequestParser(collector)
    try:
        parser.feed_data(raw)
    except httptools.HttpParserUpgrade:
        # No other protocol is offered; the request is answered as one without the wish.
        pass
    except httptools.HttpParserError as exc:
        raise MalformedRequest(str(exc)) from None
    # A parser that sees another end than this one would take a part of one request for a second.
    if not collector.is_complete or collector.has_body or collector.messages != 1:
        raise MalformedRequest("it isn't clear where the head ends")
    headers = _headers(collector.headers)
    version = f"HTTP/{parser.get_http_version()}"
    problem = framing_problem(headers, version)
    if problem:
        raise MalformedRequest(problem)
    is_chunked = "Transfer-Encoding" in headers
    return RequestHead(
        method=parser.get_method().decode("latin-1"),
        target=collector.url.decode("latin-1"),
        version=version,
        headers=headers,
        content_length=None if is_chunked else int(headers.get("Content-Length", "0")),
        keep_alive=parser.should_keep_alive() and not parser.should_upgrade(),
    )


def _headers(pairs: list[tuple[bytes, bytes]]) -> httputil.HTTPHeaders:
    headers = httputil.HTTPHeaders()
    try:
        for name, value in pairs:
            headers.add(name.decode("latin-1"), value.decode("latin-1").strip())
    except (httputil.HTTPInputError, ValueError) as exc:
        raise MalformedRequest(str(exc)) from None
    return headers


def framing_problem(headers: httputil.HTTPHeaders, version: str) -> str:
    """Return what leaves open where a request ends or whom it asks, "" for nothing.

    If two servers disagree on where a request ends, one request can pass as two (request
    smuggling), so whatever is ambiguous is refused.

    :param version: as in the start line, such as ``HTTP/1.1``.
    """
    lengths = headers.get_list("Content-Length")
    codings = headers.get_list("Transfer-Encoding")
    if len(lengths) > 1 or (lengths and not (lengths[0].isascii() and lengths[0].isdigit())):
        return "Content-Length must be one number"
    if lengths and codings:
        return "both Content-Length and Transfer-Encoding"
    if len(codings) > 1 or (codings and codings[0].lower() != "chunked"):
        return "the only Transfer-Encoding taken is chunked"
    if codings and version != "HTTP/1.1":
        return "chunked needs HTTP/1.1"
    if len(headers.get_list("Host")) > 1:
        return "more than one Host"
    if version == "HTTP/1.1" and "Host" not in headers:
        return "no Host"
    return ""
