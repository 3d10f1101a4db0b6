"""A server for daemons' calls, whose handler the test provides."""

import grpc

from mustardgap.peer_calls import METHOD, SERVICE


async def serve(answer):
    """Serve calls with a handler; return the server and its address."""
    server = grpc.aio.server()
    handler = grpc.unary_unary_rpc_method_handler(answer)
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(SERVICE, {METHOD: handler}),)
    )
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    return server, f"127.0.0.1:{port}"
