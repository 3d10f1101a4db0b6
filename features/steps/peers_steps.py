"""Steps for members and for the streams between them, with real processes on loopback."""

import json
import time
from urllib.request import urlopen

from behave import given, then, when

from features.support.relays import ThreadedLink
from tools.processes import free_ports

LIMIT_S = 40.0


class Cluster:
    """The processes by host, and queries to them."""

    def __init__(self, context):
        self.processes = context.processes
        self.log = context.folder / "uses"
        self.log.touch()
        self.ports_by_host = {}
        self.options_by_host = {}
        self.alive = []
        self.listed = ["e1", "e2", "e3"]

    def add(self, host, seed="", peers_port=0, listen=0):
        """Start a process under a host's name."""
        ports = free_ports(2)
        peers_port = peers_port or ports[0]
        self.ports_by_host[host] = (peers_port, ports[1])
        settings = {
            "host": host,
            "data_center": "d1",
            "platform": {"address": "127.0.0.1:1"},
            "operators": {"port": ports[1]},
            "peers": {
                "port": peers_port,
                "seeds": [seed] if seed else [],
                "gossip_s": 0.2,
                "heartbeat_s": 0.3,
                "suspect_s": 1.5,
                "dead_s": 3.0,
            },
            "requests": {"lease_s": 1.5},
        }
        options = {"settings": settings, "log": str(self.log), "listed": self.listed}
        if listen:
            options["listen"] = f"127.0.0.1:{listen}"
        self.options_by_host[host] = options
        self.start(host)

    def start(self, host):
        """Start a host's process, or restart it under the same name and address."""
        options = json.dumps(self.options_by_host[host])
        self.processes.start(host, "features.support.peer_process", options)
        self.alive.append(host)
        until(lambda: self.ask(host), f"{host} answers")

    def ask(self, host, path="state"):
        """Return a process's answer, or None."""
        try:
            with urlopen(f"http://127.0.0.1:{self.ports_by_host[host][1]}/{path}", timeout=9) as r:
                return json.load(r)
        except OSError:
            return None

    def states_seen_by(self, host):
        """Return the states of all hosts as one of them sees them."""
        return self.ask(host)["members"]


def until(condition, what, limit_s=LIMIT_S):
    """Wait until a condition holds."""
    end = time.monotonic() + limit_s
    while not (found := condition()):
        assert time.monotonic() < end, f"not within {limit_s} s: {what}"
        time.sleep(0.1)
    return found


def split_hosts(text):
    return text.split(", ")


@given("members {hosts} that know only the address of {first}")
def start_members(context, hosts, first):
    context.cluster = Cluster(context)
    context.cluster.add(first)
    seed = f"127.0.0.1:{context.cluster.ports_by_host[first][0]}"
    for host in split_hosts(hosts):
        if host != first:
            context.cluster.add(host, seed=seed)
    check_all_live(context, hosts)


@then("members all see {hosts} live and agree on owners")
def check_all_live(context, hosts):
    cluster = context.cluster
    expected = dict.fromkeys(split_hosts(hosts), "live")

    def agreed():
        states = [cluster.ask(host) for host in cluster.alive]
        if not all(s is not None and s["members"] == expected for s in states):
            return False
        return len({s["owner"] for s in states}) == 1

    until(agreed, f"all see {expected}")


@then("members answer each other's calls")
def check_calls(context):
    for host in context.cluster.alive:
        answers = context.cluster.ask(host, "call")
        assert len(answers) == len(context.cluster.alive) - 1 and all(answers.values()), answers


@when("member {host} is {change}")
def change_member(context, host, change):
    cluster = context.cluster
    if change in ("killed", "frozen"):
        cluster.before = cluster.ask(host)["me"]
        cluster.alive.remove(host)
        getattr(cluster.processes, {"killed": "kill", "frozen": "freeze"}[change])(host)
    elif change == "woken":
        cluster.processes.wake(host)
        cluster.alive.append(host)
    else:
        cluster.start(host)


@then("members {hosts} see {host} {state}")
def check_state(context, hosts, host, state):
    for each in split_hosts(hosts):
        until(
            lambda each=each: context.cluster.states_seen_by(each).get(host) == state,
            f"{host} {state}",
        )


@then("member {host} is {identity}")
def check_identity(context, host, identity):
    now = context.cluster.ask(host)["me"]
    assert identity == "the same or another" or now != context.cluster.before, now
    for each in context.cluster.alive:
        ids = [i for i in context.cluster.ask(each)["ids"] if i.startswith(f"{host}@")]
        assert now in ids, (now, ids)


@when("member {host} publishes a notice")
def publish_notice(context, host):
    context.cluster.ask(host, "publish")


@then("members all know the notice")
def check_notice(context):
    for host in context.cluster.alive:
        until(
            lambda host=host: context.cluster.ask(host)["notice"] == 1, f"{host} knows the notice"
        )


@given("peers e1 and e2 with a path between them that can be cut")
def start_with_path(context):
    context.cluster = Cluster(context)
    ports = free_ports(4)
    relays = []
    for i, host in enumerate(("e1", "e2")):
        relays.append(ThreadedLink(port=ports[2 * i], target=ports[2 * i + 1]))
        context.add_cleanup(relays[i].stop)
        seed = f"127.0.0.1:{ports[0]}" if i else ""
        context.cluster.add(host, seed=seed, peers_port=ports[2 * i], listen=ports[2 * i + 1])
    context.relays = relays
    check_all_live(context, "e1, e2")
    until(lambda: all(context.cluster.ask("e1", "call").values()), "the first call")


@when("peers' path is {cut}")
def cut_path(context, cut):
    for relay in context.relays:
        if cut.startswith("closed"):
            relay.close_all()
        else:
            relay.silence(new="new ones" in cut)
    context.cut_at = time.monotonic()
    if "new ones" in cut:
        time.sleep(4)
        for relay in context.relays:
            relay.admit()


@then("peers' calls are answered again within {limit:g} s")
def check_calls_answered(context, limit):
    def answered():
        answers = [context.cluster.ask(host, "call") for host in ("e1", "e2")]
        return all(a and all(a.values()) for a in answers)

    until(answered, "calls are answered", limit_s=limit)


@when("peers take slots while e3 is killed and e2 is frozen for {seconds:g} s")
def take_slots(context, seconds):
    cluster = context.cluster
    for host in cluster.alive:
        cluster.ask(host, f"press?seconds={seconds + 12}")
    until(lambda: all(cluster.ask(h)["given"] > 20 for h in cluster.alive), "slots are acquired")
    change_member(context, "e3", "killed")
    time.sleep(1)
    change_member(context, "e2", "frozen")
    time.sleep(seconds)
    before = cluster.ask("e1")["given"]
    change_member(context, "e2", "woken")
    until(lambda: cluster.ask("e1")["given"] > before + 50, "slots are acquired again")


@then("slots in use were never more than 8 at an executor, as recorded by the processes")
def check_uses(context):
    changes = []
    for line in context.cluster.log.read_text().splitlines():
        executor, started, ended = line.split()
        changes += [(float(started), 1, executor), (float(ended), -1, executor)]
    running = {}
    for _, change, executor in sorted(changes):
        running[executor] = running.get(executor, 0) + change
        assert running[executor] <= 8, (running, executor)
    assert len(changes) > 200


@then("the remaining peers can use every slot")
def check_every_slot_used(context):
    cluster = context.cluster

    def all_in_use():
        cluster.log.write_text("")
        for host in cluster.alive:
            cluster.ask(host, "press?seconds=2")
        time.sleep(2.5)
        changes = []
        for line in cluster.log.read_text().splitlines():
            _, started, ended = line.split()
            changes += [(float(started), 1), (float(ended), -1)]
        running = peak = 0
        for _, change in sorted(changes):
            running += change
            peak = max(peak, running)
        return peak == 16

    until(all_in_use, "all 16 slots are in use")
