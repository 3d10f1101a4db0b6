"""gRPC channels and servers between entry hosts, with TLS if configured."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import grpc

from . import grpc_threads, status_codes
from .certificates import Certificates, PemFiles
from .exceptions import MustardgapError
from .messages import MAX_FRAME_BYTES
from .settings import PeersSettings, TlsSettings

SERVICE = "mustardgap.Peers"


async def make_server(
    address: str, settings: PeersSettings, methods: dict[str, Callable[..., Any]]
) -> grpc.aio.Server:
    """Create a server that listens on an address; its streams carry bytes.

    :param address: ``ip:port`` to listen on.
    :param settings: the peer settings.
    :param methods: the handlers of bidirectional streams by method name.
    :raises MustardgapError: MG2003 if the address is in use, MG2006 if the keys are invalid.
    """
    grpc_threads.keep_running()
    # Done first: a server, once created, must be started and stopped even after a failure.
    credentials = _server_credentials(settings.tls) if settings.tls is not None else None
    server = grpc.aio.server(options=_options(settings))
    handlers = {
        name: grpc.stream_stream_rpc_method_handler(handler) for name, handler in methods.items()
    }
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE, handlers),))
    try:
        if credentials is None:
            server.add_insecure_port(address)
        else:
            server.add_secure_port(address, credentials)
    except RuntimeError:
        # A server that was never started can't be stopped, and one that isn't stopped breaks the
        # interpreter's shutdown.
        await server.start()
        await server.stop(None)
        place = f"{address} (peers.port)"
        raise MustardgapError(code=status_codes.ADDRESS_IN_USE, place=place) from None
    return server


def open_channel(address: str, settings: PeersSettings) -> grpc.aio.Channel:
    """Open a channel with a connection of its own.

    :param address: ``ip:port`` of the peer.
    :param settings: the peer settings.
    """
    options = _options(settings)
    if settings.tls is None:
        return grpc.aio.insecure_channel(address, options=options)
    credentials = _channel_credentials(settings.tls)
    return grpc.aio.secure_channel(address, credentials, options=options)


def _options(settings: PeersSettings) -> list[tuple[str, int]]:
    timeout_ms = int(settings.suspect_s * 1000)
    return [
        ("grpc.keepalive_time_ms", 10_000),
        ("grpc.keepalive_timeout_ms", timeout_ms),
        ("grpc.keepalive_permit_without_calls", 1),
        ("grpc.http2.max_pings_without_data", 0),
        ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
        ("grpc.http2.max_ping_strikes", 0),
        ("grpc.max_receive_message_length", MAX_FRAME_BYTES),
        ("grpc.max_send_message_length", MAX_FRAME_BYTES),
        # Otherwise channels to one address share a connection, and a stream that replaces a silent
        # one would be opened on the same dead connection.
        ("grpc.use_local_subchannel_pool", 1),
        ("grpc.so_reuseport", 0),
        ("grpc.enable_http_proxy", 0),
    ]


def _server_credentials(tls: TlsSettings) -> grpc.ServerCredentials:
    """Return credentials that follow the files; gRPC fetches them for each connection."""
    certificates = Certificates(settings=tls)

    def fetch_changed() -> grpc.ServerCertificateConfiguration | None:
        return _configuration(certificates.files) if certificates.reload() else None

    return grpc.dynamic_ssl_server_credentials(
        _configuration(certificates.files), fetch_changed, require_client_authentication=True
    )


def _configuration(files: PemFiles) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration(
        [(files.key, files.certificate)], root_certificates=files.authority
    )


def _channel_credentials(tls: TlsSettings) -> grpc.ChannelCredentials:
    return grpc.ssl_channel_credentials(*_read_credentials(tls))


def _read_credentials(tls: TlsSettings) -> tuple[bytes, bytes, bytes]:
    """Read authority, key and certificate; each new channel thus uses renewed files."""
    try:
        authority, key, certificate = (
            Path(path).read_bytes() for path in (tls.authority, tls.key, tls.certificate)
        )
    except OSError as exc:
        raise MustardgapError(code=status_codes.TLS_INVALID, detail=str(exc)) from None
    return authority, key, certificate
