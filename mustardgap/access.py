"""Checks at the owner of a queue whether a caller may use it, and a job in it."""

from . import job_replies
from .accounts import CredentialProblem, Identity
from .job_replies import JobReply
from .workloads import Configuration


def check_identity(
    configuration: Configuration | None, identity: Identity | None, queue_name: str | None
) -> Identity | JobReply | None:
    """Check a caller's identity again by this host's configuration, if that is the newer one.

    The host that the caller reached may not know yet that a key was taken away. Without this check,
    the key would work there for as long as the store turns that host away.

    :param configuration: the configuration that this host knows.
    :param identity: as the caller's host determined it.
    :param queue_name: the queue that the call is about, None if it isn't known.
    :return: the identity that holds, None for anybody, or the reply that refuses the call.
    """
    if configuration is None or configuration.accounts is None:
        return identity
    if identity is None:
        if queue_name is not None and configuration.needs_key(queue_name):
            return job_replies.owner_unavailable("the caller's daemon has checked no key")
        return None
    if identity.version >= configuration.version:
        return identity
    current = configuration.accounts.identify_digest(identity.key_digest, configuration.version)
    if isinstance(current, CredentialProblem):
        return job_replies.credential_refused(current)
    return current


def may_use(account: str, identity: Identity | None) -> bool:
    """Whether a caller may use a job.

    :param account: the account that submitted the job; empty for a job without one.
    :param identity: the caller's identity, None where no key is needed.
    """
    return not account or identity is None or identity.account == account
