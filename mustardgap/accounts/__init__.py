"""Client accounts: who calls, by which key, and how much an account may have running.

This package knows nothing of jobs, hosts or the platform, and imports nothing but amounts of
resources. Keys are secrets: only their digests are kept, compared and sent between hosts.
"""

from .allowances import (
    NO_GRANT,
    AllowanceGranter,
    Grant,
    GrantNumber,
    PoolAllowances,
    PoolUse,
    fits,
)
from .credentials import CredentialProblem, Identity, digest_of, read_key
from .directories import Account, AccountDirectory
from .shares import (
    ArrivalCounter,
    ArrivedWork,
    ExcessFigures,
    ShareBalancer,
    SharePlan,
    Work,
    cores_per_mb,
    valid_weight,
)

__all__ = [
    "NO_GRANT",
    "Account",
    "AccountDirectory",
    "AllowanceGranter",
    "ArrivalCounter",
    "ArrivedWork",
    "CredentialProblem",
    "ExcessFigures",
    "Grant",
    "GrantNumber",
    "Identity",
    "PoolAllowances",
    "PoolUse",
    "ShareBalancer",
    "SharePlan",
    "Work",
    "cores_per_mb",
    "digest_of",
    "fits",
    "read_key",
    "valid_weight",
]
