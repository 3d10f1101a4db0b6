"""A small blocking client of the stand-ins' control endpoints, for demo, tests and benchmarks."""

import hashlib
from typing import Any
from urllib.parse import urlencode
from urllib.request import Request, urlopen

import msgspec

TIMEOUT_S = 20.0


class Control:
    """The control endpoints of one stand-in.

    :param address: ``ip:port`` of the platform, or of an executors process's control port.
    """

    def __init__(self, *, address: str) -> None:
        self.address = address

    def fault(self, name: str, **fields: Any) -> None:
        """Switch a fault on; the fields are those of docs/PLATFORM.md."""
        self.call("POST", "/control/faults", {"fault": name, **fields})

    def clear(self, name: str = "", on: str = "") -> None:
        """Switch off all faults, or those of a name and pattern."""
        self.call("DELETE", "/control/faults?" + urlencode({"fault": name, "on": on}))

    def truth(self) -> Any:
        """What really happened on the platform."""
        return self.call("GET", "/control/truth")

    def state(self) -> Any:
        """The state and counters of each executor, by its name."""
        return self.call("GET", "/control/state")["executors"]

    def runs(self, *, since: int = 0, limit: int = 1_000_000) -> Any:
        """What executors really ran, with the counters over all."""
        return self.call("GET", f"/control/runs?since={since}&limit={limit}")

    def step(self, worker: str, step: str, service: str = "") -> Any:
        """Start, drain, cut, pause or resume the executor of a worker."""
        return self.call("POST", f"/control/workers/{worker}", {"step": step, "service": service})

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Call any path and decode the answer.

        :raises urllib.error.HTTPError: the answer is not a success.
        """
        data = None if body is None else msgspec.json.encode(body)
        request = Request(f"http://{self.address}{path}", data=data, method=method)
        with urlopen(request, timeout=TIMEOUT_S) as resp:
            return msgspec.json.decode(resp.read())


def check_body(body: bytes) -> Any:
    """Check that an executor's answer is whole and unmixed.

    :return: the JSON on its first line.
    :raises ValueError: it is not.
    """
    head, _, filling = body.partition(b"\n")
    value = msgspec.json.decode(head)
    pattern = hashlib.sha256(head).hexdigest().encode()
    if filling != (pattern * (len(filling) // len(pattern) + 1))[: len(filling)]:
        raise ValueError("the filling isn't that of the first line")
    return value
