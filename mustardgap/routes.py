"""Finds the service and profile of a request by the longest declared path prefix."""

from typing import Any, NamedTuple, Protocol

from .models import Declaration, Limits

SAFE_METHODS = ("GET", "HEAD", "OPTIONS", "TRACE")


class Route(NamedTuple):
    """A service, and the request settings of its profile."""

    service: str
    urgency: int
    limits: Limits | None

    def is_idempotent(self, method: str) -> bool:
        """Whether a request with this method may run more than once."""
        if method in SAFE_METHODS:
            return True
        return self.limits is not None and method in self.limits["idempotent_methods"]


class HasDeclarations(Protocol):
    """The part of the folded state that is needed here."""

    offset: int
    declarations_by_key: dict[str, Declaration]


class Routes:
    """Finds routes in the folded state; the table is rebuilt when the state's offset changes.

    :param state: the folded state.
    """

    def __init__(self, *, state: HasDeclarations) -> None:
        self.state = state
        self._offset: int | None = None
        self._by_path: dict[str, Route] = {}

    def match(self, target: str) -> Route | None:
        """Find the route of a request.

        :param target: the request's path, with or without the query.
        """
        if self._offset != self.state.offset:
            self._by_path = _build(self.state.declarations_by_key)
            self._offset = self.state.offset
        path = target.partition("?")[0].rstrip("/")
        while path:
            route = self._by_path.get(path)
            if route is not None:
                return route
            path = path.rpartition("/")[0]
        return self._by_path.get("")


def _build(declarations_by_key: dict[str, Declaration]) -> dict[str, Route]:
    by_path = {}
    for key, declaration in declarations_by_key.items():
        kind, _, name = key.partition("/")
        if kind != "service":
            continue
        path = declaration.value["path"].rstrip("/")
        profile = declarations_by_key.get(f"profile/{declaration.value['profile']}")
        by_path[path] = _route(name, profile.value if profile else {})
    return by_path


def _route(service: str, profile: dict[str, Any]) -> Route:
    return Route(service, int(profile.get("urgency", 9)), profile.get("limits"))
