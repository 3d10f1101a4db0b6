"""The platform's way to the executors processes."""

import time
from typing import Any

import msgspec
from absl import logging
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from mustardgap.resolvers import NumericResolver

DRAIN_TIMEOUT_S = 86_400.0
MAX_CALLS = 10_000
# Loopback connects at once or refuses; what takes seconds is this process waiting for a processor.
# An order isn't repeated, and a start that got lost left its worker without executors for good.
CONNECT_TIMEOUT_S = 30.0


class Links:
    """Tells executors processes what to start and stop on which worker."""

    def __init__(self) -> None:
        self._control_by_worker: dict[str, str] = {}
        self._control_of_others = ""
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CALLS, resolver=NumericResolver()
        )

    def register(self, control: str, workers: list[str]) -> None:
        """Take in an executors process; one that names no workers has all that no other has."""
        if not workers:
            self._control_of_others = control
        self._control_by_worker |= dict.fromkeys(workers, control)

    async def step(self, worker: str, step: str, service: str = "") -> dict[str, Any]:
        """Have a step done for the executor of a worker.

        A worker without executors process, or whose process has ended, has nothing to stop.

        :param step: ``start``, ``drain`` (returns when drained), ``cut``, ``pause`` or ``resume``.
        :return: ``{"executors": [ExecutorInfo, ...], "cut": n}``.
        """
        control = self._control_by_worker.get(worker) or self._control_of_others
        if not control:
            return {"executors": [], "cut": 0}
        request = HTTPRequest(
            f"http://{control}/control/workers/{worker}",
            method="POST",
            body=msgspec.json.encode({"step": step, "service": service, "order": time.time_ns()}),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=DRAIN_TIMEOUT_S,
        )
        try:
            resp = await self._client.fetch(request)
        except Exception as exc:
            logging.warning("executors of %s: %s failed: %s", worker, step, exc)
            return {"executors": [], "cut": 0}
        return dict(msgspec.json.decode(resp.body))
