"""The options that all commands share, and running a command's calls."""

import asyncio
import contextlib
import math
import os
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeVar

import click
from click.shell_completion import CompletionItem

from . import status_codes
from .__version__ import __version__
from .clients import DEFAULT_ENTRY, Client
from .exceptions import MustardgapError
from .outputs import print_json
from .setting_checks import is_ip
from .settings import TlsSettings

T = TypeVar("T")

COMPLETION_TIMEOUT_S = 1.0

EPILOG = """\b
Examples:
  mustardgap status
  mustardgap diff config/
  mustardgap apply config/ --wait
  mustardgap --entry 10.0.0.1:8081 --entry 10.0.0.2:8081 hosts
  mustardgap timeline --since 10m --service deposits
  mustardgap explain code MG3000

Exit statuses are those of the result codes: mustardgap explain code NUMBER.
"""


class SecondsType(click.FloatRange):
    """Seconds in a range; "nan" is a float that no range refuses and no wait ends at."""

    name = "number of seconds"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The number of seconds."""
        seconds = super().convert(value, param, ctx)
        if not math.isfinite(seconds):
            self.fail(f"{value!r} is not a finite number.", param, ctx)
        return seconds


class Options(NamedTuple):
    """The options that all commands share."""

    entries: tuple[str, ...]
    output: str
    timeout_s: float
    tls: TlsSettings | None

    @property
    def json(self) -> bool:
        """Whether to print JSON."""
        return self.output == "json"


@click.group(epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="mustardgap")
@click.option(
    "--entry",
    "entries",
    multiple=True,
    metavar="IP:PORT",
    help="Operators' port of an entry host; may be given several times, they are tried in turn. "
    f"Default: $MUSTARDGAP_ENTRY (separated by spaces or commas), else {DEFAULT_ENTRY}.",
)
@click.option("--output", type=click.Choice(["text", "json"]), default="text", show_default=True)
@click.option(
    "--call-timeout",
    type=SecondsType(0.1, 600),
    default=15.0,
    show_default=True,
    help="Seconds that one call to an entry host may take.",
)
@click.option("--tls-certificate", type=click.Path(), envvar="MUSTARDGAP_TLS_CERTIFICATE")
@click.option("--tls-key", type=click.Path(), envvar="MUSTARDGAP_TLS_KEY")
@click.option("--tls-authority", type=click.Path(), envvar="MUSTARDGAP_TLS_AUTHORITY")
@click.pass_context
def cli(
    ctx: click.Context,
    entries: tuple[str, ...],
    output: str,
    call_timeout: float,
    tls_certificate: str | None,
    tls_key: str | None,
    tls_authority: str | None,
) -> None:
    """Publish capacity profiles, watch them take effect, and run maintenance."""
    tls = _tls(tls_certificate, tls_key, tls_authority)
    ctx.obj = Options(_entries(entries), output, call_timeout, tls)


class NameType(click.ParamType):
    """A name of something, which a shell can complete by asking an entry host.

    :param collection: such as ``hosts`` or ``jobs``.
    """

    name = "name"

    def __init__(self, collection: str) -> None:
        self.collection = collection

    def shell_complete(
        self, ctx: click.Context, param: click.Parameter, incomplete: str
    ) -> list[CompletionItem]:
        """The names that begin like this."""
        shared = ctx.find_root().params
        # Nothing may be printed while a shell completes, whatever goes wrong.
        with contextlib.suppress(MustardgapError):
            entries = _entries(tuple(shared.get("entries") or ()))
            tls = _tls(*(shared.get(f"tls_{part}") for part in ("certificate", "key", "authority")))
            names = asyncio.run(_names(entries, tls, self.collection))
            return [CompletionItem(name) for name in names if name.startswith(incomplete)]
        return []


async def _names(entries: tuple[str, ...], tls: TlsSettings | None, collection: str) -> list[str]:
    async with Client(entries=entries, timeout_s=COMPLETION_TIMEOUT_S, tls=tls) as client:
        return sorted((await client.items(collection))["items"])


def options() -> Options:
    """The shared options of the command that runs."""
    found = click.get_current_context().find_object(Options)
    assert found is not None
    return found


def run(call: Callable[[Client], Awaitable[T]]) -> T:
    """Run a coroutine function with a client of the command that runs."""
    shared = options()

    async def with_client() -> T:
        client = Client(entries=shared.entries, timeout_s=shared.timeout_s, tls=shared.tls)
        async with client:
            return await call(client)

    return asyncio.run(with_client())


def emit(value: Any, show: Callable[[], None]) -> None:
    """Print a value as JSON, or call ``show`` to print it as text."""
    if options().json:
        print_json(value)
    else:
        show()


def _entries(given: tuple[str, ...]) -> tuple[str, ...]:
    named = given or tuple(os.environ.get("MUSTARDGAP_ENTRY", "").replace(",", " ").split())
    for entry in named:
        _check_entry(entry)
    return named or (DEFAULT_ENTRY,)


def _check_entry(entry: str) -> None:
    host, _, port = entry.rpartition(":")
    is_port = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    is_host = host == "localhost" or (is_ip(bare) and (":" not in bare or bare != host))
    if not is_port or not is_host:
        raise MustardgapError(
            code=status_codes.USAGE, detail=f"{entry!r} is not IP:PORT", place="--entry"
        )


def _tls(certificate: str | None, key: str | None, authority: str | None) -> TlsSettings | None:
    if not (certificate or key or authority):
        return None
    if not (certificate and key and authority):
        raise MustardgapError(
            code=status_codes.USAGE,
            detail="--tls-certificate, --tls-key and --tls-authority go together",
            place="mustardgap",
        )
    return TlsSettings(certificate=certificate, key=key, authority=authority)
