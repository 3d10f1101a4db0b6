"""Turns IP numbers into addresses without asking anyone."""

import socket
from typing import Any

from tornado.netutil import Resolver


class NumericResolver(Resolver):
    """Takes IP numbers as they are; the default would ask a thread for each connection."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Make the address of an IP number and port."""
        kind = socket.AF_INET6 if ":" in host else socket.AF_INET
        return [(kind, (host, port))]
