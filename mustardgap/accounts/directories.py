"""The client accounts of one version of the configuration."""

from collections.abc import Sequence
from typing import NamedTuple

from ..resources import Room
from .credentials import CredentialProblem, Identity, KeyDigest, read_key


class Account(NamedTuple):
    """A client account.

    ``weight`` is its share when everything is full. ``limit`` bounds what it may have running on
    all executors together; a resource with 0 has no bound.
    """

    name: str
    weight: float
    limit: Room

    @property
    def is_limited(self) -> bool:
        """Whether any resource is bounded."""
        return any(self.limit)


class AccountDirectory(NamedTuple):
    """Client accounts by name, and the name of the account that has each key, by its digest."""

    by_name: dict[str, Account]
    names_by_digest: dict[KeyDigest, str]

    def identify(self, values: Sequence[str], version: int) -> Identity | CredentialProblem:
        """Identify a caller.

        :param values: the values of the request's credential headers.
        :param version: the version of the configuration that these accounts are from.
        """
        digest = read_key(values)
        if isinstance(digest, CredentialProblem):
            return digest
        return self.identify_digest(digest, version)

    def identify_digest(self, digest: KeyDigest, version: int) -> Identity | CredentialProblem:
        """Identify a caller whose key was read by another host.

        :param digest: the key's digest.
        :param version: the version of the configuration that these accounts are from.
        """
        name = self.names_by_digest.get(digest)
        if name is None:
            return CredentialProblem.UNKNOWN
        return Identity(name, digest, version)
