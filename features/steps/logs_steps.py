"""Steps for log lines."""

import io
import logging as python_logging
import re
from http.client import HTTPConnection

import msgspec
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings as bounds
from hypothesis import strategies as st

from mustardgap import logs, metrics
from mustardgap.timers import Clock
from tools.clusters import Cluster
from tools.processes import ROOT

BOUNDED = bounds(max_examples=100, derandomize=True, database=None, deadline=None)
PAIRS = re.compile(r'^time=\S+ level=\w+ host=\S+ part=\S+ text="(?:[^"\\]|\\.)*"( \w+=\S.*)?$')
SPEC = {
    "team": "deposits",
    "urgency": 3,
    "cores": 1,
    "memory_gb": 1,
    "accelerators": 0,
    "run_s": 1,
    "idempotent": True,
}
SECRETS = ("body-of-a-seeker", "key-of-a-refund", "payload-of-a-job")


class ManualClock(Clock):
    """A clock that only the test advances."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


def make_logger(clock=None):
    """Return a logger with the daemon's formatter and filter, and the stream that it writes to."""
    stream = io.StringIO()
    handler = python_logging.StreamHandler(stream)
    handler.setFormatter(logs.LineFormatter(host="entry-1"))
    if clock:
        handler.addFilter(logs.RateFilter(clock=clock))
    logger = python_logging.Logger("test")
    logger.addHandler(handler)
    return logger, stream


def log_fault(logger, message="a request failed", cause="it broke"):
    try:
        raise ValueError(cause)
    except ValueError:
        logger.exception(message)


def count_lines(result):
    name = f'mustardgap_log_lines_total{{result="{result}"}} '
    lines = metrics.render().decode().splitlines()
    return next((float(x.removeprefix(name)) for x in lines if x.startswith(name)), 0.0)


@given("logs on a manual clock")
def start_stopped_clock(context):
    context.clock = ManualClock()
    context.logger, context.stream = make_logger(context.clock)
    context.before = count_lines("written"), count_lines("suppressed")


@when("logs get 10000 faults at once, and one more 10 seconds later")
def log_faults(context):
    for _ in range(10_000):
        log_fault(context.logger)
    context.clock.now += 10
    log_fault(context.logger)


@then("logs have 201 lines, of which the last has the number of suppressed lines")
def check_limit(context):
    lines = context.stream.getvalue().splitlines()
    assert len(lines) == 201, len(lines)
    assert lines[-1].endswith("suppressed=9800"), lines[-1]
    assert not any("suppressed" in line for line in lines[:-1])


@then("logs count each line as written or suppressed")
def check_counts(context):
    written, suppressed = context.before
    assert (
        count_lines("written") - written == 201 and count_lines("suppressed") - suppressed == 9800
    )


@then("logs have one line of pairs for any message, with or without a fault")
def check_any(context):
    @BOUNDED
    @given_any(st.text(), st.text(), st.booleans())
    def check(message, cause, with_fault):
        logger, stream = make_logger()
        if with_fault:
            log_fault(logger, message.replace("%", ""), cause)
        else:
            logger.info("%s", message)
        (line,) = stream.getvalue().split("\n")[:-1]
        assert PAIRS.match(line) and line.isprintable(), line

    check()


@given("logs of a daemon that serves a request and accepts a job while the platform fails")
def daemon(context):
    cluster = Cluster(processes=context.processes, daemons=1)
    cluster.start()
    cluster.apply(ROOT / "examples" / "kochi")
    cluster.wait_ready()
    job = context.folder / "job.json"
    job.write_bytes(msgspec.json.encode({**SPEC, "payload": {"note": SECRETS[2]}}))
    context.statuses = [cluster.cli("jobs", "submit", str(job), check=False).returncode]
    context.statuses.append(send(cluster.entries[0]))
    for on in ("/log/*", "/workers*"):
        cluster.platform.fault("lost", on=on, count=3)
    cluster.cli("jobs", "submit", str(job), check=False)
    send(cluster.entries[0])
    cluster.platform.fault("down", on="/*")
    cluster.cli("jobs", "submit", str(job), check=False)
    send(cluster.entries[0])
    cluster.wait("line of the log", lambda: "MG5004" in context.processes.output("e1"))
    context.processes.stop("e1")
    context.output = context.processes.output("e1")


def send(address):
    """Send a deposit refund through a daemon and return the status."""
    host, port = address.split(":")
    connection = HTTPConnection(host, int(port), timeout=30)
    headers = {"Idempotency-Key": SECRETS[1], "X-Request-Timeout": "3"}
    connection.request("POST", "/agreements/refund", body=SECRETS[0], headers=headers)
    status = connection.getresponse().status
    connection.close()
    return status


@then("logs mention the platform, but not the body, the key or the payload")
def check_private(context):
    assert context.statuses == [0, 200], context.statuses
    assert not [secret for secret in SECRETS if secret in context.output], context.output


@then("logs have pairs on every line")
def check_pairs(context):
    lines = context.output.splitlines()
    assert lines and all(PAIRS.match(line) for line in lines), context.output
