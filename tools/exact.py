"""The exact answer to small placement problems, by mixed-integer programming.

It is the oracle that tests and benchmarks measure the planner against; the daemon doesn't use it.
"""

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np
from scipy.optimize import Bounds, LinearConstraint, milp

from tools.fleets import ServiceSpec

MOST_SECONDS = 60.0


class Rack(NamedTuple):
    """A rack and how many of its hosts may be used."""

    name: str
    data_center: str
    size: int


class Exact(NamedTuple):
    """An optimal placement: hosts used, hosts that join a pool, and hosts by service and rack."""

    hosts: int
    moves: int
    placed: dict[tuple[str, str], int]


def solve(
    racks: Sequence[Rack],
    services: Sequence[ServiceSpec],
    *,
    present: dict[tuple[str, str], int] | None = None,
    buffer_weight: float = 1.0,
    move_weight: float = 0.0,
) -> Exact | None:
    """Place services on racks so that each keeps its hosts with its largest domain lost.

    :param present: hosts that serve now by (service, rack); a move is a host beyond these.
    :return: the placement with the least weighted sum of hosts and moves, None when there is none.
    """
    model = _Model(racks, services, present or {})
    for index, service in enumerate(services):
        model.keep(index, service)
    for index, rack in enumerate(racks):
        model.at_most([model.x(s, index) for s in range(len(services))], rack.size)
    return model.solve(buffer_weight, move_weight)


class _Model:
    """Columns: hosts by (service, rack), largest loss by service, moves by (service, rack)."""

    def __init__(
        self,
        racks: Sequence[Rack],
        services: Sequence[ServiceSpec],
        present: dict[tuple[str, str], int],
    ) -> None:
        self.racks = racks
        self.services = services
        self.cells = len(racks) * len(services)
        self.columns = 2 * self.cells + len(services)
        self.upper = np.full(self.columns, np.inf)
        self._rows: list[dict[int, float]] = []
        self._low: list[float] = []
        self._high: list[float] = []
        for s, service in enumerate(services):
            for r, rack in enumerate(racks):
                self.upper[self.x(s, r)] = rack.size
                held = present.get((service.name, rack.name), 0)
                self._row({self.x(s, r): 1, self.move(s, r): -1}, -np.inf, held)

    def x(self, service: int, rack: int) -> int:
        return service * len(self.racks) + rack

    def move(self, service: int, rack: int) -> int:
        return self.cells + len(self.services) + self.x(service, rack)

    def loss(self, service: int) -> int:
        return self.cells + service

    def keep(self, index: int, service: ServiceSpec) -> None:
        """Keep ``min_hosts`` whatever domain is lost, within the service's room."""
        cells = [self.x(index, rack) for rack in range(len(self.racks))]
        self.at_most(cells, service.max_hosts)
        left = dict.fromkeys(cells, 1.0) | {self.loss(index): -1.0}
        self._row(left, service.min_hosts, np.inf)
        if service.survive == "host":
            self._row({self.loss(index): 1.0}, float(service.min_hosts > 0), np.inf)
        if service.survive not in ("rack", "data_center"):
            return
        by_domain: dict[str, list[int]] = {}
        for cell, rack in zip(cells, self.racks, strict=True):
            domain = rack.name if service.survive == "rack" else rack.data_center
            by_domain.setdefault(domain, []).append(cell)
        for domain_cells in by_domain.values():
            lost = dict.fromkeys(domain_cells, 1.0) | {self.loss(index): -1.0}
            self._row(lost, -np.inf, 0)

    def at_most(self, cells: list[int], most: int) -> None:
        self._row(dict.fromkeys(cells, 1.0), -np.inf, most)

    def solve(self, buffer_weight: float, move_weight: float) -> Exact | None:
        matrix = np.zeros((len(self._rows), self.columns))
        for number, row in enumerate(self._rows):
            for column, value in row.items():
                matrix[number, column] = value
        cost = np.zeros(self.columns)
        cost[: self.cells] = buffer_weight
        cost[self.cells + len(self.services) :] = move_weight
        result = milp(
            cost,
            constraints=LinearConstraint(matrix, self._low, self._high),
            integrality=np.ones(self.columns),
            bounds=Bounds(0, self.upper),
            options={"time_limit": MOST_SECONDS},
        )
        if result.status != 0:
            if result.status == 2:
                return None
            raise RuntimeError(result.message)
        values = np.rint(result.x).astype(int)
        placed = {
            (service.name, rack.name): int(values[self.x(s, r)])
            for s, service in enumerate(self.services)
            for r, rack in enumerate(self.racks)
            if values[self.x(s, r)]
        }
        moves = int(values[self.cells + len(self.services) :].sum()) if move_weight else 0
        return Exact(sum(placed.values()), moves, placed)

    def _row(self, row: dict[int, float], low: float, high: float) -> None:
        self._rows.append(row)
        self._low.append(low)
        self._high.append(high)


def racks_of(racks_by_data_center: dict[str, list[int]]) -> list[Rack]:
    """The racks of a fleet that ``tools.fleets`` makes, by the names it gives them."""
    return [
        Rack(f"{data_center}/r{number:04}", data_center, size)
        for data_center, sizes in racks_by_data_center.items()
        for number, size in enumerate(sizes)
    ]
