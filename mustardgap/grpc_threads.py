"""Keeps the threads of gRPC running for as long as the process."""

import functools

import grpc

# No call is made on the channel, so it never connects.
UNUSED_ADDRESS = "127.0.0.1:1"


@functools.cache
def keep_running() -> grpc.Channel:
    """Keep the threads of gRPC running until the process ends.

    gRPC ends its threads with its last server or channel, and blocks the event loop until they have
    ended, for up to 2 s on a busy machine. A daemon that stopped its server couldn't write answers
    or hand its shards over meanwhile, and overran its grace. An open channel prevents that.

    :return: the channel that keeps them running.
    """
    return grpc.insecure_channel(UNUSED_ADDRESS)
