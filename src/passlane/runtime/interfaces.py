"""Interfaces to the outside world: network, HTTP, disk, randomness.

Every part of the daemons reaches the outside only through an ``Environment``, so
that the simulation can put its own network, disk and random numbers in their
place. Time comes from ``anyio.current_time`` and ``anyio.sleep``, which follow the
virtual clock under trio's ``MockClock``.
"""

import random
from collections.abc import AsyncGenerator, Awaitable, Callable, Iterable, Mapping
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol

import msgspec
from anyio.abc import ByteStream

from passlane.messages.common import Address

AsgiApplication = Callable[[Any, Any, Any], Awaitable[None]]
"""An ASGI 3 application: ``await application(scope, receive, send)``."""

ConnectionHandler = Callable[[ByteStream], Awaitable[None]]
"""Serves one accepted connection until it ends."""


class Network(Protocol):
    """Byte streams over TCP, or their simulated kin."""

    async def connect(self, address: Address) -> ByteStream:
        """Open a connection; raise ``OSError`` when that fails."""
        ...

    async def serve(self, address: Address, handler: ConnectionHandler) -> None:
        """Accept connections at ``address`` and run ``handler`` for each until cancelled.

        Raises
        ------
        OSError
            When the address cannot be listened on.
        """
        ...


class HttpRequest(msgspec.Struct, frozen=True):
    """A request to a back end. ``path`` starts with ``/``; ``body`` is whole.

    ``host`` is the value of the header ``Host`` where that is not the address.
    ``fresh_connection`` asks for a new connection: on a kept one a failure cannot be
    told from a server that closed it while the request was on its way.
    ``answer_key`` is what tells answers apart: a connection whose last request had the same
    one is not used, since an answer too many on it could not be told from the new answer.
    ``server`` names the process that is to answer: a connection that was opened to another one,
    which had the address before, is not used.
    """

    method: str
    address: Address
    path: str
    headers: Mapping[str, str] = msgspec.field(default_factory=dict)
    body: bytes = b""
    fresh_connection: bool = False
    host: str | None = None
    answer_key: str = ""
    server: str = ""


class HttpResponse(Protocol):
    """An answer whose head has arrived; header names are in lower case."""

    status: int
    headers: Mapping[str, str]

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Return the body's parts as they arrive; raise ``OSError`` when it breaks off.

        A reader that stops before the end closes the generator (``contextlib.aclosing``).
        """
        ...


class HttpConnectionError(OSError):
    """A request could not be sent or its answer broke off.

    Attributes
    ----------
    bytes_left
        ``False`` only if it is certain that no byte of the request left this process.
    """

    def __init__(self, message: str, *, bytes_left: bool) -> None:
        super().__init__(message)
        self.bytes_left = bytes_left


class HttpClient(Protocol):
    """Sends requests; owns its connections, one request at a time on each."""

    def exchange(self, request: HttpRequest) -> AbstractAsyncContextManager[HttpResponse]:
        """Send a request and give its answer; leaving early closes the connection.

        Raises
        ------
        HttpConnectionError
            On entry or while the body is read.
        """
        ...

    def has_idle_connection(self, address: Address) -> bool:
        """Whether a request to this address needs no new connection."""
        ...


DEFAULT_HEADER_BYTES = 65_536
DEFAULT_HEADER_TIMEOUT_S = 10.0
DEFAULT_IDLE_TIMEOUT_S = 75.0
DEFAULT_FINISH_S = 4.0
DEFAULT_WRITE_BUFFER_BYTES = 65_536


class WatchedConnection(Protocol):
    """A connection of a server, on which answers are written."""

    @property
    def peer(self) -> str:
        """Address of the reader; empty if unknown."""
        ...

    @property
    def written_bytes(self) -> int:
        """Bytes written to it so far."""
        ...

    @property
    def unread_bytes(self) -> int:
        """Bytes of these that the socket hasn't taken."""
        ...

    def hold_writers(self, *, is_held: bool) -> None:
        """Have writers wait as long as anything is unread, or else until the usual bound."""
        ...

    def end(self, reason: str) -> None:
        """Close the connection at once; the application learns the reason."""
        ...


class ConnectionWatch(Protocol):
    """Learns of a server's connections."""

    def opened(self, connection: WatchedConnection) -> None:
        """Watch a connection."""
        ...

    def closed(self, connection: WatchedConnection) -> None:
        """Watch a connection no longer."""
        ...


ENDING_STATE = "passlane.connection_ending"
"""Where the state of an ASGI scope holds the ``ConnectionEnding`` of a watched connection."""


class ConnectionEnding(msgspec.Struct):
    """Why this side has ended a connection; empty unless it has."""

    reason: str = ""


class HttpLimits(msgspec.Struct):
    """Limits of one server; may be changed while it runs.

    Attributes
    ----------
    header_timeout_s
        Time from the first byte of a request to the end of its headers.
    idle_timeout_s
        How long a connection may rest between two requests.
    finish_s
        How long a server that was cancelled goes on with the requests in flight.
    write_buffer_bytes
        Unread bytes of one connection from which on its writers wait.
    watch
        Learns of each connection; ``None`` for nobody.
    """

    max_header_bytes: int = DEFAULT_HEADER_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S
    finish_s: float = DEFAULT_FINISH_S
    write_buffer_bytes: int = DEFAULT_WRITE_BUFFER_BYTES
    watch: ConnectionWatch | None = None


class HttpServer(Protocol):
    """Serves ASGI applications."""

    async def serve(
        self,
        address: Address,
        application: AsgiApplication,
        limits: HttpLimits | None = None,
    ) -> None:
        """Serve ``application`` at ``address`` until cancelled."""
        ...


class AppendFile(Protocol):
    """A file that is only appended to. Written data lasts once ``sync`` returned."""

    def write(self, data: bytes) -> None:
        """Append ``data``; raise ``OSError`` (``ENOSPC`` when the disk is full)."""
        ...

    async def sync(self) -> None:
        """Return when all data written before the call is durable."""
        ...

    def close(self) -> None:
        """Close the file without syncing."""
        ...


class ReadableFile(Protocol):
    """A file opened for reading in pieces; it is closed when it is dropped.

    It goes on reading the same bytes after its name was replaced or removed.
    """

    @property
    def size(self) -> int:
        """Length in bytes."""
        ...

    def read_at(self, offset: int, length: int) -> bytes:
        """Return up to ``length`` bytes from ``offset`` on; fewer at the end of the file."""
        ...


class Disk(Protocol):
    """Files below one data folder. Names are relative, with ``/`` between parts."""

    def list_files(self, folder: str) -> list[str]:
        """Return the sorted names of the files in ``folder``; empty if there is none."""
        ...

    def read(self, name: str) -> bytes:
        """Return the whole file; raise ``FileNotFoundError`` if there is none."""
        ...

    def open_read(self, name: str) -> ReadableFile:
        """Open a file for reading; raise ``FileNotFoundError`` if there is none."""
        ...

    def open_append(self, name: str) -> AppendFile:
        """Open a file for appending; make it and its folders if there is none."""
        ...

    async def replace(self, name: str, data: bytes) -> None:
        """Put ``data`` in place of the file, whole and durable or not at all."""
        ...

    async def replace_with_parts(self, name: str, parts: Iterable[bytes]) -> None:
        """Put the joined ``parts`` in place of the file, whole and durable or not at all.

        The loop goes on between two parts, so that a large file holds nothing up.
        """
        ...

    async def truncate(self, name: str, length: int) -> None:
        """Cut the file to ``length`` bytes, durably."""
        ...

    async def remove(self, name: str) -> None:
        """Remove the file, durably; do nothing if there is none."""
        ...


class Environment(msgspec.Struct, frozen=True):
    """All that a daemon may touch outside itself.

    ``random`` is for jitter, two-choice routing and identifiers; seeded in simulation.
    """

    network: Network
    http_client: HttpClient
    http_server: HttpServer
    disk: Disk
    random: random.Random
