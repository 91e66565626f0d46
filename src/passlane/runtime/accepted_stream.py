"""Accepted TCP connections as byte streams that keep reading between receive calls.

Anyio's own streams unregister the socket from the event loop after each receive and register
it again for the next one, which costs processor time on every call. Daemons run on asyncio,
so these streams use its transports directly.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any, cast

import anyio
import anyio.lowlevel
from anyio.abc import ByteStream, SocketAttribute

from passlane.messages.common import Address
from passlane.runtime.interfaces import ConnectionHandler

MAX_UNREAD_BYTES = 262_144
"""Reading pauses at this many unread bytes, which applies backpressure to the sender."""
BACKLOG = 65_536
"""Maximum number of connections waiting to be accepted; the kernel caps it at its own limit."""


class AcceptedStream(asyncio.Protocol, ByteStream):
    """One accepted connection.

    Parameters
    ----------
    on_accepted
        Called when the connection is established.
    """

    def __init__(self, on_accepted: Callable[["AcceptedStream"], None]) -> None:
        self._on_accepted = on_accepted
        self._unread: deque[bytes] = deque()
        self._unread_bytes = 0
        self._is_reading_paused = False
        self._has_ended = False
        self._is_closed = False
        self._error: Exception | None = None
        self._readable = anyio.Event()
        self._writable = anyio.Event()
        self._writable.set()

    # Callbacks of ``asyncio.Protocol``.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and report the connection as accepted."""
        self._transport = cast(asyncio.Transport, transport)
        # With a limit of 0, a send returns once the operating system has accepted all bytes.
        self._transport.set_write_buffer_limits(0)
        self._on_accepted(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received data; pause reading when the buffer is full."""
        self._unread.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes >= MAX_UNREAD_BYTES and not self._is_reading_paused:
            self._is_reading_paused = True
            self._transport.pause_reading()
        self._readable.set()

    def eof_received(self) -> bool:
        """Record the end of the incoming direction; sending remains possible."""
        self._has_ended = True
        self._readable.set()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection and wake all waiting tasks."""
        self._has_ended = True
        self._error = exc
        self._readable.set()
        self._writable.set()

    def pause_writing(self) -> None:
        """Block senders until the operating system has accepted the buffered bytes."""
        self._writable = anyio.Event()

    def resume_writing(self) -> None:
        """Unblock senders."""
        self._writable.set()

    # Methods of ``ByteStream``.

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return buffered data; wait if there is none."""
        while not self._unread:
            self._raise_if_unusable()
            if self._has_ended:
                raise anyio.EndOfStream
            self._readable = anyio.Event()
            await self._readable.wait()
        data = self._unread.popleft()
        if len(data) > max_bytes:
            self._unread.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self._unread_bytes -= len(data)
        self._resume_reading()
        return data

    def _resume_reading(self) -> None:
        if self._is_reading_paused and self._unread_bytes < MAX_UNREAD_BYTES:
            self._is_reading_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _raise_if_unusable(self) -> None:
        if self._is_closed:
            raise anyio.ClosedResourceError
        if self._error is not None:
            raise anyio.BrokenResourceError from self._error

    async def send(self, item: bytes) -> None:
        """Send data; return once the operating system has accepted it."""
        await anyio.lowlevel.checkpoint_if_cancelled()
        self._raise_if_unusable()
        if self._transport.is_closing():
            raise anyio.BrokenResourceError
        self._transport.write(item)
        if not self._writable.is_set():
            await self._writable.wait()
            self._raise_if_unusable()

    async def send_eof(self) -> None:
        """Close the outgoing direction."""
        with suppress(OSError):
            self._transport.write_eof()

    async def aclose(self) -> None:
        """Close the connection and drop bytes that the operating system has not accepted."""
        if self._is_closed:
            return
        self._is_closed = True
        self._readable.set()
        self._writable.set()
        self._transport.close()
        try:
            await anyio.lowlevel.checkpoint()
        finally:
            self._transport.abort()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Expose the raw socket as an anyio attribute."""
        return {SocketAttribute.raw_socket: lambda: self._transport.get_extra_info("socket")}


async def serve_tcp(address: Address, handler: ConnectionHandler) -> None:
    """Accept connections and run ``handler`` for each until cancelled.

    Raises
    ------
    OSError
        When listening on the address fails.
    """
    loop = asyncio.get_running_loop()
    tasks = anyio.create_task_group()

    def accept(stream: AcceptedStream) -> None:
        tasks.start_soon(_run_handler, handler, stream)

    server = await loop.create_server(
        lambda: AcceptedStream(accept),
        address.host,
        address.port,
        backlog=BACKLOG,
        start_serving=False,
    )
    async with tasks:
        try:
            await server.serve_forever()
        finally:
            server.close()


async def _run_handler(handler: ConnectionHandler, stream: AcceptedStream) -> None:
    async with stream:
        await handler(stream)
