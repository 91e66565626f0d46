"""Interfaces to network, HTTP, disk and randomness.

Daemons use these only through an ``Environment``, so that the simulation can replace
network, disk and random numbers. Time comes from ``anyio.current_time`` and
``anyio.sleep``, which follow the virtual clock under trio's ``MockClock``.
"""

import random
from collections.abc import AsyncGenerator, Awaitable, Callable, Iterable, Mapping
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol

import msgspec
from anyio.abc import ByteStream

from passlane.decisions.admission.answer_room import HeldPart
from passlane.decisions.admission.client_budget import ClientGroup
from passlane.messages.common import Address

AsgiApplication = Callable[[Any, Any, Any], Awaitable[None]]
"""An ASGI 3 application: ``await application(scope, receive, send)``."""

ConnectionHandler = Callable[[ByteStream], Awaitable[None]]
"""Serves one accepted connection until it ends."""


class Network(Protocol):
    """Byte streams over TCP, or a simulation of them."""

    async def connect(self, address: Address) -> ByteStream:
        """Open a connection; raise ``OSError`` on failure."""
        ...

    async def serve(self, address: Address, handler: ConnectionHandler) -> None:
        """Accept connections at ``address`` and run ``handler`` for each until cancelled.

        Raises
        ------
        OSError
            When listening on the address fails.
        """
        ...


MAX_ANSWER_BYTES = 17_000_000
"""Most bytes of an answer on the wire, unless its request says otherwise; above the largest answers
of back ends, whose readers have bounds of their own."""


class HttpRequest(msgspec.Struct, frozen=True):
    """A request to a backend.

    Attributes
    ----------
    path
        Request target; starts with ``/``.
    body
        Complete body.
    fresh_connection
        Whether to open a new connection. On a reused connection, a failure may only mean
        that the server closed it while the request was in transit.
    host
        Value of the ``Host`` header if it differs from the address.
    answer_key
        Identifies matching responses. A connection whose last request had the same key is
        not reused, since a surplus response on it could be mistaken for the new one.
    server
        Identifies the process that must answer. Connections that were opened to another
        process at the same address are not reused.
    max_answer_bytes
        Most bytes of the answer on the wire, its framing included. One with more is treated as
        broken off.
    held
        Counts what is held of a head, or of a part of the body, that is not complete; ``None`` for
        no count beyond the bounds of one answer.
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
    max_answer_bytes: int = MAX_ANSWER_BYTES
    held: HeldPart | None = None


class HttpResponse(Protocol):
    """A response whose headers were received; header names are in lower case."""

    status: int
    headers: Mapping[str, str]

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Return the parts of the body as they arrive; raise ``OSError`` if it ends early.

        A reader that stops before the end must close the generator (``contextlib.aclosing``).
        """
        ...


class HttpConnectionError(OSError):
    """A request could not be sent or its response ended early.

    Attributes
    ----------
    bytes_left
        ``False`` only if it is certain that no byte of the request left this process.
    is_refused
        Whether a host answered that nothing listens at the address.
    """

    def __init__(self, message: str, *, bytes_left: bool, is_refused: bool = False) -> None:
        super().__init__(message)
        self.bytes_left = bytes_left
        self.is_refused = is_refused


class HttpClient(Protocol):
    """Sends requests, one at a time on each of its connections."""

    def exchange(self, request: HttpRequest) -> AbstractAsyncContextManager[HttpResponse]:
        """Send a request and yield its response; leaving early closes the connection.

        Raises
        ------
        HttpConnectionError
            On entry, or while the body is read.
        """
        ...

    def has_idle_connection(self, address: Address) -> bool:
        """Return whether an idle connection to this address exists."""
        ...

    async def try_connect(self, address: Address) -> None:
        """Open a connection, and close it without a request.

        Raises
        ------
        HttpConnectionError
            When it can't be opened.
        """
        ...


DEFAULT_HEADER_BYTES = 65_536
DEFAULT_HEADER_TIMEOUT_S = 10.0
DEFAULT_IDLE_TIMEOUT_S = 75.0
DEFAULT_FINISH_S = 4.0
DEFAULT_WRITE_BUFFER_BYTES = 65_536
DEFAULT_BODY_BYTES = 17_000_000
"""Above the largest body that any application reads."""


class WatchedConnection(Protocol):
    """A server connection on which responses are written."""

    @property
    def peer(self) -> str:
        """Address of the client; empty if unknown."""
        ...

    @property
    def written_bytes(self) -> int:
        """Number of bytes written so far."""
        ...

    @property
    def unread_bytes(self) -> int:
        """Number of written bytes that the socket has not accepted yet."""
        ...

    def hold_writers(self, *, is_held: bool) -> None:
        """Pause writers while any bytes are unread, or else only at the write buffer limit."""
        ...

    def end(self, reason: str) -> None:
        """Close the connection immediately and record the reason for the application."""
        ...


class ConnectionWatch(Protocol):
    """Tracks the connections of a server."""

    def opened(self, connection: WatchedConnection) -> None:
        """Start tracking a connection."""
        ...

    def closed(self, connection: WatchedConnection) -> None:
        """Stop tracking a connection."""
        ...


ENDING_STATE = "passlane.connection_ending"
"""Key of a connection's ``ConnectionEnding`` in the state of its ASGI scopes."""


class ConnectionEnding(msgspec.Struct):
    """Reason for which this side ended a connection; empty if it did not."""

    reason: str = ""


class HttpLimits(msgspec.Struct):
    """Limits of one server; may be changed while it runs.

    Attributes
    ----------
    max_body_bytes
        Bodies that are declared above it are not read; the application refuses them.
    header_timeout_s
        Time from the first byte of a request to the end of its headers.
    idle_timeout_s
        Maximum idle time of a connection between two requests.
    finish_s
        Time that a cancelled server gives requests in flight to finish.
    write_buffer_bytes
        Unread bytes of one connection above which its writers pause.
    watch
        Tracks each connection; ``None`` disables it.
    clients
        Who connects; bounds their connections and the memory of their requests.
    """

    max_header_bytes: int = DEFAULT_HEADER_BYTES
    max_body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S
    finish_s: float = DEFAULT_FINISH_S
    write_buffer_bytes: int = DEFAULT_WRITE_BUFFER_BYTES
    watch: ConnectionWatch | None = None
    clients: ClientGroup = ClientGroup.OPERATORS


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
    """An append-only file. Written data is durable once ``sync`` returned."""

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
    """A file opened for random reads; it is closed when it is garbage collected.

    It continues to read the same bytes after its name was replaced or removed.
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
        """Return the sorted names of the files in ``folder``; empty if it is missing."""
        ...

    def read(self, name: str) -> bytes:
        """Return the whole file; raise ``FileNotFoundError`` if it is missing."""
        ...

    def open_read(self, name: str) -> ReadableFile:
        """Open a file for reading; raise ``FileNotFoundError`` if it is missing."""
        ...

    def open_append(self, name: str) -> AppendFile:
        """Open a file for appending; create it and its folders if they are missing."""
        ...

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the file with ``data``, atomically and durably."""
        ...

    async def replace_with_parts(self, name: str, parts: Iterable[bytes]) -> None:
        """Replace the file with the concatenated ``parts``, atomically and durably.

        Other tasks run between two parts, so that a large file does not block the loop.
        """
        ...

    async def truncate(self, name: str, length: int) -> None:
        """Truncate the file to ``length`` bytes, durably."""
        ...

    async def remove(self, name: str) -> None:
        """Remove the file, durably; do nothing if it is missing."""
        ...


class Environment(msgspec.Struct, frozen=True):
    """All external resources of a daemon.

    ``random`` is used for jitter, two-choice routing and identifiers; seeded in simulation.
    """

    network: Network
    http_client: HttpClient
    http_server: HttpServer
    disk: Disk
    random: random.Random
