"""Tornado resolvers that convert IP addresses without a name lookup."""

import ipaddress
import socket
from typing import Any

from tornado.netutil import DefaultLoopResolver, Resolver


class NumericResolver(Resolver):
    """Converts IP addresses only; the default would use a thread for each connection."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the socket address of an IP address and port."""
        address_family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return [(address_family, (host, port))]


class NumericFirstResolver(DefaultLoopResolver):
    """Converts IP addresses directly, and resolves host names in a thread."""

    def initialize(self) -> None:
        """Create the resolver of IP addresses."""
        self._numeric = NumericResolver()

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the socket addresses of an IP address or host name, and a port."""
        try:
            ipaddress.ip_address(host)
        except ValueError:
            return await super().resolve(host, port, family)
        return await self._numeric.resolve(host, port, family)
