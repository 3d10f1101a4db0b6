"""The settings file that the platform writes for each process."""

from pathlib import Path
from typing import NamedTuple

import msgspec

from .. import status_codes
from ..codecs import Undecodable, decode_lenient_json
from ..exceptions import SettingsError
from ..record_limits import RecordLimits

# The part of the platform's rules that is about overload.
OVERLOAD_CONTRACT = "pressure"


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""


class _PlatformFields(msgspec.Struct):
    addr: str
    parts: int = 12
    record_bytes: int = msgspec.field(default=RecordLimits().record_bytes, name="recordBytes")
    request_bytes: int = msgspec.field(default=RecordLimits().request_bytes, name="requestBytes")


class _CloudFields(msgspec.Struct):
    addr: str = ""
    rate_per_s: float = msgspec.field(default=16.0, name="ratePerS")
    duty_per_s: float = msgspec.field(default=16.0, name="dutyPerS")


class _Limits(msgspec.Struct):
    # A share of the processor, which is ``cores`` times as fast as one core.
    cpu_share: float = msgspec.field(default=1.0, name="cpuShare")
    cores: float = 1.0
    memory_mb: int = msgspec.field(default=300, name="memoryMb")
    max_fds: int = msgspec.field(default=4_100, name="maxFds")


class _Bounds(msgspec.Struct):
    contact_ms: float = msgspec.field(default=3000, name="contactMs")
    drain_ms: float = msgspec.field(default=2000, name="drainMs")
    grace_s: float = msgspec.field(default=6, name="graceS")
    hold_max_ms: float = msgspec.field(default=10_000, name="holdMaxMs")
    stop_timeout_ms: float = msgspec.field(default=400, name="stopTimeoutMs")
    gang_timeout_ms: float = msgspec.field(default=3000, name="gangTimeoutMs")
    status_s: float = 120
    far_x: float = msgspec.field(default=2, name="farX")
    notice_ms: float = msgspec.field(default=4500, name="noticeMs")
    move_s: float = msgspec.field(default=1.5, name="moveS")
    maintenance_s: float = msgspec.field(default=2, name="maintenanceS")
    lease_ms: float = msgspec.field(default=3000, name="leaseMs")
    harm_ms: float = msgspec.field(default=4000, name="harmMs")


class _File(msgspec.Struct):
    """The file's fields that matter here; others are ignored, as the platform may add some."""

    node: str
    ip: str
    zone: str
    listen: _Listen
    platform: _PlatformFields
    port_range: tuple[int, int] = msgspec.field(name="portRange")
    zones: dict[str, str] = {}
    seeds: list[str] = []
    heartbeat_ms: float = msgspec.field(default=1500, name="heartbeatMs")
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    advice: str | None = None
    cloud_api: _CloudFields = msgspec.field(default_factory=_CloudFields, name="cloudApi")
    contracts: list[str] = []


class Promises(NamedTuple):
    """Bounds that the platform sets for this deployment, in seconds unless named otherwise."""

    contact_s: float
    drain_s: float
    grace_s: float
    longest_lease_s: float
    stop_timeout_s: float
    gang_timeout_s: float
    status_kept_s: float
    far_factor: float
    away_notice_s: float
    move_s: float
    maintenance_s: float
    duty_lease_s: float
    harm_s: float


class ProcessSettings(NamedTuple):
    """What one process is told at its start."""

    host: str
    ip: str
    data_centre: str
    front: str
    ready: str
    peer_port: int
    seed_ips: tuple[str, ...]
    executor_heartbeat_s: float
    store: str
    shards: int
    record_limits: RecordLimits
    machines: str
    machine_calls_per_s: float
    machine_reads_per_s: float
    advice: str
    memory_mb: int
    # How many files and sockets may be open.
    descriptors: int
    # How many cores' work the host does.
    cores: float
    promises: Promises
    # Whether the platform has rules for overload.
    expects_overload: bool = False


def load(path: Path) -> ProcessSettings:
    """Read and check the file.

    :raises SettingsError: MG2000 unreadable, MG2001 not JSON or a field of the wrong kind.
    """
    try:
        raw = path.read_bytes()
    except OSError as exc:
        raise SettingsError(
            code=status_codes.SETTINGS_UNREADABLE, detail=str(exc), place=str(path)
        ) from None
    try:
        fields = decode_lenient_json(raw, _File)
    except Undecodable as exc:
        raise SettingsError(
            code=status_codes.SETTINGS_SYNTAX, detail=str(exc), place=str(path)
        ) from None
    return _decoded(fields)


def _decoded(fields: _File) -> ProcessSettings:
    bounds = fields.bounds
    return ProcessSettings(
        host=fields.node,
        ip=fields.ip,
        data_centre=fields.zone,
        front=fields.listen.front,
        ready=fields.listen.ready,
        peer_port=fields.port_range[0],
        seed_ips=tuple(seed.rpartition(":")[0] for seed in fields.seeds),
        executor_heartbeat_s=fields.heartbeat_ms / 1000,
        store=fields.platform.addr,
        shards=fields.platform.parts,
        record_limits=RecordLimits(fields.platform.record_bytes, fields.platform.request_bytes),
        machines=fields.cloud_api.addr,
        machine_calls_per_s=fields.cloud_api.duty_per_s,
        machine_reads_per_s=fields.cloud_api.rate_per_s,
        advice=fields.advice or "",
        memory_mb=fields.limits.memory_mb,
        descriptors=fields.limits.max_fds,
        cores=fields.limits.cpu_share * fields.limits.cores,
        promises=Promises(
            contact_s=bounds.contact_ms / 1000,
            drain_s=bounds.drain_ms / 1000,
            grace_s=bounds.grace_s,
            longest_lease_s=bounds.hold_max_ms / 1000,
            stop_timeout_s=bounds.stop_timeout_ms / 1000,
            gang_timeout_s=bounds.gang_timeout_ms / 1000,
            status_kept_s=bounds.status_s,
            far_factor=bounds.far_x,
            away_notice_s=bounds.notice_ms / 1000,
            move_s=bounds.move_s,
            maintenance_s=bounds.maintenance_s,
            duty_lease_s=bounds.lease_ms / 1000,
            harm_s=bounds.harm_ms / 1000,
        ),
        expects_overload=OVERLOAD_CONTRACT in fields.contracts,
    )
