"""An HTTP server with a connection limit, result codes in refusals and renewable certificates."""

import socket
from contextlib import suppress
from typing import Any

from absl import logging
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, UnsatisfiableReadError

from . import metrics, status_codes
from .certificates import Certificates
from .exceptions import MustardgapError
from .outcomes import NotRun
from .problems import answer
from .status_codes import Code

_TORNADO_REFUSAL = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class BoundedServer(HTTPServer):
    """A server whose memory is bounded by its settings, whatever clients send.

    :param application: the handler of the requests.
    :param name: the port's name in metrics.
    :param max_connections: connections beyond this number are refused and closed.
    :param certificates: the certificates and key to use, None for plain HTTP.
    """

    def initialize(  # type: ignore[override]
        self,
        application: Any,
        *,
        name: str,
        max_connections: int,
        certificates: Certificates | None = None,
        **kwargs: Any,
    ) -> None:
        context = certificates.server_context() if certificates else None
        super().initialize(application, ssl_options=context, **kwargs)
        self.name = name
        self.max_connections = max_connections
        self._malformed_response = _make_refusal(status_codes.BAD_REQUEST)
        self._too_large_response = _make_refusal(status_codes.TOO_LARGE)
        self._too_many_response = _make_refusal(status_codes.OVER_BUDGET, "too many connections")
        if certificates:
            certificates.on_change(self._on_certificates_changed)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a connection, or refuse it if there are too many."""
        if len(self._connections) >= self.max_connections:
            # Without a limit a flood of connections would exhaust memory and descriptors until the
            # process can't accept or connect any more. A refusal costs only a single write.
            metrics.refused_connections.add(1, {"port": self.name})
            stream.write(self._too_many_response).add_done_callback(lambda _: stream.close())
            return
        self._add_result_codes(stream)
        super().handle_stream(stream, address)

    def _on_certificates_changed(self, certificates: Certificates) -> None:
        self.ssl_options = certificates.server_context()

    def _add_result_codes(self, stream: IOStream) -> None:
        # Tornado answers what isn't HTTP with a bare 400 and closes the connection on oversized
        # headers without an answer. Both lack a result code, so they are replaced on the stream.
        write, close = stream.write, stream.close

        def write_with_code(data: bytes | memoryview) -> Any:
            if data == _TORNADO_REFUSAL:
                metrics.malformed_requests.add(1, {"port": self.name})
                data = self._malformed_response
            return write(data)

        def close_with_code(exc_info: Any = False) -> None:
            if isinstance(exc_info, UnsatisfiableReadError) and not stream.closed():
                metrics.malformed_requests.add(1, {"port": self.name})
                _send_and_shut_down(stream.socket, self._too_large_response)
            close(exc_info)

        stream.write = write_with_code  # type: ignore[method-assign]
        stream.close = close_with_code  # type: ignore[method-assign]


def bind(server: BoundedServer, port: int, address: str) -> int:
    """Listen on an address.

    :param server: the server that accepts the connections.
    :param port: the port, 0 for any free one.
    :param address: the IP address.
    :return: the port listened on.
    :raises MustardgapError: MG2003, the server can't listen on it.
    """
    try:
        sock = socket.create_server((address, port), backlog=1024, reuse_port=False)
    except OSError as exc:
        raise MustardgapError(
            code=status_codes.ADDRESS_IN_USE,
            detail=exc.strerror or str(exc),
            place=f"{address}:{port} ({server.name}.port)",
        ) from None
    sock.setblocking(False)
    server.add_sockets([sock])
    bound = int(sock.getsockname()[1])
    logging.debug("listening port=%d", bound)
    return bound


def _make_refusal(code: Code, detail: str = "") -> bytes:
    resp = answer(NotRun(code=code, detail=detail), request_id="")
    lines = [f"HTTP/1.1 {resp.status} {code.name}"]
    lines += [f"{name}: {value}" for name, value in resp.headers if value]
    lines += [f"Content-Length: {len(resp.body)}", "Connection: close"]
    return "\r\n".join([*lines, "", ""]).encode() + resp.body


def _send_and_shut_down(sock: socket.socket, data: bytes) -> None:
    with suppress(OSError):
        sock.send(data)
        sock.shutdown(socket.SHUT_WR)
        # Closing with unread bytes makes the kernel send a reset, which can overtake the refusal.
        while sock.recv(65536):
            pass
