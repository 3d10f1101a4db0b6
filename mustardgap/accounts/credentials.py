"""API keys as callers present them, and the identity that a valid key gives a caller."""

import enum
import hashlib
from collections.abc import Sequence
from typing import NamedTuple

KeyDigest = str

# Longer keys are refused before anything is computed from them.
MAX_KEY_CHARS = 256
DIGEST_BYTES = 16


class CredentialProblem(enum.Enum):
    """Why a request's credential identifies no account; the text is shown to the caller."""

    MISSING = "the request carries no key"
    REPEATED = "the request carries more than one key"
    MALFORMED = "the key isn't printable ASCII of 1 to 256 characters"
    UNKNOWN = "no account has this key"


class Identity(NamedTuple):
    """The account that a caller's key belonged to in one version of the configuration."""

    account: str
    key_digest: KeyDigest
    version: int


def digest_of(key: str) -> KeyDigest:
    """Return the digest by which a key is known.

    Keys are looked up by their digests, so the duration of a lookup says nothing of how much of a
    guessed key is right.
    """
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()


def read_key(values: Sequence[str]) -> KeyDigest | CredentialProblem:
    """Return the digest of the one key that a request carries.

    :param values: the values of all its credential headers.
    :return: the digest, or the problem with the values.
    """
    if not values:
        return CredentialProblem.MISSING
    if len(values) > 1:
        return CredentialProblem.REPEATED
    key = values[0]
    if not key:
        return CredentialProblem.MISSING
    if len(key) > MAX_KEY_CHARS or not (key.isascii() and key.isprintable()):
        return CredentialProblem.MALFORMED
    return digest_of(key)
