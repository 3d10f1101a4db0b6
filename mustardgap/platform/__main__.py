"""Runs a daemon on the platform."""

import os
import signal


def _end(*_: object) -> None:
    # An exception of the handler would be swallowed where it interrupts a destructor or a callback
    # of the garbage collector, and the daemon would go on to serve.
    os._exit(0)


# The imports take half a second, in which a signal would end the process as by a crash: a settings
# file that changes just then would take a starting daemon down, and a stop look like a failure.
# Nothing is under way yet, so a stop may end it at once, and the settings are read afterwards.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, _end)

from .daemon import main  # noqa: E402

main()
