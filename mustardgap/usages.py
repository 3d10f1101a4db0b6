"""Sizes and run times of jobs, learned from the usage of earlier jobs of the same kind."""

from typing import NamedTuple

from .models import JobSpec, Usage

WINDOW = 100
MIN_SAMPLES = 8
QUANTILE = 0.9
MEMORY_QUANTILE = 0.95
MIN_RATIO = 0.1
MAX_RATIO = 4.0


class Kind(NamedTuple):
    """Jobs that are expected to misstate their sizes alike: one team's jobs of one profile."""

    team: str
    profile: str


class Size(NamedTuple):
    """Capacity of a worker, or a part of it; memory in GB."""

    cores: float
    memory_gb: float
    accelerators: int

    def fits(self, room: "Size") -> bool:
        """Whether this size fits into the room."""
        return (
            self.cores <= room.cores + 1e-9
            and self.memory_gb <= room.memory_gb + 1e-9
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: "Size", times: int = 1) -> "Size":
        """Add another size, or subtract it with ``times=-1``."""
        return Size(
            self.cores + times * other.cores,
            self.memory_gb + times * other.memory_gb,
            self.accelerators + times * other.accelerators,
        )


def kind_of(spec: JobSpec) -> Kind:
    """The kind of a job, by its team and profile."""
    return Kind(spec["team"], spec.get("profile", ""))


def declared(spec: JobSpec) -> Size:
    """The size that a job was submitted with."""
    return Size(spec["cores"], spec["memory_gb"], spec["accelerators"])


class Usages:
    """Corrects declared sizes by a high quantile of used over declared sizes per kind of job.

    The quantile is exact over the last ``WINDOW`` jobs: a mean would let half of them run out of
    memory. Memory gets a higher one, since a task that exceeds it dies, while one that exceeds its
    cores is only slower. There is no margin on top: where a platform reports the allocation as the
    usage, a margin would compound with each job.
    """

    def __init__(self, *, window: int = WINDOW, min_samples: int = MIN_SAMPLES) -> None:
        self.window = window
        self.min_samples = min_samples
        self._ratios_by_kind: dict[Kind, dict[str, tuple[float, float, float]]] = {}
        self._quantiles_by_kind: dict[Kind, tuple[float, float, float]] = {}

    def learn(self, name: str, spec: JobSpec, usage: Usage) -> None:
        """Record the usage of a job that ran to its end.

        :param name: the job's or task's name; usage lags, so later calls may update the same one.
        :param spec: the job as it was declared.
        :param usage: what it used.
        """
        if usage["cores"] <= 0 or usage["run_s"] <= 0:
            return
        ratios = self._ratios_by_kind.setdefault(kind_of(spec), {})
        ratios.pop(name, None)
        ratios[name] = (
            _ratio(usage["cores"], spec["cores"]),
            _ratio(usage["memory_gb"], spec["memory_gb"]),
            _ratio(usage["run_s"], spec["run_s"]),
        )
        if len(ratios) > self.window:
            del ratios[next(iter(ratios))]
        self._quantiles_by_kind.pop(kind_of(spec), None)

    def size(self, spec: JobSpec) -> Size:
        """The capacity to allocate for a job: as declared until enough of its kind have ended."""
        cores, memory, _ = self._quantiles(kind_of(spec))
        return Size(spec["cores"] * cores, spec["memory_gb"] * memory, spec["accelerators"])

    def run_s(self, spec: JobSpec) -> float:
        """The seconds that a job is expected to run at most, in nine of ten cases."""
        return spec["run_s"] * self._quantiles(kind_of(spec))[2]

    def _quantiles(self, kind: Kind) -> tuple[float, float, float]:
        known = self._quantiles_by_kind.get(kind)
        if known is not None:
            return known
        ratios = self._ratios_by_kind.get(kind, {})
        if len(ratios) < self.min_samples:
            return (1.0, 1.0, 1.0)
        cores, memory, run = zip(*ratios.values(), strict=True)
        result = (
            _quantile(cores, QUANTILE),
            _quantile(memory, MEMORY_QUANTILE),
            _quantile(run, QUANTILE),
        )
        self._quantiles_by_kind[kind] = result
        return result


def _quantile(values: tuple[float, ...], share: float) -> float:
    return sorted(values)[min(int(len(values) * share), len(values) - 1)]


def _ratio(used: float, stated: float) -> float:
    # A missing usage report reads as 0 and a broken one as any value: neither may reduce the size
    # of a kind to nothing or raise it beyond every worker.
    if stated <= 0 or used <= 0:
        return 1.0
    return min(max(used / stated, MIN_RATIO), MAX_RATIO)
