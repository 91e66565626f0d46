"""Sends one request over loopback with the real HTTP client and server."""

import anyio

from passlane.messages.common import Address
from passlane.runtime.early_listening import ListeningSockets, bound_socket
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.http_server import UvicornHttpServer
from passlane.runtime.interfaces import HttpLimits, HttpRequest
from passlane.runtime.network import TcpNetwork


async def _application(_scope, receive, send):
    await receive()
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"hello"})


async def _exchange():
    with bound_socket("127.0.0.1", 0) as bound:
        address = Address("127.0.0.1", bound.getsockname()[1])
    sockets = ListeningSockets()
    sockets.listen([str(address)])
    async with anyio.create_task_group() as tasks:
        server = UvicornHttpServer(sockets)
        tasks.start_soon(server.serve, address, _application, HttpLimits(finish_s=0.1))
        client = SingleConnectionHttpClient(TcpNetwork())
        async with client.exchange(HttpRequest("GET", address, "/")) as response:
            body = b"".join([part async for part in response.chunks()])
        tasks.cancel_scope.cancel()
    return f"{response.status} {body!r}"


def exchange_over_loopback():
    """Return the status and body of the response."""
    return anyio.run(_exchange)
