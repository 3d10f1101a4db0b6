"""The stand-ins' settings and fleet files: JSON with comments, checked against typed schemas."""

from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta

from mustardgap import status_codes
from mustardgap.exceptions import SettingsError
from mustardgap.json_files import read_json
from mustardgap.settings import Address, Count, Name, Port, Section

Seconds = Annotated[float, Meta(ge=0, le=10_000_000)]
Checked = TypeVar("Checked")


class WorkerSpec(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A worker of a fleet file; what isn't given comes from the fleet's ``worker`` section."""

    worker: Name
    pool: str = ""
    cores: float | None = None
    memory_gb: float | None = None
    accelerators: int | None = None


class RackSpec(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A rack and its workers."""

    rack: Name
    workers: list[WorkerSpec]


class DataCenterSpec(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A data center and its racks."""

    data_center: Name
    racks: list[RackSpec]


class Capacity(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """What a worker has when its own line doesn't say otherwise."""

    cores: float = 32.0
    memory_gb: float = 64.0
    accelerators: int = 0


class FleetSpec(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A fleet file; ``services_by_pool`` says which service's executors a pool runs."""

    data_centers: list[DataCenterSpec]
    services_by_pool: dict[str, str] = {}
    worker: Capacity = Capacity()


class LogSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Limits of the log."""

    appends_per_s: float = 400.0
    retention_s: Seconds = 3600.0
    retention_records: Count = 1_000_000


class HostsSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Pace of the list of hosts."""

    lag_s: Seconds = 2.0
    expire_s: Seconds = 15.0


class WorkersSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Pace of workers and tasks; ``detect_s`` is how long a worker that went down is shown up."""

    reboot_s: Seconds = 2.0
    detect_s: Seconds = 1.0
    usage_every_s: Seconds = 2.0
    ended_kept_s: Seconds = 300.0
    throttled_speed: Annotated[float, Meta(gt=0, le=1)] = 0.5


class PlatformSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """All settings of the platform; ``fleet`` is a file, found beside the settings file."""

    fleet: str | FleetSpec
    log: LogSettings = LogSettings()
    hosts: HostsSettings = HostsSettings()
    workers: WorkersSettings = WorkersSettings()
    seed: int = 0


class RunTime(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """How long requests run; ``sigma`` is the shape of ``lognormal``."""

    distribution: Literal["fixed", "exponential", "lognormal"] = "fixed"
    mean_s: Seconds = 0.0
    sigma: float = 1.0


class ExecutorSpec(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """An executor that runs without a platform."""

    executor: Name
    service: Name
    port: Port = 0


class ExecutorsSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """All settings of one executors process.

    With a ``platform`` it hosts the executors of the ``workers`` named, of all when none is.
    ``runs_file`` keeps the record of runs when the process ends itself or is killed.
    """

    platform: Address | None = None
    workers: list[Name] = []
    executors: list[ExecutorSpec] = []
    run_time: RunTime = RunTime()
    slots: Count = 8
    connections: Count = 64
    drain_quiet_s: Seconds = 0.5
    drain_grace_s: Seconds = 3.0
    runs_kept: Count = 200_000
    runs_file: str = ""
    seed: int = 0


def load(path: str | Path, schema: type[Checked]) -> Checked:
    """Read and check a file.

    :param path: a file of JSON with comments.
    :param schema: the type it must be.
    :raises SettingsError: MG2000 to MG2002 with file and key.
    """
    raw = read_json(path)
    try:
        return msgspec.convert(raw, schema)
    except msgspec.ValidationError as exc:
        detail, _, where = str(exc).partition(" - at `$")
        key = where.rstrip("`").lstrip(".")
        place = f"{path}:{key}" if key else str(path)
        raise SettingsError(
            code=status_codes.SETTINGS_INVALID, detail=detail, place=place
        ) from None


def load_fleet(spec: str | FleetSpec, *, beside: str | Path) -> FleetSpec:
    """The fleet of platform settings, read from its file if it is named there.

    :param spec: the setting ``fleet``.
    :param beside: the settings file.
    """
    if isinstance(spec, FleetSpec):
        return spec
    return load(Path(beside).parent / spec, FleetSpec)
