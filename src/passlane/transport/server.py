"""Server for messages from other passlane processes.

It listens on one address and serves each connection with the handlers of a router.
"""

from anyio.abc import ByteStream

from passlane.messages.common import Address
from passlane.observability.logging import get_logger
from passlane.runtime.interfaces import Environment
from passlane.transport.large_replies import LargeReplies
from passlane.transport.router import MessageRouter
from passlane.transport.server_connection import ServerConnection

_log = get_logger("transport.server")


class MessageServer:
    """Serves a router's handlers at one address.

    Parameters
    ----------
    environment
        Provides the network.
    address
        Address to listen on.
    router
        Provides the handlers; more may be registered while the server runs.
    large_replies
        Bounds the large replies of all connections together.
    """

    def __init__(
        self,
        environment: Environment,
        address: Address,
        router: MessageRouter,
        large_replies: LargeReplies | None = None,
    ) -> None:
        self._network = environment.network
        self._address = address
        self._router = router
        self._large_replies = large_replies or LargeReplies()

    async def run(self) -> None:
        """Accept connections until cancelled.

        Raises
        ------
        OSError
            When the server cannot listen on the address.
        """
        await self._network.serve(self._address, self._serve_connection)

    async def _serve_connection(self, stream: ByteStream) -> None:
        try:
            await ServerConnection(stream, self._router, self._large_replies).run()
        except Exception:
            # An error on one connection must not stop the server.
            _log.exception("connection_failed")
