"""The command line: all commands, and how errors end."""

import os
import sys

import click
from click.shell_completion import get_completion_class

from . import (  # noqa: F401  The commands join the group when their modules are imported.
    commands_apply,
    commands_jobs,
    commands_views,
    commands_waves,
    status_codes,
)
from .command_options import cli
from .exceptions import MustardgapError
from .outputs import print_error

INTERRUPTED = 130


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print a script that completes commands in a shell.

    \b
    Example: eval "$(mustardgap completion bash)"
    """
    found = get_completion_class(shell)
    assert found is not None
    script = found(cli, {}, "mustardgap", "_MUSTARDGAP_COMPLETE").source()
    click.echo(script)


def main(args: list[str] | None = None) -> None:
    """Run the command line and end the process with a documented exit status."""
    sys.exit(invoke(args))


def invoke(args: list[str] | None = None) -> int:
    """Run the command line.

    :param args: the arguments, the process's own when None.
    :return: the exit status.
    """
    try:
        result = cli.main(args=args, prog_name="mustardgap", standalone_mode=False)
        return result if isinstance(result, int) else 0
    except MustardgapError as exc:
        print_error(exc)
        return exc.code.exit_status
    except click.ClickException as exc:
        if type(exc).__name__ == "NoArgsIsHelpError":
            click.echo(exc.format_message())
        else:
            print_error(_usage(exc))
        return status_codes.USAGE.exit_status
    except (click.Abort, KeyboardInterrupt):
        click.echo("interrupted", err=True)
        return INTERRUPTED
    except BrokenPipeError:
        # The reader of our output has gone, as with "| head"; nobody is left to tell.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    except Exception as exc:
        if os.environ.get("MUSTARDGAP_DEBUG"):
            raise
        detail = f"{type(exc).__name__}: {exc}"
        print_error(MustardgapError(code=status_codes.INTERNAL, detail=detail))
        return status_codes.INTERNAL.exit_status


def _usage(exc: click.ClickException) -> MustardgapError:
    ctx = getattr(exc, "ctx", None)
    place = ctx.command_path if ctx else "mustardgap"
    return MustardgapError(code=status_codes.USAGE, detail=exc.format_message(), place=place)
