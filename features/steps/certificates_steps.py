"""Steps for the certificates of the peers' streams."""

import asyncio
import threading

import grpc
import trustme
from behave import given, then, when

from mustardgap import channels
from mustardgap.settings import PeersSettings, TlsSettings
from tools.processes import free_ports

PARTS = ("certificate", "key", "authority")
WAIT_S = 10.0


def issue_certificate(authority, folder, trusted=None):
    """Issue a certificate, write its files and return their contents."""
    folder.mkdir(exist_ok=True)
    issued = authority.issue_cert("127.0.0.1")
    pems = {
        "certificate": b"".join(pem.bytes() for pem in issued.cert_chain_pems),
        "key": issued.private_key_pem.bytes(),
        "authority": (trusted or authority).cert_pem.bytes(),
    }
    write(folder, pems, PARTS)
    return pems


def write(folder, pems, parts):
    for part in parts:
        (folder / f"{part}.pem").write_bytes(pems[part])


def settings_of(folder):
    paths = {part: str(folder / f"{part}.pem") for part in PARTS}
    return PeersSettings(tls=TlsSettings(**paths))


async def echo(stream, context):
    async for data in stream:
        yield data


async def can_open_stream(context, folder):
    """Return whether a stream opens with a folder's certificate and echoes data."""
    async with channels.open_channel(context.address, settings_of(folder)) as channel:
        call = channel.stream_stream(f"/{channels.SERVICE}/Echo")(wait_for_ready=False)
        try:
            await call.write(b"hello")
            return await asyncio.wait_for(call.read(), WAIT_S) == b"hello"
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            return False


def check_stream(context, authority, trusted, expected):
    folder = context.folder / "client"
    issue_certificate(authority, folder, trusted)
    future = asyncio.run_coroutine_threadsafe(can_open_stream(context, folder), context.loop)
    assert future.result(3 * WAIT_S) is expected


@given("certificates for a peer's port")
def start(context):
    context.authority = trustme.CA()
    context.keys = context.folder / "server"
    issue_certificate(context.authority, context.keys)
    context.address = f"127.0.0.1:{free_ports(1)[0]}"
    context.loop = asyncio.new_event_loop()
    threading.Thread(target=context.loop.run_forever, daemon=True).start()
    context.add_cleanup(lambda: context.loop.call_soon_threadsafe(context.loop.stop))

    async def serve():
        keys = settings_of(context.keys)
        server = await channels.make_server(context.address, keys, {"Echo": echo})
        await server.start()
        return server

    server = asyncio.run_coroutine_threadsafe(serve(), context.loop).result(WAIT_S)
    context.add_cleanup(
        lambda: asyncio.run_coroutine_threadsafe(server.stop(0), context.loop).result(WAIT_S)
    )


@then("certificates of the authority open a stream, and those of another authority don't")
def check_first(context):
    check_stream(context, context.authority, context.authority, True)
    check_stream(context, trustme.CA(), context.authority, False)


@when("certificates are renewed under a new authority, except for the key")
def renew_half(context):
    context.new_authority = trustme.CA()
    old_key = (context.keys / "key.pem").read_bytes()
    context.pems = issue_certificate(context.new_authority, context.keys)
    (context.keys / "key.pem").write_bytes(old_key)


@then("certificates of the old authority still open a stream")
def check_half(context):
    check_stream(context, context.authority, context.authority, True)


@when("certificates' key is renewed too")
def renew_key(context):
    write(context.keys, context.pems, ("key",))


@then("certificates of the new authority open a stream, and those of the old authority don't")
def check_renewed(context):
    check_stream(context, context.new_authority, context.new_authority, True)
    check_stream(context, context.authority, context.new_authority, False)
