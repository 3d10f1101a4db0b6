"""Certificates for tests of TLS, and a server that disconnects after the handshake."""

import socket
import ssl
import struct
import threading

import trustme

from mustardgap.settings import TlsSettings

LINGER_RESET = struct.pack("ii", 1, 0)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"


def write_keys(authority, folder, name="127.0.0.1", parts=("certificate", "key", "authority")):
    """Issue a certificate, write its files and return its settings and contents."""
    folder.mkdir(exist_ok=True)
    issued = authority.issue_cert(name)
    pems = {
        "certificate": b"".join(pem.bytes() for pem in issued.cert_chain_pems),
        "key": issued.private_key_pem.bytes(),
        "authority": authority.cert_pem.bytes(),
    }
    for part in parts:
        (folder / f"{part}.pem").write_bytes(pems[part])
    paths = {part: str(folder / f"{part}.pem") for part in pems}
    return TlsSettings(**paths), pems


class DisconnectingServer:
    """A TLS server that answers a few requests and disconnects on the next one.

    :param authority: issues the server's certificate.
    :param answered: number of requests that it answers before it disconnects.
    :param reads: whether it reads the request that it doesn't answer.
    :param resets: whether it disconnects by a reset rather than an end of the stream.
    """

    def __init__(self, *, authority: trustme.CA, answered: int, reads: bool, resets: bool):
        self.answered = answered
        self.reads = reads
        self.resets = resets
        self.methods = []
        self._context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        authority.issue_cert("127.0.0.1").configure_cert(self._context)
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._sock.close()

    def _serve(self):
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            with self._context.wrap_socket(sock, server_side=True) as wrapped:
                if self.answered > 0:
                    self.answered -= 1
                    self._read(wrapped)
                    wrapped.sendall(ANSWER)
                    continue
                if self.reads:
                    self._read(wrapped)
                if self.resets:
                    wrapped.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    def _read(self, wrapped):
        self.methods.append(wrapped.recv(10_000).split(b" ")[0].decode())
