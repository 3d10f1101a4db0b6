"""Client accounts of tests, the credentials that requests carry, and fronts that know them."""

from types import SimpleNamespace

from mustardgap import job_replies
from mustardgap.accounts import Account, AccountDirectory, digest_of
from mustardgap.events import EventLog
from mustardgap.job_gateways import JobGateway
from mustardgap.resources import NO_ROOM
from mustardgap.timers import Clock
from mustardgap.workloads import Configuration
from tools.owner_worlds import QUEUE

JOINERS_KEY, JOINERS_SECOND_KEY, JOINERS_NEW_KEY = "jK1-abc", "jK2-def", "jK3-ghi"
FITTERS_KEY = "fK1-xyz"
UNKNOWN_KEY = "nobody's"

CREDENTIALS = {
    "the key of joiners": [JOINERS_KEY],
    "the second key of joiners": [JOINERS_SECOND_KEY],
    "the key of fitters": [FITTERS_KEY],
    "no header": [],
    "an empty key": [""],
    "the key of joiners, twice": [JOINERS_KEY, JOINERS_KEY],
    "two accounts' keys": [JOINERS_KEY, FITTERS_KEY],
    "an unknown key": [UNKNOWN_KEY],
    "a key in other case": [JOINERS_KEY.upper()],
    "a key and a space": [JOINERS_KEY + " "],
    "a key of 256 characters": ["k" * 256],
    "a key of 10 KB": ["k" * 10_240],
    "a key that isn't ASCII": [JOINERS_KEY + "\xe9"],
    "a key with a control code": [JOINERS_KEY + "\x01"],
}
KEYS_BY_CALLER = {
    "joiners": [JOINERS_KEY],
    "joiners by their second key": [JOINERS_SECOND_KEY],
    "joiners by their new key": [JOINERS_NEW_KEY],
    "fitters": [FITTERS_KEY],
    "nobody by an unknown key": [UNKNOWN_KEY],
}
KEYS = {
    JOINERS_KEY: "joiners",
    JOINERS_SECOND_KEY: "joiners",
    FITTERS_KEY: "fitters",
}
CHANGES = {
    "the key of joiners taken away": {JOINERS_SECOND_KEY: "joiners", FITTERS_KEY: "fitters"},
    "the key of joiners at fitters": {**KEYS, JOINERS_KEY: "fitters"},
    "joiners removed": {FITTERS_KEY: "fitters"},
    "a new key of joiners": {**KEYS, JOINERS_NEW_KEY: "joiners"},
}


def directory(keys=KEYS, limit=NO_ROOM):
    """The accounts that have some keys; each is limited alike."""
    return AccountDirectory(
        by_name={name: Account(name, 1.0, limit) for name in sorted(set(keys.values()))},
        names_by_digest={digest_of(key): name for key, name in keys.items()},
    )


class CountingOwners:
    """Owners whose calls are counted, and answered by whatever the call is for."""

    REPLIES = {
        "submit": job_replies.ACCEPTED,
        "cancel": job_replies.CANCELLED,
        "state": job_replies.JobReply(job_replies.status_codes.JOB_STATE, state="queued"),
        "pending": job_replies.JobReply(job_replies.status_codes.JOB_STATE, pending=0),
    }

    def __init__(self):
        self.calls = 0
        self.owned_by_shard = {}
        self.members_by_shard = {}
        self.generation = 1

    def address_of(self, shard):
        return "10.0.0.1:1"

    async def refresh(self):
        """Read owners that haven't changed."""

    async def call(self, address, name, values, *, timeout_s):
        self.calls += 1
        return self.REPLIES[name].encode()


def gateway(events=None, keys=KEYS):
    """A gateway that knows the accounts, and the owners that it calls."""
    owners = CountingOwners()
    configuration = Configuration(1, {QUEUE.name: QUEUE}, {}, accounts=directory(keys))
    clock = Clock()
    made = JobGateway(
        owners=owners,
        operator=SimpleNamespace(configuration=configuration),
        peers=owners,
        shards=4,
        clock=clock,
        events=events or EventLog(host="e1", clock=clock),
    )
    return made, owners
