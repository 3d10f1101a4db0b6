"""What the steps of the whole system share."""

import json
import time

from tools.benches import SERVICE
from tools.load import Kind
from tools.processes import get_json

RATE = 60.0
LOAD_S = 120.0
MIN_HOSTS = 3
PATH = f"/{SERVICE}/x"
MIX = [
    Kind(service=SERVICE, path=PATH, weight=3, timeout_s=4.0),
    Kind(service=SERVICE, path=PATH, weight=1, answer_bytes=400_000, timeout_s=4.0),
    Kind(service=SERVICE, path=PATH, method="POST", weight=2, body_bytes=2000, timeout_s=4.0),
    Kind(
        service=SERVICE,
        path=PATH,
        method="POST",
        weight=2,
        body_bytes=500,
        timeout_s=4.0,
        keyed=True,
        twice=0.2,
        ask_again=12,
    ),
]


def write_declarations(context, name, value):
    """Write a folder of declarations."""
    folder = context.folder / name
    folder.mkdir(exist_ok=True)
    (folder / "all.json").write_text(json.dumps(value), encoding="utf-8")
    return folder


def received(context):
    """How many requests the executors have received."""
    return sum(e["received"] for e in context.cluster.executors_state().values())


def with_field(context, field, value):
    """The declarations with one field of the team changed."""
    team = {**context.declared["teams"][SERVICE], field: value}
    return {**context.declared, "teams": {SERVICE: team}}


def any_drains(context, rack):
    """Whether a host of the rack is out of service."""
    return any(w["state"] != "up" for w in workers_of(context, rack))


def workers_of(context, rack):
    """The workers of a rack as the platform shows them."""
    workers = context.cluster.platform.call("GET", "/workers?since=0")["workers"]
    return [w for w in workers if w["rack"] == rack]


def wave_ended(context):
    """Whether every daemon that runs has the wave as finished."""
    waves = [items(d, "waves") for d in running_daemons(context)]
    return all(wave["wave-1"]["phase"] == "finished" for wave in waves)


def items(daemon, kind):
    """What a daemon's fold holds of one kind."""
    return get_json(f"http://{daemon.operators}/v1/{kind}")["items"]


def running_daemons(context):
    """The daemons whose processes run."""
    found = context.cluster.daemons_by_name.values()
    return [daemon for daemon in found if context.processes.is_running(daemon.name)]


def control_of(context, worker):
    """The control endpoint of the executors process that a worker's executor is in."""
    controls = context.cluster.controls_by_name.values()
    return next(c for c in controls if any(e["worker"] == worker for e in c.state().values()))


def strike(context, for_s, fault, **fields):
    """Let a fault of the platform last for some seconds."""
    context.cluster.platform.fault(fault, **fields)
    time.sleep(for_s)
    context.cluster.platform.clear()
