"""A naive reverse proxy, the baseline of the benchmarks: unbounded queue, three retries.

It shares nothing, looks at no deadline, tells no outcome, and tries again whatever failed.
"""

import asyncio
import itertools

import click
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application, RequestHandler

MAX_RETRIES = 3
TRY_TIMEOUT_S = 10.0
MAX_CLIENTS = 100_000
PASSED_ON = ("X-Load-Id", "X-Request-Id", "X-Request-Timeout", "Content-Type")


class Upstream:
    """One executor and the places for requests on it; those without a place wait in line."""

    def __init__(self, *, address: str, slots: int) -> None:
        self.address = address
        self.places = asyncio.Semaphore(slots)


class Service:
    """The executors of one service, taken in turn."""

    def __init__(self, *, path: str, addresses: list[str], slots: int) -> None:
        self.path = path
        self.tries = 0
        self.requests = 0
        self._upstreams = [Upstream(address=a, slots=slots) for a in addresses]
        self._turns = itertools.cycle(self._upstreams)

    def next(self) -> Upstream:
        """The next executor in turn."""
        return next(self._turns)


class Proxy(RequestHandler):
    """Passes a request on until an answer below 500 comes back or the retries are used up."""

    SUPPORTED_METHODS = ("GET", "POST", "PUT", "DELETE")

    def initialize(self, services: list[Service], client: SimpleAsyncHTTPClient) -> None:
        """Take what the application hands in."""
        self.services = services
        self.client = client

    async def get(self) -> None:
        """Pass the request on."""
        service = next((s for s in self.services if self.request.path.startswith(s.path)), None)
        if service is None:
            self.set_status(404)
            return
        service.requests += 1
        for _ in range(1 + MAX_RETRIES):
            service.tries += 1
            if await self._try(service.next()):
                return
        self.set_status(502)

    post = put = delete = get

    async def _try(self, upstream: Upstream) -> bool:
        headers = {k: v for k, v in self.request.headers.get_all() if k in PASSED_ON}
        request = HTTPRequest(
            f"http://{upstream.address}{self.request.uri}",
            method=self.request.method or "GET",
            headers=headers,
            body=self.request.body or None,
            allow_nonstandard_methods=True,
            connect_timeout=1.0,
            request_timeout=TRY_TIMEOUT_S,
        )
        async with upstream.places:
            try:
                resp = await self.client.fetch(request, raise_error=False)
            except (OSError, HTTPError):
                return False
        if resp.code >= 500:
            return False
        self.set_status(resp.code)
        self.set_header("X-Load-Id", resp.headers.get("X-Load-Id", ""))
        self.write(resp.body)
        return True


class Ready(RequestHandler):
    """Always ready."""

    def get(self) -> None:
        """Answer 200."""


class Counts(RequestHandler):
    """``/-/counts``: requests and tries of each service."""

    def initialize(self, services: list[Service]) -> None:
        """Take what the application hands in."""
        self.services = services

    def get(self) -> None:
        """Show the counts."""
        self.write({s.path: {"requests": s.requests, "tries": s.tries} for s in self.services})


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--slots", type=int, default=8, show_default=True, help="Places on each executor.")
@click.option("--service", "specs", multiple=True, help="PATH=ADDRESS,ADDRESS...")
def main(port: int, slots: int, specs: tuple[str, ...]) -> None:
    """Run the naive proxy."""
    asyncio.run(_serve(port, slots, specs))


async def _serve(port: int, slots: int, specs: tuple[str, ...]) -> None:
    services = []
    for spec in specs:
        path, _, addresses = spec.partition("=")
        services.append(Service(path=path, addresses=addresses.split(","), slots=slots))
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
    application = Application(
        [
            ("/-/ready", Ready),
            ("/-/counts", Counts, {"services": services}),
            (".*", Proxy, {"services": services, "client": client}),
        ],
        log_function=lambda handler: None,
    )
    HTTPServer(application).listen(port, "127.0.0.1", backlog=4096)
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
