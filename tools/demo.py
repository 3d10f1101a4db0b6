"""A tour of the whole system in separate processes, whose promises are counted at the end.

It starts a platform, executors of five services and three daemons, publishes the declarations of
``examples/kochi``, sends requests throughout, and meanwhile refunds a deposit twice with one key,
runs a job, maintains a rack and stops a daemon. It exits with 0 only when every count is right.
"""

import asyncio
import json
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import click

from mustardgap import declarations

from .balancers import Balancer
from .clusters import Cluster
from .load import Kind, Plan, Report, Stage
from .oracle import PROMISES, Counts, check_budgets, check_cuts, check_pools, check_requests
from .processes import ROOT, Processes
from .told import Told, judge, summarize

KOCHI = ROOT / "examples" / "kochi"
RACK = "kochi-b-r1"
RATE = 120.0
LOAD_S = 100.0
REFUND_BODY = b'{"deposit": 1701, "amount_inr": 24000}'
JOB = {
    "team": "deposits",
    "urgency": 5,
    "cores": 2,
    "memory_gb": 4,
    "accelerators": 0,
    "run_s": 2,
    "idempotent": True,
}
MAX_ASKS = 6
MAX_TIMELINE_LINES = 150
MIX = [
    Kind(service="seeker-matching", path="/seeker-matching/rooms", weight=4),
    Kind(
        service="seeker-matching",
        path="/seeker-matching/offers",
        method="POST",
        body_bytes=400,
        weight=1,
    ),
    Kind(service="agreements", path="/agreements/drafts", answer_bytes=60_000, weight=3),
    Kind(
        service="agreements",
        path="/agreements/refunds",
        method="POST",
        body_bytes=200,
        keyed=True,
        twice=0.2,
        ask_again=4,
        timeout_s=10.0,
    ),
]


class Demo:
    """One run of the tour.

    :param processes: starts and ends the processes.
    """

    def __init__(self, *, processes: Processes) -> None:
        self.started = time.monotonic()
        self.cluster = Cluster(
            processes=processes,
            executors={"run_time": {"distribution": "exponential", "mean_s": 0.02}},
            platform={"workers": {"reboot_s": 1.0}},
        )
        self.in_force = 0.0
        self.told: list[Told] = []

    def run(self) -> bool:
        """Take the tour.

        :return: whether every promise was kept.
        """
        cluster = self.cluster
        self._step("start platform, executors and three daemons", cluster.start)
        self._step("publish examples/kochi", lambda: cluster.apply(KOCHI))
        self._step("wait until all three take requests", cluster.wait_ready)
        self.in_force = time.time()
        load = cluster.start_load(
            Plan(
                run="demo",
                entries=cluster.entries,
                stages=[Stage(rate=RATE, seconds=LOAD_S)],
                mix=MIX,
            )
        )
        self._step("refund one deposit twice, through two entries", self._refund)
        self._step("run a job", self._run_job)
        self._step(f"start a maintenance wave over rack {RACK}", self._start_wave)
        self._step("stop daemon e2 while the wave goes on", self._stop_daemon)
        self._step("wait for the wave's end", self._wait_wave)
        report = cluster.stop_load(load)
        self.told += report.told
        cluster.settle()
        self._show_timeline()
        return self._show_promises(report)

    def _step(self, title: str, action: Callable[[], Any]) -> None:
        click.echo(f"[{time.monotonic() - self.started:5.1f} s] {title}")
        result = action()
        for line in str(result or "").splitlines():
            click.echo(f"            {line}")

    def _refund(self) -> str:
        found = asyncio.run(_refund_twice(self.cluster.entries[:2]))
        self.told += found
        text = [
            f"through {one.entry}: {one.outcome}, MG{one.code}, HTTP {one.status}" for one in found
        ]
        return "\n".join([*text, f"runs on record: {self._refund_runs()}"])

    def _refund_runs(self) -> int:
        return sum("load=refund-1701" in run["path"] for run in self.cluster.runs())

    def _run_job(self) -> str:
        path = self.cluster.folder / "job.json"
        path.write_text(json.dumps(JOB), encoding="utf-8")
        submit = ("jobs", "submit", str(path), "--id", "settlement-1", "--wait", "--timeout", "40")
        return self.cluster.cli(*submit).stdout

    def _start_wave(self) -> str:
        return self.cluster.cli("wave", "start", "--id", "wave-1", "--rack", RACK).stdout

    def _stop_daemon(self) -> str:
        self.cluster.wait("host of the wave that drains", self._wave_begun)
        status = self.cluster.processes.stop("e2")
        if status != 0:
            raise RuntimeError(f"e2 ended with {status}")
        return "e2 ended with status 0"

    def _wave_begun(self) -> bool:
        workers = self.cluster.platform.call("GET", "/workers?since=0")["workers"]
        return any(w["rack"] == RACK and (w["state"] != "up" or w["boot"] > 1) for w in workers)

    def _wait_wave(self) -> str:
        self.cluster.wait("end of the wave", self._wave_ended, timeout_s=60.0)
        return self.cluster.cli("wave", "status", "wave-1").stdout

    def _wave_ended(self) -> bool:
        wave = self.cluster.show("wave", "status", "wave-1", entry="e1")["items"]["wave-1"]
        return bool(wave["phase"] == "finished")

    def _show_timeline(self) -> None:
        done = self.cluster.cli("timeline", "--since", "5m", check=False)
        found = done.stdout.splitlines()
        click.echo(f"\ntime line over all daemons ({len(found)} lines)")
        for line in found[-MAX_TIMELINE_LINES:]:
            click.echo(f"  {line}")

    def _show_promises(self, report: Report) -> bool:
        counts = self._count()
        figures = summarize(report.told, seconds=report.ended - report.started)
        outcomes = counts.by_outcome
        click.echo("\npromises")
        click.echo(f"  requests: {outcomes.total()}, {counts.runs} runs on record")
        click.echo(f"  answered: {outcomes['answered']} (p50 {figures.p50_ms:.1f} ms)")
        refused = outcomes["refused"] - counts.of("untrue refusal")
        codes = Counter(f"MG{one.code}" for one in self.told if one.outcome == "refused")
        by_code = ", ".join(f"{n} {code}" for code, n in sorted(codes.items()))
        click.echo(f"  refused truthfully: {refused} ({by_code})")
        wrong_by_name = Counter({p: counts.of(p) for p in PROMISES})
        wrong_by_name.update({k: outcomes[k] for k in ("unknown", "broken", "unreached")})
        wrong_by_name["unsent"] = report.unsent
        for name, count in wrong_by_name.items():
            click.echo(f"  {name}: {count}{'' if count == 0 else '  <-- must be 0'}")
        for fault in counts.faults[:20]:
            click.echo(f"    {fault.promise} {fault.name}: {fault.detail}")
        return outcomes["answered"] > 0 and not wrong_by_name.total()

    def _count(self) -> Counts:
        counts = check_requests(self.told, self.cluster.runs())
        truth = self.cluster.platform.truth()
        faults = [
            *check_budgets(truth, least_by_pool(KOCHI), since=self.in_force),
            *check_pools(truth, self.cluster.executors_state()),
            *check_cuts(truth),
        ]
        return counts._replace(faults=counts.faults + faults)


async def _refund_twice(entries: list[str]) -> list[Told]:
    """Send one refund through two entry hosts, to the second until it is answered."""
    balancer = Balancer(entries=entries)
    found = [await _refund_once(balancer, entries[0], 0)]
    for number in range(1, MAX_ASKS):
        found.append(await _refund_once(balancer, entries[1], number))
        if not found[-1].is_open:
            break
        await asyncio.sleep(found[-1].retry_after)
    balancer.close()
    return found


async def _refund_once(balancer: Balancer, entry: str, number: int) -> Told:
    request_id = f"refund-1701.{number}"
    exchange = await balancer.send(
        entry=entry,
        method="POST",
        path="/agreements/deposits/1701/refund?load=refund-1701",
        headers={"X-Request-Id": request_id, "Idempotency-Key": '"refund-1701"'},
        body=REFUND_BODY,
        timeout_s=10.0,
    )
    facts: dict[str, Any] = {"service": "agreements", "kind": 0, "stage": 0}
    facts |= {"id": request_id, "keyed": True, "idempotent": False}
    return judge(exchange, body=REFUND_BODY, sent=time.time(), latency_s=0.0, **facts)


def least_by_pool(folder: Any) -> dict[str, int]:
    """The fewest hosts that each pool's service must keep, by its profile."""
    declared = declarations.read_dir(folder)
    least = {}
    for key, pool in declared.items():
        if key.startswith("pool/") and pool["service"]:
            profile = declared[f"service/{pool['service']}"]["profile"]
            availability = declared[f"profile/{profile}"]["availability"]
            least[key.removeprefix("pool/")] = availability["min_hosts"]
    return least


@click.command()
@click.option("--keep", is_flag=True, help="Keep the folder with the processes' output.")
def main(keep: bool) -> None:
    """Take a tour of the whole system on loopback."""
    # Without this a SIGTERM would end the tour at once and leave its processes behind.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    folder = tempfile.mkdtemp(prefix="mustardgap-demo-")
    processes = Processes(folder=folder)
    kept = False
    try:
        kept = Demo(processes=processes).run()
    except (RuntimeError, TimeoutError, OSError) as exc:
        click.echo(f"failed: {exc}")
    finally:
        processes.stop_all()
        if not kept:
            _show_outputs(processes)
        if not keep:
            shutil.rmtree(folder, ignore_errors=True)
    click.echo("every promise was kept" if kept else "NOT every promise was kept")
    sys.exit(0 if kept else 1)


def _show_outputs(processes: Processes) -> None:
    for name in processes.by_name:
        click.echo(f"--- {name} ---\n{processes.output(name)[-3000:]}")


if __name__ == "__main__":
    main()
