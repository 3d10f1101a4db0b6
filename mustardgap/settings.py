"""The daemon's settings: JSON with comments, checked against a typed schema."""

from pathlib import Path
from typing import Annotated, Any

import json5
import msgspec
from msgspec import Meta

from . import status_codes
from .exceptions import SettingsError

Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Ratio = Annotated[float, Meta(ge=0, le=1)]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]


class Section(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A section of settings; unknown keys are refused."""


class TlsSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Keys and certificates, PEM files that are read again when they change."""

    certificate: str
    key: str
    authority: str


class CallersSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The port that callers (by way of the platform's balancer) talk to."""

    port: Port = 8080
    max_connections: Count = 2000
    max_header_bytes: Count = 65_536
    max_body_bytes: Count = 8_388_608
    header_timeout_s: Seconds = 5.0
    idle_timeout_s: Seconds = 60.0
    linger_s: Seconds = 2.0
    buffered_answer_bytes: Count = 262_144
    default_timeout_s: Seconds = 10.0
    max_timeout_s: Seconds = 120.0


class OperatorsSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The port of the operators' interface, apart from the callers' port."""

    port: Port = 8081
    tls: TlsSettings | None = None


class PeersSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The port and pace of the streams between entry hosts."""

    port: Port = 8082
    gossip_s: Seconds = 1.0
    fanout: Count = 3
    suspect_s: Seconds = 3.0
    dead_s: Seconds = 15.0
    heartbeat_s: Seconds = 1.0
    connect_timeout_s: Seconds = 1.5
    idle_s: Seconds = 30.0
    max_queued: Count = 2000
    seeds: list[Address] = []
    tls: TlsSettings | None = None


class PlatformSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Where the platform is and how long it is waited for."""

    address: Address
    stream: Name = "mustardgap"
    claims_stream: Name = "mustardgap-claims"
    timeout_s: Seconds = 2.0
    poll_s: Seconds = 1.0
    long_poll_s: Seconds = 10.0
    appends_per_s: Count = 50
    stale_after_s: Seconds = 6.0
    checkpoint_s: Seconds = 3600.0
    checkpoint_records: Count = 5000


class RequestsSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Limits of the way from callers to executors."""

    connect_timeout_s: Seconds = 0.5
    silent_timeout_s: Seconds = 2.0
    claim_timeout_s: Seconds = 1.0
    claim_appends_per_s: Count = 30
    sharing: Annotated[str, Meta(pattern="^(fixed|lending|least)$")] = "lending"
    max_waiting: Count = 5000
    lease_s: Seconds = 3.0
    cache_s: Seconds = 0.5
    retry_ratio: Ratio = 0.1
    max_tries: Annotated[int, Meta(ge=1, le=10)] = 3
    key_ttl_s: Seconds = 3600.0
    eject_after: Count = 5
    eject_s: Seconds = 5.0
    slow_start_s: Seconds = 5.0


class CapacitySettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The pace of planning, waves and jobs."""

    plan_s: Seconds = 2.0
    act_s: Seconds = 0.5
    lease_s: Seconds = 15.0
    takeover_s: Seconds = 3.0
    host_failed_s: Seconds = 10.0
    return_timeout_s: Seconds = 900.0
    max_attempts: Annotated[int, Meta(ge=1, le=20)] = 3


class Settings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """All settings of one daemon."""

    host: Name
    data_center: Name
    address: Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+$")] = "127.0.0.1"
    platform: PlatformSettings
    callers: CallersSettings = CallersSettings()
    operators: OperatorsSettings = OperatorsSettings()
    peers: PeersSettings = PeersSettings()
    requests: RequestsSettings = RequestsSettings()
    capacity: CapacitySettings = CapacitySettings()
    timeline_size: Count = 10_000
    stop_timeout_s: Seconds = 30.0
    verbosity: Annotated[int, Meta(ge=-3, le=3)] = 0


def read_json(path: str | Path) -> Any:
    """Read a file of JSON with comments.

    :param path: the file's path.
    :return: the parsed value.
    :raises SettingsError: MG2000 or MG2001 with the file and line.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        detail = getattr(exc, "strerror", None) or str(exc)
        raise SettingsError(
            code=status_codes.SETTINGS_UNREADABLE, detail=detail, place=str(path)
        ) from None
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        detail = str(exc).splitlines()[0] if str(exc) else "nested too deeply"
        raise SettingsError(
            code=status_codes.SETTINGS_SYNTAX, detail=detail, place=str(path)
        ) from None


def load(path: str | Path) -> Settings:
    """Read and check a daemon's settings.

    :param path: a file of JSON with comments.
    :return: the checked settings.
    :rtype: Settings
    :raises SettingsError: MG2000 to MG2002 with file and key.
    """
    raw = read_json(path)
    try:
        return msgspec.convert(raw, Settings)
    except msgspec.ValidationError as exc:
        detail, _, where = str(exc).partition(" - at `$")
        key = where.rstrip("`").lstrip(".")
        place = f"{path}:{key}" if key else str(path)
        raise SettingsError(
            code=status_codes.SETTINGS_INVALID, detail=detail, place=place
        ) from None
