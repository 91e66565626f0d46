"""Maps message classes to the handlers that answer them.

A server consults the router for each message it receives.
"""

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import Message
from passlane.transport.interfaces import (
    LargeHandler,
    OneWayHandler,
    RequestType,
    StreamHandler,
    UnaryHandler,
)
from passlane.transport.large_replies import built_at_once

NOT_SERVED_RETRY_AFTER_S = 0.2


class MessageRouter:
    """Maps message classes to handlers; implements ``transport.interfaces.Router``.

    Registering a class again replaces its handler, so that a restarted service replaces
    the handlers of its previous run.
    """

    def __init__(self) -> None:
        self._unary: dict[type[Message], UnaryHandler] = {}
        self._large: dict[type[Message], LargeHandler] = {}
        self._stream: dict[type[Message], StreamHandler] = {}
        self._one_way: dict[type[Message], OneWayHandler] = {}

    def add_unary(self, request: type[RequestType], handler: UnaryHandler) -> None:
        """Answer each ``request`` with the one message that ``handler`` returns."""
        self._unary[request] = handler

    def add_large(self, request: type[RequestType], handler: LargeHandler) -> None:
        """Answer each ``request`` with the one message that ``handler`` returns, or lets build."""
        self._large[request] = handler

    def add_stream(self, request: type[RequestType], handler: StreamHandler) -> None:
        """Answer each ``request`` with the messages that ``handler`` yields."""
        self._stream[request] = handler

    def add_one_way(self, request: type[RequestType], handler: OneWayHandler) -> None:
        """Handle each ``request`` without a reply."""
        self._one_way[request] = handler

    def unary_handler(self, message: Message) -> UnaryHandler | None:
        """Return the handler for a request with one reply, if there is one."""
        large = self._large.get(type(message))
        return built_at_once(large) if large is not None else self._unary.get(type(message))

    def large_handler(self, message: Message) -> LargeHandler | None:
        """Return the handler for a request whose one reply may be large, if there is one."""
        return self._large.get(type(message))

    def stream_handler(self, message: Message) -> StreamHandler | None:
        """Return the handler for a request with a stream of replies, if there is one."""
        return self._stream.get(type(message))

    def one_way_handler(self, message: Message) -> OneWayHandler | None:
        """Return the handler for a one-way message, if there is one."""
        return self._one_way.get(type(message))

    @staticmethod
    def not_served_error(message: Message) -> PasslaneError:
        """Return the error for a request without a registered handler."""
        return PasslaneError(
            ErrorCode.UNAVAILABLE,
            f"{type(message).__name__} is not served here",
            verdict=Verdict.NOT_RUN,
            retry_after_s=NOT_SERVED_RETRY_AFTER_S,
        )
