"""A simple, slow reference fold: no indexes, and each budget is checked by trying every loss."""

from itertools import pairwise, product

DOMAIN_KEYS = {
    "host": lambda host: host["host"],
    "rack": lambda host: (host["facts"]["data_center"], host["facts"]["rack"]),
    "data_center": lambda host: host["facts"]["data_center"],
}
FORBIDDEN_PHASES = {
    "in_service": {"in_service", "drained", "rebooting"},
    "draining": {"draining", "rebooting"},
    "drained": {"draining"},
    "rebooting": {"draining", "rebooting"},
    "failed": {"draining", "failed"},
    "set_aside": {"draining", "set_aside"},
}
LIVE_PHASES = {"waiting", "placed", "running", "paused"}
PHASES_BEFORE = {
    "place": {"waiting", "paused"},
    "start": {"placed"},
    "pause": {"placed", "running"},
    "resume": {"paused"},
    "attempt_over": {"placed", "running", "paused"},
    "end": LIVE_PHASES,
}


class NaiveFold:
    """Decides on each record in turn; ``verdicts`` holds True for each accepted one."""

    def __init__(self, *, remembered):
        self.remembered = remembered
        self.values, self.versions = {}, {}
        self.hosts, self.jobs = {}, {}
        self.entries = {}
        self.first_appearances = []
        self.verdicts = []

    def add(self, record):
        """Decide on the next record."""
        value = record.value
        offset = len(self.verdicts)
        floor = 0
        if len(self.first_appearances) > self.remembered:
            floor = self.first_appearances[-self.remembered - 1][0] + 1
        names = [name for _, name in self.first_appearances]
        if value["id"] not in names[-self.remembered :]:
            self.first_appearances.append((offset, value["id"]))
        decide = getattr(self, f"_{value['kind']}", lambda body, offset: False)
        is_new = value["id"] not in names and value["seen"] >= floor
        self.verdicts.append(is_new and decide(value["body"], offset))

    # Budgets.

    def profile(self, service, values=None):
        values = self.values if values is None else values
        return values[f"profile/{values[f'service/{service}']['profile']}"]

    def serving(self, service, phases=("in_service",)):
        """The hosts that serve a service."""
        return [
            host
            for host in self.hosts.values()
            if host["phase"] in phases
            and self.values.get(f"pool/{host['pool']}", {}).get("service") == service
        ]

    def meets_availability(self, service, without=""):
        """Whether a service keeps its minimum whichever single domain is lost."""
        hosts = [host for host in self.serving(service) if host["host"] != without]
        available = self.profile(service)["availability"]
        losses = [[]]
        if available["survive"] != "none":
            domain = DOMAIN_KEYS[available["survive"]]
            losses += [[h for h in hosts if domain(h) == lost] for lost in set(map(domain, hosts))]
        return all(len(hosts) - len(lost) >= available["min_hosts"] for lost in losses)

    def _may_leave(self, host):
        pool = self.values.get(f"pool/{host['pool']}")
        if host["phase"] != "in_service" or pool is None:
            return True
        others = [h for h in self._in_pool(host["pool"], ("in_service",)) if h is not host]
        if len(others) < pool["min_hosts"]:
            return False
        return not pool["service"] or self.meets_availability(pool["service"], without=host["host"])

    def _in_pool(self, pool, phases):
        return [h for h in self.hosts.values() if h["pool"] == pool and h["phase"] in phases]

    # Hosts.

    def _host(self, body, offset):
        host = self.hosts.get(body["host"])
        if host is None:
            first = body["phase"] in ("in_service", "drained", "failed", "set_aside")
            accepted = first and "facts" in body and self._may_join(body, None)
        else:
            accepted = body["base"] == host["epoch"] and self._may_step(body, host)
        if accepted:
            facts = body["facts"] if host is None else host["facts"]
            step = {"epoch": body["base"] + 1, "phase": body["phase"], "pool": body["pool"]}
            self.hosts[body["host"]] = {"host": body["host"], "facts": facts, **step}
        return accepted

    def _may_step(self, body, host):
        if body["phase"] == "failed" and host["phase"] != "failed":
            return body["pool"] == host["pool"]
        joins = body["phase"] == "in_service" and body["pool"] != host["pool"]
        if joins and host["pool"] and host["phase"] not in ("drained", "failed", "set_aside"):
            return False
        if not joins and body["phase"] in FORBIDDEN_PHASES[host["phase"]]:
            return False
        if body["pool"] != host["pool"] and not joins:
            leaves = body["phase"] == "drained" and body["pool"] == ""
            if not (leaves and host["phase"] in ("drained", "failed", "set_aside")):
                return False
        if body["phase"] in ("draining", "set_aside") and not self._may_leave(host):
            return False
        return self._may_join(body, host)

    def _may_join(self, body, host):
        pool = self.values.get(f"pool/{body['pool']}")
        if body["pool"] == "" or body["phase"] == "failed":
            return True
        if body["phase"] != "in_service":
            return (host is not None and host["pool"] == body["pool"]) or pool is not None
        if pool is None:
            return False
        held = ("in_service", "draining")
        others = [h for h in self._in_pool(body["pool"], held) if h is not host]
        serving = [h for h in self.serving(pool["service"], held) if h is not host]
        if host is not None and host["phase"] == "draining":
            return True
        room = (
            not pool["service"] or len(serving) < self.profile(pool["service"])["room"]["max_hosts"]
        )
        return room and len(others) < pool["max_hosts"]

    # Entry hosts: every accepted step, in order.

    def _entry(self, body, offset):
        steps = self.entries.setdefault(body["host"], [])
        if body["base"] != len(steps):
            return False
        runs = [step["incarnation"] for step in steps]
        if body["step"] == "join":
            accepted = not runs or body["incarnation"] > max(runs)
        else:
            last = steps[-1] if steps else {"step": "", "incarnation": 0}
            accepted = (last["step"], last["incarnation"]) == ("join", body["incarnation"])
        if accepted:
            steps.append({**body, "offset": offset})
        return accepted

    def entry(self, host):
        """The state that a host's steps result in."""
        steps = self.entries[host]
        states = {"join": "joined", "leave": "left", "gone": "gone"}
        unclean = [
            step["offset"]
            for before, step in pairwise(steps)
            if before["step"] == "join" and step["step"] != "leave"
        ]
        last = steps[-1]
        return {
            "host": host,
            "incarnation": last["incarnation"],
            "epoch": len(steps),
            "state": states[last["step"]],
            "offset": last["offset"],
            "unclean": max(unclean, default=-1),
        }

    # Declarations.

    def _config(self, body, offset):
        changes = body["changes"]
        after = dict(self.values)
        for change in changes:
            current = self.versions.get(change["key"], -1) if change["key"] in after else -1
            if change["base"] != current:
                return False
            if change["value"] is None and change["key"] not in after:
                return False
            after[change["key"]] = change["value"]
        after = {key: value for key, value in after.items() if value is not None}
        if any("bogus" in value for value in after.values()):
            return False
        if not self._references_exist(after) or not self._hosts_keep_services(after):
            return False
        before = self._shortages(self.values)
        if any(short > before.get(name, 0) for name, short in self._shortages(after).items()):
            return False
        self.values = after
        self.versions.update({change["key"]: offset for change in changes})
        return True

    def _references_exist(self, values):
        wanted = set()
        for key, value in values.items():
            if key.startswith("service/"):
                wanted |= {f"profile/{value['profile']}", f"team/{value['team']}"}
            if key.startswith("pool/") and value["service"]:
                wanted.add(f"service/{value['service']}")
        paths = [value["path"] for key, value in values.items() if key.startswith("service/")]
        return wanted <= values.keys() and len(paths) == len(set(paths))

    def _hosts_keep_services(self, after):
        for host in self.hosts.values():
            key = f"pool/{host['pool']}"
            if key in self.values:
                pool = after.get(key)
                if pool is None or pool["service"] != self.values[key]["service"]:
                    return False
        return True

    def _shortages(self, values):
        """How many hosts each budget lacks."""
        phases = ("in_service", "draining", "drained", "rebooting")
        healthy = [host for host in self.hosts.values() if host["phase"] in phases]
        pools = [value for key, value in values.items() if key.startswith("pool/")]
        shortages = {}
        total = sum(pool["min_hosts"] for pool in pools if not pool["service"])
        for key in values:
            kind, _, name = key.partition("/")
            if kind != "service":
                continue
            profile = self.profile(name, values)
            own = [pool for pool in pools if pool["service"] == name]
            need, most = survival_bounds(healthy, **profile["availability"])
            floor = max(need, sum(pool["min_hosts"] for pool in own))
            total += floor
            shortages[name, "room"] = floor - profile["room"]["max_hosts"]
            shortages[name, "pools"] = floor - sum(pool["max_hosts"] for pool in own)
            if healthy:
                shortages[name, "fleet"] = profile["availability"]["min_hosts"] - most
        if healthy:
            shortages["total"] = total - len(healthy)
        return {name: short for name, short in shortages.items() if short > 0}

    # Jobs.

    def _job(self, body, offset):
        job = self.jobs.get(body["job"])
        if body["step"] == "submit":
            return self._submit(body, job)
        if job is None or job["phase"] == "ended":
            return False
        if body["step"] != "cancel" and body["base"] != job["epoch"]:
            return False
        if body["step"] == "cancel":
            accepted = not job["cancelled"]
        else:
            accepted = job["phase"] in PHASES_BEFORE[body["step"]]
        running = bool(job["outcomes"]) and job["outcomes"][-1] == "running"
        if accepted and body["step"] == "place":
            accepted = self._may_place(body, job, running)
        if body["step"] == "resume" and not running:
            return False
        if accepted:
            self._step_job(body, job, running)
        return accepted

    def _submit(self, body, job):
        spec = body["spec"]
        team = self.values.get(f"team/{spec['team']}")
        if job is not None or body["base"] != 0 or team is None:
            return False
        waiting = [j for j in self.jobs.values() if j["phase"] != "ended"]
        if len(waiting) >= team["max_jobs"] or spec["cores"] > team["max_cores"]:
            return False
        self.jobs[body["job"]] = {
            "spec": spec,
            "epoch": 1,
            "phase": "waiting",
            "cancelled": False,
            "outcomes": [],
        }
        return True

    def _may_place(self, body, job, running):
        host = self.hosts.get(body["worker"])
        if host is None or host["phase"] != "in_service" or job["cancelled"] or running:
            return False
        if "unknown" in job["outcomes"] and not job["spec"]["idempotent"]:
            return False
        held = [j for j in self.jobs.values() if j["outcomes"] and j["outcomes"][-1] == "running"]
        cores = sum(j["spec"]["cores"] for j in held) + job["spec"]["cores"]
        team = self.values.get(f"team/{job['spec']['team']}")
        waiting = [j for j in self.jobs.values() if j["phase"] != "ended"]
        return team is not None and cores <= team["max_cores"] and len(waiting) <= team["max_jobs"]

    def _step_job(self, body, job, running):
        step = body["step"]
        job["epoch"] += 1
        job["cancelled"] = job["cancelled"] or step == "cancel"
        if step == "place":
            job["outcomes"].append("running")
        if running and step == "attempt_over":
            job["outcomes"][-1] = body["result"]
        if running and step == "end":
            job["outcomes"][-1] = "done"
        phases = {"place": "placed", "start": "running", "pause": "paused", "resume": "running"}
        phases |= {"attempt_over": "waiting", "end": "ended"}
        job["phase"] = phases.get(step, job["phase"])
        if job["cancelled"] and (step == "attempt_over" or (step == "cancel" and not running)):
            job["phase"] = "ended"


def survival_bounds(hosts, *, min_hosts, survive):
    """The fewest hosts that keep ``min_hosts`` after a loss, and the most that any choice keeps.

    Tries every number of hosts in every domain.
    """
    if survive == "none":
        return min_hosts, len(hosts)
    if survive == "host":
        return min_hosts and min_hosts + 1, len(hosts) - 1
    domains = [DOMAIN_KEYS[survive](host) for host in hosts]
    sizes = [domains.count(domain) for domain in sorted(set(domains))]
    kept = [(sum(n), sum(n) - max(n, default=0)) for n in product(*(range(s + 1) for s in sizes))]
    enough = [count for count, left in kept if left >= min_hosts]
    return min(enough, default=min_hosts + 1), max(left for _, left in kept)
