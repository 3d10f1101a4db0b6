"""The daemon's settings: JSON with comments, checked against a typed schema.

Keys that end in ``_s`` are in seconds, those in ``_bytes`` in bytes. docs/SETTINGS.md is made from
the descriptions here.
"""

from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from . import status_codes
from .codecs import Undecodable, convert
from .exceptions import SettingsError
from .json_files import read_json
from .setting_checks import find_clashes, find_non_finite, hint

__all__ = ["Settings", "load", "read_json"]

Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
ShortSeconds = Annotated[float, Meta(gt=0, le=600)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Bytes = Annotated[int, Meta(ge=1, le=1_073_741_824)]
Ratio = Annotated[float, Meta(ge=0, le=1)]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]
FilePath = Annotated[str, Meta(min_length=1, max_length=4096)]


def about(text: str) -> Meta:
    """What the documentation says of a key."""
    return Meta(description=text)


class Section(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A section of settings; unknown keys are refused."""


SectionType = TypeVar("SectionType", bound=Section)


class TlsSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Keys and certificates, PEM files that are read again when they change."""

    certificate: Annotated[FilePath, about("This host's certificate, with its chain.")]
    key: Annotated[FilePath, about("The certificate's private key.")]
    authority: Annotated[FilePath, about("Who must have signed the other end's certificate.")]


class CallersSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The port that callers (by way of the platform's balancer) talk to."""

    port: Annotated[Port, about("Port to listen on; 0 takes any free one.")] = 8080
    max_connections: Annotated[
        Count, about("Open connections at most; more are refused with MG1113.")
    ] = 2000
    max_header_bytes: Annotated[Bytes, about("Size of a request's head at most.")] = 65_536
    max_body_bytes: Annotated[Bytes, about("Size of a request's body at most.")] = 8_388_608
    max_held_bytes: Annotated[
        Bytes, about("Bytes of all requests' bodies held at once; more are refused with MG1113.")
    ] = 134_217_728
    header_timeout_s: Annotated[ShortSeconds, about("Time to send a request's head.")] = 5.0
    idle_timeout_s: Annotated[
        Seconds, about("Time after which a connection without requests is closed.")
    ] = 60.0
    linger_s: Annotated[
        ShortSeconds,
        about("Time for which a stopping entry host goes on accepting, until the balancer knows."),
    ] = 2.0
    buffered_answer_bytes: Annotated[
        Bytes, about("Answers up to this size are passed on only when they are whole.")
    ] = 262_144
    default_timeout_s: Annotated[
        Seconds, about("Time for a request that names none in X-Request-Timeout.")
    ] = 10.0
    max_timeout_s: Annotated[Seconds, about("Time that a request may ask for at most.")] = 120.0


class OperatorsSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The port of the operators' interface, apart from the callers' port."""

    port: Annotated[Port, about("Port to listen on; 0 takes any free one.")] = 8081
    tls: Annotated[TlsSettings | None, about("Mutual TLS; without it the port is plain HTTP.")] = (
        None
    )


class PeersSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The port and pace of the streams between entry hosts."""

    port: Annotated[Port, about("Port to listen on; 0 takes any free one.")] = 8082
    gossip_s: Annotated[ShortSeconds, about("Time between two rounds of gossip.")] = 1.0
    fanout: Annotated[Count, about("Peers that one round of gossip goes to.")] = 3
    suspect_s: Annotated[
        ShortSeconds, about("Silence after which a peer is suspected and its stream closed.")
    ] = 3.0
    dead_s: Annotated[Seconds, about("Suspicion after which a peer is taken for dead.")] = 15.0
    heartbeat_s: Annotated[ShortSeconds, about("Time between heartbeats on a stream.")] = 1.0
    connect_timeout_s: Annotated[ShortSeconds, about("Time to open a stream.")] = 1.5
    idle_s: Annotated[Seconds, about("Time after which an unused stream is closed.")] = 30.0
    max_queued: Annotated[Count, about("Messages that wait for one peer at most.")] = 2000
    seeds: Annotated[
        list[Address], about("IP:PORT of peers to ask at start, beside the platform's list.")
    ] = []
    tls: Annotated[TlsSettings | None, about("Mutual TLS; without it streams are plain.")] = None


class PlatformSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Where the platform is and how long it is waited for."""

    address: Annotated[Address, about("IP:PORT of the platform.")]
    stream: Annotated[Name, about("The log's stream for the state.")] = "mustardgap"
    claims_stream: Annotated[Name, about("The log's stream for claims of Idempotency-Keys.")] = (
        "mustardgap-claims"
    )
    timeout_s: Annotated[ShortSeconds, about("Time that one call may take.")] = 2.0
    poll_s: Annotated[ShortSeconds, about("Time between two looks at workers and tasks.")] = 1.0
    long_poll_s: Annotated[
        ShortSeconds,
        about("Time that a read may wait for a record, at most a third of stale_after_s."),
    ] = 10.0
    appends_per_s: Annotated[Count, about("Appends that one entry host makes at most.")] = 50
    stale_after_s: Annotated[
        ShortSeconds,
        about("Time without news of the log, its own or a peer's, until it isn't current."),
    ] = 6.0
    checkpoint_s: Annotated[Seconds, about("Time between two checkpoints at most.")] = 3600.0
    checkpoint_records: Annotated[Count, about("Records between two checkpoints at most.")] = 5000


class RequestsSettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Limits of the way from callers to executors."""

    connect_timeout_s: Annotated[ShortSeconds, about("Time to connect to an executor.")] = 0.5
    silent_timeout_s: Annotated[
        ShortSeconds,
        about("Silence of an executor after which an idempotent request is tried elsewhere."),
    ] = 2.0
    claim_timeout_s: Annotated[
        ShortSeconds, about("Time to get an Idempotency-Key's claim onto the log.")
    ] = 1.0
    claim_appends_per_s: Annotated[Count, about("Appends of claims at most.")] = 30
    sharing: Annotated[
        str,
        Meta(pattern="^(fixed|lending|least)$"),
        about("How entry hosts share slots: `fixed`, `lending` or `least`."),
    ] = "lending"
    max_waiting: Annotated[Count, about("Requests that wait for slots at most.")] = 5000
    lease_s: Annotated[ShortSeconds, about("Time for which a slot is lent to a peer.")] = 3.0
    cache_s: Annotated[
        ShortSeconds, about("Time for which a borrowed slot is kept after its last use.")
    ] = 0.5
    retry_ratio: Annotated[Ratio, about("Retries as a share of first tries at most.")] = 0.1
    max_tries: Annotated[
        int, Meta(ge=1, le=10), about("Tries of one idempotent request at most.")
    ] = 3
    key_ttl_s: Annotated[Seconds, about("Time for which an Idempotency-Key is remembered.")] = (
        3600.0
    )
    max_keys: Annotated[
        Count, about("Idempotency-Keys remembered at most; new ones are refused above.")
    ] = 200_000
    eject_after: Annotated[Count, about("Failures in a row that eject an executor.")] = 5
    eject_s: Annotated[ShortSeconds, about("Time for which an executor is ejected at first.")] = 5.0
    slow_start_s: Annotated[
        ShortSeconds, about("Time over which a returning executor gets its full share.")
    ] = 5.0


class CapacitySettings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The pace of planning, waves and jobs."""

    plan_s: Annotated[ShortSeconds, about("Time between two plans.")] = 2.0
    act_s: Annotated[ShortSeconds, about("Time between two looks at what is to be done.")] = 0.5
    lease_s: Annotated[
        Seconds, about("Lease of a task; it stops itself when it isn't renewed.")
    ] = 15.0
    takeover_s: Annotated[
        ShortSeconds, about("Time after which the next entry host does what its owner didn't.")
    ] = 3.0
    host_failed_s: Annotated[Seconds, about("Silence after which a host counts as failed.")] = 10.0
    return_timeout_s: Annotated[
        Seconds, about("Time for a host to drain or to come back from a reboot.")
    ] = 900.0
    max_attempts: Annotated[
        int, Meta(ge=1, le=20), about("Attempts at a job on different workers at most.")
    ] = 3


class Settings(Section, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """All settings of one daemon."""

    host: Annotated[Name, about("This entry host's name, unique among entry hosts.")]
    data_center: Annotated[Name, about("The data center it stands in.")]
    address: Annotated[
        str,
        Meta(pattern=r"^[0-9a-fA-F.:]+$"),
        about("IP number to listen on and to be reached at."),
    ] = "127.0.0.1"
    platform: PlatformSettings
    callers: CallersSettings = CallersSettings()
    operators: OperatorsSettings = OperatorsSettings()
    peers: PeersSettings = PeersSettings()
    requests: RequestsSettings = RequestsSettings()
    capacity: CapacitySettings = CapacitySettings()
    timeline_size: Annotated[Count, about("Events that the time line keeps.")] = 10_000
    stop_timeout_s: Annotated[
        Seconds, about("Time for requests in flight to end at a planned stop.")
    ] = 30.0
    verbosity: Annotated[
        int, Meta(ge=-3, le=3), about("Log lines: -3 fatal only, -1 warnings, 0 normal, 1 debug.")
    ] = 0


def load(path: str | Path) -> Settings:
    """Read and check a daemon's settings.

    :param path: a file of JSON with comments.
    :return: the checked settings.
    :rtype: Settings
    :raises SettingsError: MG2000 to MG2002 with file and key.
    """
    settings = read_section(path, Settings)
    for clash in find_clashes(settings):
        raise _invalid(path, clash.key, clash.detail)
    return settings


def read_optional(path: str | Path, default: SectionType) -> SectionType:
    """Read a section from a file that needn't be named.

    :param path: the file's path; an empty one stands for the default.
    :raises SettingsError: MG2000 to MG2002 with the file and what is wrong in it.
    """
    return read_section(path, type(default)) if str(path) else default


def read_section(path: str | Path, section: type[SectionType]) -> SectionType:
    """Read a file of JSON with comments, and check it against a schema.

    :param path: the file's path.
    :param section: the schema.
    :raises SettingsError: MG2000 to MG2002 with file and key.
    """
    raw = read_json(path)
    key = find_non_finite(raw)
    if key:
        raise _invalid(path, key, "not a finite number")
    try:
        return convert(raw, section)
    except Undecodable as exc:
        message, _, where = str(exc).partition(" - at `$")
        raise _invalid(path, where.rstrip("`").lstrip("."), hint(message, section)) from None


def _invalid(path: str | Path, key: str, detail: str) -> SettingsError:
    place = f"{path}:{key}" if key else str(path)
    return SettingsError(code=status_codes.SETTINGS_INVALID, detail=detail, place=place)
