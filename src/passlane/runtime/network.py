"""TCP connections through anyio."""

import anyio
from anyio.abc import ByteStream

from passlane.messages.common import Address
from passlane.runtime.interfaces import ConnectionHandler


class TcpNetwork:
    """The real network; implements ``runtime.interfaces.Network``."""

    async def connect(self, address: Address) -> ByteStream:
        """Open a TCP connection; raise ``OSError`` when that fails."""
        return await anyio.connect_tcp(address.host, address.port)

    async def serve(self, address: Address, handler: ConnectionHandler) -> None:
        """Accept TCP connections and run ``handler`` for each until cancelled."""
        listener = await anyio.create_tcp_listener(local_host=address.host, local_port=address.port)
        async with listener:
            await listener.serve(handler)
