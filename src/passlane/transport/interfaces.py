"""Interfaces for services that answer messages and for clients that send them.

There are three kinds of exchange: a request with one reply, a request with a stream of
replies, and a one-way message. Errors are sent as ``ErrorReply`` and raised at the
client as ``PasslaneError``.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol, TypeVar, runtime_checkable

from passlane.messages.base import Message
from passlane.messages.common import Address
from passlane.transport.large_replies import LargeReply

RequestType = TypeVar("RequestType", bound=Message)
ReplyType = TypeVar("ReplyType", bound=Message)

UnaryHandler = Callable[[Any], Awaitable[Message]]
LargeHandler = Callable[[Any], Awaitable[Message | LargeReply]]
StreamHandler = Callable[[Any], AsyncIterator[Message]]
OneWayHandler = Callable[[Any], Awaitable[None]]


class Router(Protocol):
    """Registers the handlers of services by message class."""

    def add_unary(self, request: type[RequestType], handler: UnaryHandler) -> None:
        """Answer each ``request`` with the one message that ``handler`` returns."""
        ...

    def add_large(self, request: type[RequestType], handler: LargeHandler) -> None:
        """Answer each ``request`` with the one message that ``handler`` returns, or lets build."""
        ...

    def add_stream(self, request: type[RequestType], handler: StreamHandler) -> None:
        """Answer each ``request`` with the messages that ``handler`` yields."""
        ...

    def add_one_way(self, request: type[RequestType], handler: OneWayHandler) -> None:
        """Handle each ``request`` without a reply."""
        ...


@runtime_checkable
class ImmediateSender(Protocol):
    """Sends over connections that are already open; most callers implement it."""

    def send_if_connected(self, address: Address, message: Message) -> bool:
        """Send a one-way message if a connection is open; return whether one is.

        The message is dropped on a congested connection, as by ``Caller.send``.
        """
        ...


class Caller(Protocol):
    """Sends messages to other processes; keeps one connection for each address."""

    async def call(
        self, address: Address, request: Message, reply: type[ReplyType], *, timeout_s: float
    ) -> ReplyType:
        """Send a request and return its reply.

        Raises
        ------
        PasslaneError
            The error that the server replied with; ``UNAVAILABLE`` with ``not_run`` when
            there is no connection; ``CONNECTION_LOST`` or ``TIMEOUT`` with ``may_have_run``.
        """
        ...

    def stream(
        self, address: Address, request: Message, *, timeout_s: float
    ) -> AbstractAsyncContextManager[AsyncIterator[Message]]:
        """Send a request and iterate over its replies; leaving early cancels it at the server."""
        ...

    async def send(self, address: Address, message: Message) -> None:
        """Send a one-way message, or drop it if there is no connection within a short time."""
        ...
