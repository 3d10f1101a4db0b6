"""Client accounts: who calls, by which key, and how much an account may have running.

This package knows nothing of jobs, hosts or the platform, and imports nothing but amounts of
resources. Keys are secrets: only their digests are kept, compared and sent between hosts.
"""

from .allowances import AllowanceGranter, Grant, PoolAllowances, PoolUse, fits
from .credentials import CredentialProblem, Identity, digest_of, read_key
from .directories import Account, AccountDirectory

__all__ = [
    "Account",
    "AccountDirectory",
    "AllowanceGranter",
    "CredentialProblem",
    "Grant",
    "Identity",
    "PoolAllowances",
    "PoolUse",
    "digest_of",
    "fits",
    "read_key",
]
