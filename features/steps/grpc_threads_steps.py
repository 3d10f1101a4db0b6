"""Steps for the threads of gRPC, in a process of its own."""

import subprocess
import sys

from behave import then, when

ENDED_S = 60
# The thread that watches over gRPC's other threads, as long as they run.
WATCHING_THREAD = "lifeguard"


@when("a process starts a gRPC server of {which} and stops it")
def start_and_stop(context, which):
    ended = subprocess.run(
        [sys.executable, "-m", "features.support.grpc_stop", which],
        capture_output=True,
        text=True,
        timeout=ENDED_S,
        check=True,
    )
    context.threads = ended.stdout.splitlines()


@then("the process still has the threads of gRPC")
def has_threads(context):
    assert WATCHING_THREAD in context.threads, context.threads
