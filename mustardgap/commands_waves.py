"""Commands about draining hosts and maintenance waves."""

import uuid
from typing import Any

import click

from . import status_codes
from .command_options import NameType, cli, emit, run
from .exceptions import MustardgapError
from .outputs import print_table


@cli.command()
@click.argument("host", type=NameType("hosts"))
@click.option("--undrain", is_flag=True, help="Take a drain back.")
@click.option("--reason", default="", help="Shown in the time line.")
@click.option("--urgent", is_flag=True, help="The host goes away on short notice.")
def drain(host: str, undrain: bool, reason: str, urgent: bool) -> None:
    """Drain HOST: it gets no new work, and nothing in flight is cut off.

    A drain that would break a service's availability budget is refused (MG3002).

    \b
    Examples:
      mustardgap drain w17 --reason "fan is loud"
      mustardgap drain w17 --undrain
    """
    if undrain and urgent:
        raise MustardgapError(
            code=status_codes.USAGE,
            detail="--undrain and --urgent exclude each other",
            place="drain",
        )
    if undrain:
        answer = run(lambda client: client.undrain(host, reason=reason))
    else:
        answer = run(lambda client: client.drain(host, reason=reason, urgent=urgent))
    word = "in service again" if undrain else "draining"
    emit(answer, lambda: click.echo(f"{host} is {word}, accepted at offset {answer['offset']}"))


@cli.group()
def wave() -> None:
    """Run maintenance waves: drain, reboot and return hosts without breaking a budget."""


@wave.command()
@click.option("--id", "name", default="", help="The wave's name; made up when missing.")
@click.option("--host", "hosts", multiple=True, help="A host; may be given several times.")
@click.option("--rack", default="", help="All hosts of a rack.")
@click.option("--data-center", default="", help="All hosts of a data center.")
@click.option("--reason", default="", help="Shown in the time line.")
def start(name: str, hosts: tuple[str, ...], rack: str, data_center: str, reason: str) -> None:
    """Start a wave over hosts, a rack or a data center.

    \b
    Examples:
      mustardgap wave start --rack r3 --reason "kernel update"
      mustardgap wave start --id wave-7 --host w1 --host w2
    """
    if sum(map(bool, (hosts, rack, data_center))) != 1:
        raise MustardgapError(
            code=status_codes.USAGE,
            detail="give one of --host, --rack and --data-center",
            place="wave start",
        )
    name = name or f"wave-{uuid.uuid4().hex[:8]}"
    scope: dict[str, Any] = {
        "hosts": list(hosts),
        "rack": rack,
        "data_center": data_center,
        "reason": reason,
    }
    answer = run(lambda client: client.start_wave(name, **scope))
    text = f"wave {name} over {len(answer['hosts'])} hosts, accepted at offset {answer['offset']}"
    emit(answer, lambda: click.echo(text))


def _step(name: str, step: str, reason: str) -> None:
    answer = run(lambda client: client.step_wave(name, step, reason=reason))
    emit(answer, lambda: click.echo(f"{step} of {name} accepted at offset {answer['offset']}"))


@wave.command()
@click.argument("name", metavar="WAVE", type=NameType("waves"))
@click.option("--reason", default="", help="Shown in the time line.")
def pause(name: str, reason: str) -> None:
    """Take no further hosts out; those that are out go on."""
    _step(name, "pause", reason)


@wave.command()
@click.argument("name", metavar="WAVE", type=NameType("waves"))
@click.option("--reason", default="", help="Shown in the time line.")
def resume(name: str, reason: str) -> None:
    """Go on with a paused wave."""
    _step(name, "resume", reason)


@wave.command()
@click.argument("name", metavar="WAVE", type=NameType("waves"))
@click.option("--reason", default="", help="Shown in the time line.")
def finish(name: str, reason: str) -> None:
    """End a wave before all its hosts are done."""
    _step(name, "finish", reason)


@wave.command("status")
@click.argument("name", metavar="[WAVE]", required=False, default="", type=NameType("waves"))
def wave_status(name: str) -> None:
    """Show the waves, or one wave host by host.

    \b
    Examples:
      mustardgap wave status
      mustardgap wave status wave-7
    """
    if name:
        _show_one(name)
        return
    answer = run(lambda client: client.items("waves"))
    rows = [
        (item["wave"], item["phase"], len(item["hosts"]), item["reason"])
        for item in answer["items"].values()
    ]
    emit(answer, lambda: print_table(["wave", "phase", "hosts", "reason"], rows))


def _show_one(name: str) -> None:
    async def call(client: Any) -> dict[str, Any]:
        answer = await client.items("waves", name)
        hosts = (await client.items("hosts"))["items"]
        wanted = answer["items"][name]["hosts"]
        answer["hosts"] = {host: hosts[host] for host in wanted if host in hosts}
        return answer

    answer = run(call)
    found = answer["items"][name]
    rows = [
        (host, state["phase"], _done(state, found), state["reason"])
        for host, state in answer["hosts"].items()
    ]

    def show() -> None:
        done = sum(row[2] == "yes" for row in rows)
        click.echo(f"wave {name}: {found['phase']}, {done} of {len(rows)} hosts done")
        print_table(["host", "phase", "done", "reason"], rows)

    emit(answer, show)


def _done(host: dict[str, Any], wave: dict[str, Any]) -> str:
    return "yes" if host["maintained"] >= wave["started"] else "no"
