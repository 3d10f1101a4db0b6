"""Builds the components of an entry host and connects them."""

from typing import Any

from . import explanations, observers, reasons
from .actors import Actors
from .adapters import Platform
from .brokers import Broker
from .callers import Callers
from .departures import Departures
from .enrolments import Enrolment
from .executors import Executors
from .fold_events import FoldEvents
from .gossip import Gossiper
from .keys import Keys
from .members import Members, me_from
from .operators import Explainer, Operators
from .peers import Peers
from .presence import Presence
from .readiness import Readiness, is_current_since
from .relays import Relays
from .sessions import Sessions
from .settings import Settings
from .shares import FixedShares, LeastInFlight
from .slots import DEFAULT_MAX_WAIT_S, SharingPolicy, Slots
from .states import State
from .streams import Log
from .timelines import Timeline
from .timers import Clock, Timers
from .workers import Workers


class Parts:
    """Builds the components of an entry host from its settings.

    :param settings: the checked settings.
    :param clock: the clocks to read.
    """

    def __init__(self, *, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.timers = Timers(clock=clock)
        self._max_hold_s_by_service: dict[str, float] = {}
        self.state = State()
        self.timeline = Timeline(
            member=settings.host, size=settings.timeline_size, clock=self.timers.clock
        )
        self.readiness = Readiness(timeline=self.timeline)
        self.platform = Platform(
            address=settings.platform.address, timeout_s=settings.platform.timeout_s
        )
        self._build_membership()
        self._build_decisions()
        self._build_requests()
        FoldEvents(log=self.log, timeline=self.timeline)
        observers.observe(
            log=self.log,
            members=self.members,
            peers=self.peers,
            readiness=self.readiness,
            timers=self.timers,
        )
        self.operators = Operators(
            settings=settings,
            log=self.log,
            members=self.members,
            timeline=self.timeline,
            readiness=self.readiness,
            explainers=self._explainers(),
            services_view=self._services_view,
        )

    def open(self) -> None:
        """Start the timers that need a running event loop but no supervised child."""
        self.timers.subscribe("gossip", self.settings.peers.gossip_s, self.gossiper.run_round)

    def close(self) -> None:
        """Close the resources that the supervised children don't close."""
        self.callers.close()
        self.timers.close()
        self.platform.close()

    def _build_membership(self) -> None:
        self.members = Members(
            me=me_from(self.settings), settings=self.settings, timers=self.timers
        )
        self.peers = Peers(
            members=self.members,
            settings=self.settings,
            timers=self.timers,
            timeline=self.timeline,
        )
        self.gossiper = Gossiper(peers=self.peers)
        self.presence = Presence(platform=self.platform, peers=self.peers, gossiper=self.gossiper)

    def _build_decisions(self) -> None:
        self.log = Log(
            platform=self.platform,
            state=self.state,
            settings=self.settings.platform,
            timers=self.timers,
            timeline=self.timeline,
            member=self.members.me.id,
        )
        self.log.checkpoints.is_owner = lambda key: self.members.owner(key) == self.members.me.id
        self.relays = Relays(
            log=self.log,
            peers=self.peers,
            members=self.members,
            stale_after_s=self.settings.platform.stale_after_s,
            clock=self.timers.clock,
        )
        self.log.on_fold(lambda record, verdict: self._publish_offset())
        self.log.on_restore(self._publish_offset)
        self.workers = Workers(platform=self.platform, settings=self.settings, timers=self.timers)
        self.actors = Actors(
            platform=self.platform,
            log=self.log,
            members=self.members,
            workers=self.workers,
            settings=self.settings,
            timers=self.timers,
            timeline=self.timeline,
        )

    def _publish_offset(self) -> None:
        self.members.update_me(offset=self.log.offset)

    def _build_requests(self) -> None:
        clock = self.timers.clock
        self.executors = Executors(
            settings=self.settings,
            state=self.state,
            workers=self.workers,
            timeline=self.timeline,
            timers=self.timers,
            clock=clock,
        )
        Departures(executors=self.executors, gossiper=self.gossiper)
        self.presence.on_leaving_workers(self.executors.leaving_workers)
        self.presence.on_leaving_workers(self.actors.leaving_workers)
        self.slots = Slots(
            settings=self.settings,
            executors=self.executors,
            timers=self.timers,
            max_wait_s=self._max_wait_s,
        )
        self.slots.sharing = self._build_sharing()
        self.enrolment = Enrolment(
            log=self.log, members=self.members, settings=self.settings, timers=self.timers
        )
        self.enrolment.subscribe(self.slots.sharing)
        self.keys = Keys(
            settings=self.settings,
            platform=self.platform,
            member=self.members.me.id,
            clock=clock,
        )
        self.sessions = Sessions(
            settings=self.settings,
            state=self.state,
            executors=self.executors,
            slots=self.slots,
            keys=self.keys,
            timeline=self.timeline,
            clock=clock,
        )
        self.callers = Callers(
            settings=self.settings,
            sessions=self.sessions,
            timeline=self.timeline,
            readiness=self.readiness,
            clock=clock,
            timers=self.timers,
        )

    def _build_sharing(self) -> SharingPolicy:
        sharing = self.settings.requests.sharing
        if sharing == "fixed":
            return FixedShares(slots=self.slots, members=self.members)
        if sharing == "least":
            return LeastInFlight(slots=self.slots, gossiper=self.gossiper)
        return Broker(
            slots=self.slots,
            members=self.members,
            peers=self.peers,
            settings=self.settings,
            timers=self.timers,
            state=self.state,
            services=lambda: self.state.declared("service"),
            max_hold_s=self._max_hold_s,
            may_use=self._may_use,
        )

    def _may_use(self, since: float) -> bool:
        """Return whether the state is current by what was learned since a monotonic time."""
        now = self.timers.clock.monotonic()
        return self.log.current and is_current_since(
            known_at=now - self.log.seconds_since_confirmed(),
            now=now,
            since=since,
            stale_after_s=self.settings.platform.stale_after_s,
            members=self.members,
        )

    def _max_wait_s(self, service: str) -> float:
        profile = self.state.profile_of(service)
        if profile is None or "limits" not in profile:
            return DEFAULT_MAX_WAIT_S
        return profile["limits"]["max_wait_s"]

    def _max_hold_s(self, service: str) -> float:
        """Return the longest time in seconds that a request of a service can hold a slot.

        The highest limit that this run has seen counts, also after the limit was lowered.
        """
        profile = self.state.profile_of(service)
        max_timeout_s = self.settings.callers.max_timeout_s
        limit = max_timeout_s
        if profile is not None and "limits" in profile:
            limit = min(profile["limits"]["timeout_s"], max_timeout_s)
        self._max_hold_s_by_service[service] = max(
            limit, self._max_hold_s_by_service.get(service, 0.0)
        )
        return self._max_hold_s_by_service[service]

    def _services_view(self) -> dict[str, Any]:
        return {
            service: {
                "executors": len(self.executors.candidates(service)),
                "waiting": self.slots.waiting(service),
            }
            for service in self.state.declared("service")
        }

    def _explainers(self) -> dict[str, Explainer]:
        return {
            "code": explanations.explain_code,
            "host": lambda name: {"lines": reasons.explain(self.state, "host", name)},
            "pool": lambda name: {"lines": reasons.explain(self.state, "pool", name)},
            "service": lambda name: {"lines": reasons.explain(self.state, "service", name)},
        }
