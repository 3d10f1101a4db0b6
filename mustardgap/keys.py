"""Claims of Idempotency-Keys on the platform's log: the same key runs once, through any host."""

from typing import Any, NamedTuple

from . import status_codes
from .outcomes import NotRun, Outcome
from .settings import Settings
from .timers import Clock
from .upstreams import Request


class Claim(NamedTuple):
    """The right to run the request of one key."""

    id: str
    service: str
    key: str


class Keys:
    """The claims of all entry hosts, as read from the log.

    :param settings: the daemon's settings.
    :param platform: the log.
    :param member: this entry host's name and incarnation.
    :param clock: the clocks to read.
    """

    def __init__(
        self, *, settings: Settings, platform: Any, member: str, clock: Clock | None = None
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.member = member
        self.clock = clock or Clock()

    async def run(self) -> None:
        """Read and append until cancelled."""

    async def claim(self, service: str, request: Request, *, deadline: float) -> Claim | Outcome:
        """Claim the key of a request."""
        return NotRun(code=status_codes.KEY_UNDECIDED)

    def finish(self, claim: Claim, outcome: Outcome) -> None:
        """Note the outcome of a claimed request."""
