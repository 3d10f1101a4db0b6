"""What both stand-ins' HTTP servers share: JSON handlers, the faults' control, start and end."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from tornado.web import RequestHandler

from mustardgap import status_codes
from mustardgap.exceptions import MustardgapError

from .faults import Fault, Faults

Body = TypeVar("Body")


class JsonHandler(RequestHandler):
    """Answers in JSON; errors are ``{"error": "<text>"}``."""

    def decode(self, schema: type[Body]) -> Body:
        """Decode and check the body.

        :raises msgspec.MsgspecError: it isn't valid; answered with 400.
        """
        return msgspec.json.decode(self.request.body, type=schema)

    def number(self, name: str, default: float, least: float, most: float) -> float:
        """A number of the query, within its limits.

        :raises ValueError: it isn't a number, or not within them; answered with 400.
        """
        value = float(self.get_query_argument(name, str(default)))
        if not least <= value <= most:
            raise ValueError(f"{name} must be from {least:g} to {most:g}")
        return value

    def reply(self, value: Any, *, status: int = 200) -> None:
        """Answer with a value, or with bytes that are JSON already."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(value if isinstance(value, bytes) else msgspec.json.encode(value))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an exception as JSON."""
        exc = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(exc, ValueError | msgspec.MsgspecError):
            status_code = 400
        self.reply({"error": str(exc or self._reason)}, status=status_code)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Keep the caller's mistakes out of the log."""
        if not isinstance(value, ValueError | msgspec.MsgspecError):
            super().log_exception(typ, value, tb)

    def compute_etag(self) -> str | None:
        """Tornado would digest each answer; nobody asks for it."""
        return None


class FaultsHandler(JsonHandler):
    """``/control/faults``: POST switches one on, DELETE switches off, GET lists."""

    def initialize(self, faults: Faults) -> None:
        """Take what the application hands in."""
        self.faults = faults

    def get(self) -> None:
        """List the faults that are on."""
        self.reply({"faults": self.faults.active})

    def post(self) -> None:
        """Switch a fault on."""
        self.faults.add(self.decode(Fault))
        self.get()

    def delete(self) -> None:
        """Switch off all faults, or those of a ``fault`` and ``on`` in the query."""
        name, on = (self.get_query_argument(key, "") for key in ("fault", "on"))
        self.reply({"cleared": self.faults.clear(name, on)})


def quiet(handler: RequestHandler) -> None:
    """Log no line for a request."""


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run a stand-in until SIGTERM or SIGINT.

    :param main: starts everything and returns.
    """
    try:
        asyncio.run(_until_signal(main))
    except MustardgapError as exc:
        print(exc, file=sys.stderr)
        sys.exit(exc.code.exit_status)
    except OSError as exc:
        print(f"{status_codes.ADDRESS_IN_USE}: {exc}", file=sys.stderr)
        sys.exit(status_codes.ADDRESS_IN_USE.exit_status)


async def _until_signal(main: Callable[[], Awaitable[None]]) -> None:
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, ended.set)
    await main()
    await ended.wait()
