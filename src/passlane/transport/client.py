"""Calls to other passlane processes over a pool of connections.

The pool keeps one connection for each address and closes idle ones.
"""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import anyio
from anyio.abc import TaskGroup

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import Message
from passlane.messages.common import Address
from passlane.runtime.interfaces import Environment
from passlane.transport.client_connection import ClientConnection
from passlane.transport.interfaces import ReplyType
from passlane.transport.peer import Peer

ONE_WAY_CONNECT_S = 0.5
"""Maximum wait of a one-way message for a connection."""
IDLE_CLOSE_S = 120.0
"""A connection that is unused for this long is closed."""


class ConnectionPool:
    """Keeps one connection for each address; implements ``transport.interfaces.Caller``.

    Calls need ``run`` to be running; calls made before it wait for it.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._peers: dict[Address, Peer] = {}
        self._tasks: TaskGroup | None = None
        self._started = anyio.Event()

    async def run(self) -> None:
        """Run the connections until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                self._started.set()
                await self._close_idle_connections()
        finally:
            self._tasks = None
            self._started = anyio.Event()
            self._peers.clear()

    async def _close_idle_connections(self) -> None:
        while True:
            await anyio.sleep(IDLE_CLOSE_S / 4)
            unused_since = anyio.current_time() - IDLE_CLOSE_S
            for address, peer in list(self._peers.items()):
                if peer.is_unused_since(unused_since):
                    del self._peers[address]
                    await peer.close()

    async def _connection(self, address: Address, timeout_s: float) -> ClientConnection:
        connection = self._open_connection(address)
        if connection is not None:
            # The common case; needs no cancel scope and does not yield to the event loop.
            return connection
        return await self._new_connection(address, timeout_s)

    def _open_connection(self, address: Address) -> ClientConnection | None:
        peer = self._peers.get(address)
        return peer.open_connection() if peer is not None else None

    async def _new_connection(self, address: Address, timeout_s: float) -> ClientConnection:
        with anyio.move_on_after(timeout_s):
            await self._started.wait()
            assert self._tasks is not None
            peer = self._peers.get(address)
            if peer is None:
                peer = Peer(address, self._environment, self._tasks)
                self._peers[address] = peer
            return await peer.connection()
        raise PasslaneError(
            ErrorCode.UNAVAILABLE,
            f"no connection to {address} within {timeout_s:g} s",
            verdict=Verdict.NOT_RUN,
        )

    async def call(
        self, address: Address, request: Message, reply: type[ReplyType], *, timeout_s: float
    ) -> ReplyType:
        """Send a request and return its reply; see ``Caller.call``."""
        deadline = anyio.current_time() + timeout_s
        connection = await self._connection(address, timeout_s)
        response = await connection.call(request, deadline - anyio.current_time())
        if not isinstance(response, reply):
            raise PasslaneError(
                ErrorCode.PROTOCOL_ERROR,
                f"unexpected reply {type(response).__name__} to {type(request).__name__}",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return response

    def stream(
        self, address: Address, request: Message, *, timeout_s: float
    ) -> AbstractAsyncContextManager[AsyncIterator[Message]]:
        """Send a request and iterate over its replies; see ``Caller.stream``."""
        return self._stream(address, request, timeout_s)

    @asynccontextmanager
    async def _stream(
        self, address: Address, request: Message, timeout_s: float
    ) -> AsyncIterator[AsyncIterator[Message]]:
        deadline = anyio.current_time() + timeout_s
        connection = await self._connection(address, timeout_s)
        async with connection.stream(request, deadline - anyio.current_time()) as replies:
            yield replies

    def send_if_connected(self, address: Address, message: Message) -> bool:
        """Send a one-way message over an open connection.

        See ``ImmediateSender.send_if_connected``.
        """
        connection = self._open_connection(address)
        if connection is None:
            return False
        connection.send_one_way(message)
        return True

    async def send(self, address: Address, message: Message) -> None:
        """Send a one-way message, or drop it; see ``Caller.send``."""
        try:
            connection = await self._connection(address, ONE_WAY_CONNECT_S)
        except PasslaneError:
            # One-way messages may be lost; their senders repeat them or tolerate the loss.
            return
        connection.send_one_way(message)
