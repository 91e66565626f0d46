"""Limits on header size and time for uvicorn's HTTP connections, which have none."""

import asyncio
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from passlane.runtime.counting_transport import CountingTransport
from passlane.runtime.interfaces import ENDING_STATE, ConnectionEnding, HttpLimits

REQUEST_TIMEOUT = b"408 Request Timeout"
HEADERS_TOO_LARGE = b"431 Request Header Fields Too Large"


class LimitedHttpProtocol(HttpToolsProtocol):
    """uvicorn's HTTP protocol with limits on headers and time.

    Implements ``runtime.interfaces.WatchedConnection`` if its limits have a watch.

    Parameters
    ----------
    limits
        Read again for each request, so that changes take effect.
    """

    def __init__(self, *args: Any, limits: HttpLimits, **options: Any) -> None:
        super().__init__(*args, **options)
        self._limits = limits
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None
        self._is_refused = False
        self._counter: CountingTransport | None = None
        self._ending = ConnectionEnding()

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the idle timeout and, if there is a watch, register the connection."""
        watch = self._limits.watch
        if watch is None:
            super().connection_made(transport)
        else:
            self._counter = CountingTransport(transport)
            super().connection_made(self._counter)
            self.hold_writers(is_held=False)
            watch.opened(self)
        self.timeout_keep_alive = self._limits.idle_timeout_s  # type: ignore[assignment]
        self.timeout_keep_alive_task = self.loop.call_later(
            self._limits.idle_timeout_s, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the header timer and unregister the connection."""
        self._stop_header_timer()
        if self._counter is not None and self._limits.watch is not None:
            self._limits.watch.closed(self)
        super().connection_lost(exc)

    @property
    def peer(self) -> str:
        """Address of the client; empty if unknown."""
        return f"{self.client[0]}:{self.client[1]}" if self.client is not None else ""

    @property
    def written_bytes(self) -> int:
        """Number of bytes written so far."""
        return self._counter.written_bytes if self._counter is not None else 0

    @property
    def unread_bytes(self) -> int:
        """Number of written bytes that the socket has not accepted yet."""
        return self._counter.get_write_buffer_size() if self._counter is not None else 0

    def hold_writers(self, *, is_held: bool) -> None:
        """Pause writers while any bytes are unread, or else only at the write buffer limit."""
        if self._counter is not None:
            high = 0 if is_held else self._limits.write_buffer_bytes
            self._counter.set_write_buffer_limits(high)

    def end(self, reason: str) -> None:
        """Close the connection immediately and record the reason for the application."""
        self._ending.reason = reason
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Process received bytes unless the connection was refused."""
        if not self._is_refused:
            super().data_received(data)

    def on_message_begin(self) -> None:
        """Begin a request and start its header timer."""
        super().on_message_begin()
        self.scope["state"][ENDING_STATE] = self._ending
        self._header_bytes = 0
        self.timeout_keep_alive = self._limits.idle_timeout_s  # type: ignore[assignment]
        self._stop_header_timer()
        self._header_timer = self.loop.call_later(
            self._limits.header_timeout_s, self._refuse, REQUEST_TIMEOUT
        )

    def on_url(self, url: bytes) -> None:
        """Count the request target towards the header limit."""
        self._header_bytes += len(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header; refuse the request above the header limit."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self._limits.max_header_bytes:
            self._refuse(HEADERS_TOO_LARGE)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass the request to the application unless it was refused."""
        self._stop_header_timer()
        if not self._is_refused:
            super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Process a part of the body unless the request was refused."""
        if not self._is_refused:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Complete the request unless it was refused."""
        if not self._is_refused:
            super().on_message_complete()

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _refuse(self, status: bytes) -> None:
        """Close the connection; first send an error status if no response is in progress."""
        if self._is_refused or self.transport.is_closing():
            return
        self._is_refused = True
        self._stop_header_timer()
        if self.cycle is None or self.cycle.response_complete:
            head = b"HTTP/1.1 %s\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            self.transport.write(head % status)
        self.transport.close()
