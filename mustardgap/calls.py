"""Calls the operators' interface on any entry host; unknown effects have an error of their own."""

import asyncio
import socket
import ssl
from collections.abc import Iterable
from typing import Any

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

from . import status_codes
from .certificates import Certificates
from .codecs import Undecodable, decode_json
from .exceptions import MustardgapError
from .resolvers import NumericFirstResolver
from .settings import TlsSettings

MAX_BODY_BYTES = 256 * 1024 * 1024
MAX_CALLS = 32
CONNECT_TIMEOUT_S = 2.0
CONNECT_TRIES = 3
# If a timeout is noticed later than this, the process was paused when it was due.
LATE_TIMEOUT_S = 0.01
HARMLESS_PATH = "/v1/status"
# Parts of Tornado's message if a timeout occurred before anything was sent.
_UNSENT_PHASES = ("in request queue", "while resolving", "while connecting")

# An entry host that answers with one of these codes couldn't serve the call; another one may.
_TRY_NEXT_CODES = {
    code.number
    for code in (
        status_codes.LOG_UNAVAILABLE,
        status_codes.LOG_ANSWER_LOST,
        status_codes.PLATFORM_UNAVAILABLE,
        status_codes.NOT_CURRENT,
        status_codes.DRAINING,
        status_codes.OVER_BUDGET,
    )
}


class ProblemError(MustardgapError):
    """An entry host answered with a problem.

    :param body: the problem's fields, such as ``changed`` of a rejected change.
    """

    def __init__(self, *, body: dict[str, Any], **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.body = body


class EffectUnknown(Exception):
    """A call to one entry host may have taken effect."""


class EntryClient:
    """Calls entry hosts in turn until one can serve the call.

    :param entries: the ``ip:port`` of each entry host's port for operators.
    :param timeout_s: timeout of one call.
    :param tls: the keys and certificates to use, None for plain HTTP.
    """

    def __init__(
        self, *, entries: Iterable[str], timeout_s: float, tls: TlsSettings | None = None
    ) -> None:
        self.entries = list(entries)
        self.timeout_s = timeout_s
        self._connect_timeout_s = min(CONNECT_TIMEOUT_S, timeout_s)
        self._ssl = Certificates(settings=tls).client_context() if tls else None
        self._http = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CALLS,
            max_body_size=MAX_BODY_BYTES,
            resolver=NumericFirstResolver(),
        )

    def close(self) -> None:
        """Cancel all open calls."""
        self._http.close()

    async def call(self, method: str, path: str, body: Any = None) -> Any:
        """Call the first entry host that can serve the call.

        :raises ProblemError: an entry host answered with a problem that no other one can solve.
        :raises MustardgapError: MG6001 if none could be reached, MG5001 if the effect is unknown.
        """
        failures: list[str] = []
        effect_unknown = False
        problem: ProblemError | None = None
        for entry in self.entries:
            try:
                return await self.call_entry(entry, method, path, body)
            except ProblemError as exc:
                if exc.code.number not in _TRY_NEXT_CODES:
                    raise
                effect_unknown = effect_unknown or exc.code is status_codes.LOG_ANSWER_LOST
                problem = exc
            except EffectUnknown as exc:
                effect_unknown = effect_unknown or method != "GET"
                failures.append(f"{entry}: {exc}")
            except (OSError, HTTPClientError) as exc:
                failures.append(f"{entry}: {exc}")
        if effect_unknown:
            raise MustardgapError(
                code=status_codes.LOG_ANSWER_LOST,
                detail="no entry host could say whether it took effect",
                place="; ".join(failures) or path,
            )
        if problem:
            raise problem
        raise unavailable_error(failures)

    async def call_entry(self, entry: str, method: str, path: str, body: Any = None) -> Any:
        """Call one entry host.

        :raises ProblemError: it answered with a problem.
        :raises EffectUnknown: the call may have taken effect.
        :raises OSError: nothing was sent.
        """
        if self._ssl and method != "GET":
            await self._check_certificate(entry)
        return _decode(entry, await self._fetch(entry, method, path, body))

    async def _check_certificate(self, entry: str) -> None:
        """Check that an entry host accepts this certificate, before a change is sent to it.

        In TLS 1.3 the client's handshake ends before the host has checked the client's
        certificate. If the host rejects it and the alert is lost, the client only sees a closed
        connection, as if the host had crashed after it read the change: the operator would be told
        that a change may be in force though no host read it. So a request without effects is sent
        first; any answer to it shows that the certificate is accepted. This costs one more round
        trip for each change.

        :raises ConnectionError: the host gave no answer.
        """
        try:
            await self._fetch(entry, "GET", HARMLESS_PATH)
        except EffectUnknown as exc:
            raise ConnectionError(
                f"no answer after the TLS handshake, so nothing was sent; the entry host may refuse"
                f" this certificate, or be down ({exc})"
            ) from None

    async def _fetch(self, entry: str, method: str, path: str, body: Any = None) -> HTTPResponse:
        """Send a request and read its answer, even if this process is paused while it connects.

        After such a pause, connecting times out although the connection may have been made
        meanwhile. Healthy entry hosts were then reported as unreachable, and one that had a change
        as not having it. A timeout that is noticed late shows the pause, and as nothing was sent,
        it is safe to connect again.
        """
        request = self._request(entry, method, path, body)
        clock = asyncio.get_running_loop().time
        for _ in range(CONNECT_TRIES - 1):
            due = clock() + self._connect_timeout_s
            try:
                return await self._send(request)
            except HTTPTimeoutError:
                if clock() - due < LATE_TIMEOUT_S:
                    raise
        return await self._send(request)

    def _request(self, entry: str, method: str, path: str, body: Any) -> HTTPRequest:
        return HTTPRequest(
            f"{'https' if self._ssl else 'http'}://{entry}{path}",
            method=method,
            body=None if body is None else msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
            connect_timeout=self._connect_timeout_s,
            request_timeout=self.timeout_s,
            ssl_options=self._ssl,
            follow_redirects=False,
            allow_nonstandard_methods=True,
        )

    async def _send(self, request: HTTPRequest) -> HTTPResponse:
        """Send a request once.

        :raises EffectUnknown: it may have taken effect.
        :raises HTTPTimeoutError: it timed out before anything was sent.
        """
        try:
            return await self._http.fetch(request, raise_error=False)
        except (ConnectionRefusedError, socket.gaierror):
            raise
        except HTTPTimeoutError as exc:
            # Only the text of Tornado's exception tells whether anything was sent.
            if any(phase in str(exc) for phase in _UNSENT_PHASES):
                raise
            raise EffectUnknown(str(exc)) from None
        except (OSError, HTTPClientError) as exc:
            if isinstance(exc, ssl.SSLError) and _is_certificate_rejected(exc):
                raise
            raise EffectUnknown(str(exc)) from None


def _is_certificate_rejected(exc: ssl.SSLError) -> bool:
    """Whether one side rejected the other's certificate, so that no request was processed."""
    return "CERTIFICATE" in (exc.reason or "") or "UNKNOWN_CA" in (exc.reason or "")


def _decode(entry: str, resp: HTTPResponse) -> Any:
    try:
        value = decode_json(resp.body)
    except Undecodable:
        raise EffectUnknown(f"HTTP {resp.code} {resp.reason}, not JSON") from None
    if resp.code < 300:
        return value
    known = status_codes.by_number.get(value.get("code", -1)) if isinstance(value, dict) else None
    if known is None:
        raise EffectUnknown(f"HTTP {resp.code} {resp.reason}")
    raise ProblemError(
        code=known,
        detail=str(value.get("detail", "")),
        place=str(value.get("place", "")) or entry,
        body=value,
    )


def unavailable_error(failures: list[str]) -> MustardgapError:
    """Return the error if no entry host could be reached."""
    return MustardgapError(
        code=status_codes.ENTRY_UNAVAILABLE,
        detail="; ".join(failures) or "no entry host is named",
        place="--entry",
    )
