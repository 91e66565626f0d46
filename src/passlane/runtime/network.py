"""TCP connections through anyio."""

import socket

import anyio
from anyio.abc import ByteStream, SocketAttribute

from passlane.messages.common import Address
from passlane.runtime.accepted_stream import serve_tcp
from passlane.runtime.interfaces import ConnectionHandler

SILENCE_LIMIT_MS = 3_000
"""A connection fails when sent bytes stay unacknowledged for this long, since a machine that
lost power or its network sends no reset."""


class TcpNetwork:
    """The real network; implements ``runtime.interfaces.Network``."""

    async def connect(self, address: Address) -> ByteStream:
        """Open a TCP connection; raise ``OSError`` on failure."""
        stream = await anyio.connect_tcp(address.host, address.port)
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_LIMIT_MS)
        return stream

    async def serve(self, address: Address, handler: ConnectionHandler) -> None:
        """Accept TCP connections and run ``handler`` for each until cancelled."""
        await serve_tcp(address, handler)
