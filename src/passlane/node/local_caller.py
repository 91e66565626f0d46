"""Handles a node's requests to its own address in process, without a connection."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, aclosing, asynccontextmanager

import anyio

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import Message
from passlane.messages.common import Address
from passlane.transport.interfaces import (
    Caller,
    LargeHandler,
    OneWayHandler,
    ReplyType,
    RequestType,
    Router,
    StreamHandler,
    UnaryHandler,
)
from passlane.transport.large_replies import built_at_once


class LocalCaller:
    """A ``Caller`` that dispatches requests to its own address to local handlers.

    It is also a ``Router``: handlers added to it are added to ``router`` too, which serves
    other processes.
    """

    def __init__(self, own_address: Address, caller: Caller, router: Router) -> None:
        self._own_address = own_address
        self._caller = caller
        self._router = router
        self._unary: dict[type[Message], UnaryHandler] = {}
        self._stream: dict[type[Message], StreamHandler] = {}
        self._one_way: dict[type[Message], OneWayHandler] = {}

    def add_unary(self, request: type[RequestType], handler: UnaryHandler) -> None:
        """Add a handler that answers ``request``, local or remote, with one message."""
        self._unary[request] = handler
        self._router.add_unary(request, handler)

    def add_large(self, request: type[RequestType], handler: LargeHandler) -> None:
        """Add a handler that answers ``request``, local or remote, with one large message."""
        self._unary[request] = built_at_once(handler)
        self._router.add_large(request, handler)

    def add_stream(self, request: type[RequestType], handler: StreamHandler) -> None:
        """Add a handler that answers ``request``, local or remote, with a stream."""
        self._stream[request] = handler
        self._router.add_stream(request, handler)

    def add_one_way(self, request: type[RequestType], handler: OneWayHandler) -> None:
        """Add a handler for ``request``, local or remote, that sends no answer."""
        self._one_way[request] = handler
        self._router.add_one_way(request, handler)

    async def call(
        self, address: Address, request: Message, reply: type[ReplyType], *, timeout_s: float
    ) -> ReplyType:
        """Send a request and return its reply; see ``Caller.call``."""
        handler = self._unary.get(type(request)) if address == self._own_address else None
        if handler is None:
            return await self._caller.call(address, request, reply, timeout_s=timeout_s)
        with anyio.move_on_after(timeout_s):
            answer = await handler(request)
            if isinstance(answer, reply):
                return answer
            raise PasslaneError(
                ErrorCode.PROTOCOL_ERROR,
                f"unexpected reply {type(answer).__name__}",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        raise PasslaneError(
            ErrorCode.TIMEOUT,
            f"no reply within {timeout_s:g} s",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    def stream(
        self, address: Address, request: Message, *, timeout_s: float
    ) -> AbstractAsyncContextManager[AsyncIterator[Message]]:
        """Send a request and return its replies; see ``Caller.stream``."""
        handler = self._stream.get(type(request)) if address == self._own_address else None
        if handler is None:
            return self._caller.stream(address, request, timeout_s=timeout_s)
        return _stream_locally(handler, request)

    async def send(self, address: Address, message: Message) -> None:
        """Send a one-way message; see ``Caller.send``."""
        handler = self._one_way.get(type(message)) if address == self._own_address else None
        if handler is None:
            await self._caller.send(address, message)
        else:
            await handler(message)


@asynccontextmanager
async def _stream_locally(
    handler: StreamHandler, request: Message
) -> AsyncIterator[AsyncIterator[Message]]:
    """Yield the handler's replies and close the handler if the reader stops early."""
    async with aclosing(handler(request)) as replies:  # type: ignore[type-var]
        yield replies
