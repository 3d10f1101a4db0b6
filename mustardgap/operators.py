"""The HTTP server for operators, on a port of its own."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.web import Application

from . import operator_changes, operator_steps, operator_views
from .certificates import RELOAD_PERIOD_S, Certificates
from .operator_handlers import JsonHandler, MissingHandler
from .readiness import Readiness
from .servers import BoundedServer, bind
from .settings import Settings
from .timelines import Timeline

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HEADER_BYTES = 32 * 1024
MAX_CONNECTIONS = 200
HEADER_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 20.0
# Time for the last answers to go out before the connections close.
CUT_OFF_S = 1.0

Explainer = Callable[[str], Any | Awaitable[Any]]

HANDLERS: list[tuple[str, type[JsonHandler]]] = [
    (r"/live", operator_views.LiveHandler),
    (r"/ready", operator_views.ReadyHandler),
    (r"/metrics", operator_views.MetricsHandler),
    (r"/v1/status", operator_views.StatusHandler),
    (r"/v1/declarations", operator_views.DeclarationsHandler),
    (r"/v1/timeline", operator_views.TimelineHandler),
    (r"/v1/explain/(host|pool|service|job|request|code)/([^/]+)", operator_views.ExplainHandler),
    (r"/v1/changes", operator_changes.ChangesHandler),
    (r"/v1/jobs/cancel", operator_changes.CancelHandler),
    (r"/v1/jobs/([^/]+)", operator_changes.JobHandler),
    (r"/v1/jobs", operator_changes.JobsHandler),
    (r"/v1/hosts/([^/]+)/(drain|undrain)", operator_steps.DrainHandler),
    (r"/v1/waves/([^/]+)/(pause|resume|finish)", operator_steps.WaveStepHandler),
    (r"/v1/waves", operator_steps.WavesHandler),
    (r"/v1/(profiles|services|pools|teams|policies|hosts|waves)", operator_views.ItemsHandler),
    (
        r"/v1/(profiles|services|pools|teams|policies|hosts|waves)/([^/]+)",
        operator_views.ItemsHandler,
    ),
]


class Operators:
    """Serves the operators' interface of one entry host.

    :param settings: the daemon's settings.
    :param log: the state stream; what is written goes through it, what is shown is its state.
    :param members: the entry hosts known.
    :param timeline: this daemon's events.
    :param readiness: whether this entry host is ready.
    :param explainers: by kind, a function (or coroutine function) from a name to the answer.
    :param services_view: what ``/v1/status`` shows of each service.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        log: Any,
        members: Any,
        timeline: Timeline,
        readiness: Readiness,
        explainers: dict[str, Explainer] | None = None,
        services_view: Callable[[], dict[str, Any]] | None = None,
    ) -> None:
        self.settings = settings
        self.log = log
        self.members = members
        self.timeline = timeline
        self.readiness = readiness
        self.explainers_by_kind = explainers or {}
        self.services_view = services_view or dict
        self._handling: set[asyncio.Task[Any]] = set()
        self.started = timeline.clock.monotonic()
        self.port = settings.operators.port
        tls = settings.operators.tls
        self.certificates = Certificates(settings=tls) if tls else None

    async def run(self) -> None:
        """Serve until cancelled."""
        server = self.listen()
        try:
            while True:
                await asyncio.sleep(RELOAD_PERIOD_S)
                if self.certificates:
                    self.certificates.reload()
        finally:
            server.stop()
            await self._cut_off()
            await asyncio.shield(server.close_all_connections())

    def note_handling(self, task: asyncio.Task[Any] | None) -> None:
        """Note the task that handles a request, for as long as it runs."""
        if task is not None:
            self._handling.add(task)
            task.add_done_callback(self._handling.discard)

    async def _cut_off(self) -> None:
        """End the handling of requests, each with an answer, before their connections close."""
        if self._handling:
            for task in self._handling:
                task.cancel()
            await asyncio.wait(list(self._handling), timeout=CUT_OFF_S)

    def listen(self) -> BoundedServer:
        """Open the port.

        :raises MustardgapError: MG2003 when the port can't be had.
        """
        application = Application(
            [(pattern, handler, {"operators": self}) for pattern, handler in HANDLERS],
            default_handler_class=MissingHandler,
            default_handler_args={"operators": self},
            log_function=lambda handler: None,
        )
        server = BoundedServer(
            application,
            name="operators",
            max_connections=MAX_CONNECTIONS,
            certificates=self.certificates,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BODY_BYTES + MAX_HEADER_BYTES,
            idle_connection_timeout=HEADER_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )
        self.port = bind(server, self.settings.operators.port, self.settings.address)
        return server
