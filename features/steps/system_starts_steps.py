"""Steps for daemons that can't start."""

import json
import socket
import subprocess
import sys

from behave import then, when

from tools.clusters import merged
from tools.processes import ROOT, free_ports

PORT_KEYS = ("callers", "operators", "peers")
CHANGES_BY_FLAW = {
    "an unknown key": {"platfrom": {}},
    "a mistyped port": {"callers": {"port": "8080"}},
    "a negative time": {"peers": {"gossip_s": -1}},
    "a certificate that is no file": {
        "peers": {"tls": {"certificate": "absent.pem", "key": "absent.pem", "authority": "a.pem"}}
    },
}
START_TIMEOUT_S = 40.0


@when("the system's daemon is started with {flaw}")
def start_badly(context, flaw):
    ports = free_ports(4)
    settings = {
        "host": "e1",
        "data_center": "kochi-a",
        "platform": {"address": f"127.0.0.1:{ports[3]}"},
        **{key: {"port": port} for key, port in zip(PORT_KEYS, ports, strict=False)},
    }
    settings = merged(settings, CHANGES_BY_FLAW.get(flaw, {}))
    if flaw == "no platform address":
        del settings["platform"]["address"]
    path = context.folder / "settings.json"
    path.write_text("{" if flaw.endswith("no JSON") else json.dumps(settings), encoding="utf-8")
    if flaw == "no settings file":
        path = context.folder / "absent.json"
    with socket.socket() as taken:
        if flaw.endswith("port in use"):
            part = next(key for key in PORT_KEYS if key in flaw)
            occupy(taken, settings[part]["port"])
        elif flaw.endswith("stays silent"):
            occupy(taken, ports[3])
        context.done = run_daemon(path)


def occupy(sock, port):
    """Listen on a port and never accept."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen()


def run_daemon(path):
    """Run a daemon that is expected to end by itself."""
    command = [sys.executable, "-m", "mustardgap.daemons", "--settings", str(path)]
    return subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=START_TIMEOUT_S, check=False
    )


@then("the system's start ends with status {status:d} and one line with {code} and {place}")
def check_start(context, status, code, place):
    errors = [x for x in context.done.stderr.splitlines() if not x.startswith("time=")]
    assert context.done.returncode == status, (context.done.returncode, context.done.stderr)
    assert len(errors) == 1 and code in errors[0] and place in errors[0], context.done.stderr
