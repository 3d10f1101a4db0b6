"""Turns IP numbers into addresses without asking anyone."""

import ipaddress
import socket
from typing import Any

from tornado.netutil import DefaultLoopResolver, Resolver


class NumericResolver(Resolver):
    """Takes IP numbers as they are; the default would ask a thread for each connection."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Make the address of an IP number and port."""
        address_family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return [(address_family, (host, port))]


class NumericFirstResolver(DefaultLoopResolver):
    """Takes IP numbers as they are, and has other names looked up by a thread."""

    def initialize(self) -> None:
        """Make the resolver for IP numbers."""
        self._numeric = NumericResolver()

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Make the address of an IP number or a name, and a port."""
        try:
            ipaddress.ip_address(host)
        except ValueError:
            return await super().resolve(host, port, family)
        return await self._numeric.resolve(host, port, family)
