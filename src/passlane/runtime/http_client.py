"""HTTP client for backends, with its own pool of single httpcore connections.

Each connection carries one request at a time. A connection is reused for the same address
only after its response was read to the end. Any other is closed, so that a delayed response
is never matched to another request.
"""

import re
import select
import socket
import ssl
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Callable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from contextlib import (
    AbstractContextManager,
    aclosing,
    asynccontextmanager,
    nullcontext,
    suppress,
)
from typing import Any, cast

import anyio
import msgspec
from anyio.abc import ByteStream, SocketAttribute

from passlane.decisions.admission.answer_room import HeldPart
from passlane.messages.common import Address
from passlane.observability.logging import get_logger
from passlane.runtime import http_connection as httpcore
from passlane.runtime.interfaces import HttpConnectionError, HttpRequest, Network

CONNECT_TIMEOUT_S = 0.3
"""An unreachable machine does not answer. Nothing was sent, so the caller may try another."""
IDLE_EXPIRY_S = 4.0
"""Below the common server default of five seconds for idle connections."""
KEEP_ALIVE_MARGIN_S = 0.4
"""A connection expires this long before its server's keep-alive timeout."""
MAX_IDLE_PER_ADDRESS = 64
SWEEP_PERIOD_S = 5.0
"""Minimum interval between removals of expired idle connections."""
EXPECTED_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, OSError)
"""Errors that connections normally raise; others are logged."""
INVALID_REQUEST_ERRORS = (httpcore.LocalProtocolError, ValueError)
"""Errors raised for a request that cannot be encoded as HTTP."""
MAX_HEAD_BYTES = 131_072
"""Most bytes before the body of an answer, with all interim answers."""
MAX_INTERIM_ANSWERS = 20
"""Most interim answers before an answer; each costs as much work as an answer's head."""
RECEIVE_BUFFER_BYTES = 32_768
"""Bytes that the kernel holds unread for one connection; then the server waits."""
SEND_CHUNK_BYTES = 65_536
"""Requests are sent in chunks of this size, so that the transport buffers only one chunk
of a large request."""
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


_log = get_logger(__name__)


class _ByteStreamAdapter(httpcore.AsyncNetworkStream):
    """Lets httpcore read and write an anyio byte stream.

    httpcore writes the head and body of a request separately; they are buffered and sent
    together when the response is read.

    Attributes
    ----------
    has_sent
        Whether bytes of the current request may have left this process.
    received_bytes
        Bytes received of the answer to the current request.
    """

    def __init__(self, stream: ByteStream) -> None:
        self.has_sent = False
        self.received_bytes = 0
        self._stream = stream
        self._unsent: list[bytes] = []
        self._max_bytes = MAX_HEAD_BYTES
        self._held: HeldPart | None = None
        self._incomplete_bytes = 0

    def begin_request(self, held: HeldPart | None) -> None:
        """Discard the state of the previous request."""
        self.has_sent = False
        self._unsent.clear()
        self.received_bytes = 0
        self._max_bytes = MAX_HEAD_BYTES
        self._held = held
        self._incomplete_bytes = 0

    def note_progress(self) -> None:
        """Record that a head or a part of the body is complete, and was passed on."""
        self._incomplete_bytes = 0
        if self._held is not None:
            self._held.release()

    def begin_body(self, max_bytes: int) -> None:
        """Bound the bytes of the whole answer, whose head was received."""
        self._max_bytes = max_bytes

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            with _time_limit(timeout):
                await self._send_unsent()
                data = await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            # httpcore expects empty bytes at the end of a stream.
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error
        self.received_bytes += len(data)
        if self.received_bytes > self._max_bytes:
            raise httpcore.ReadError(
                f"{self.received_bytes} bytes received of an answer, expected at most"
                f" {self._max_bytes}"
            )
        self._hold(len(data))
        return data

    def _hold(self, added_bytes: int) -> None:
        """Count received bytes that are not passed on; raise if there is no room for them."""
        self._incomplete_bytes += added_bytes
        if self._held is not None and not self._held.hold(self._incomplete_bytes):
            raise httpcore.ReadError(
                f"no room for {self._incomplete_bytes} bytes of an answer that are not complete"
            )

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if buffer:
            self._unsent.append(buffer)

    async def _send_unsent(self) -> None:
        """Send buffered bytes; ignore broken connections, since a response may have arrived."""
        if not self._unsent:
            return
        unsent, self._unsent = self._unsent, []
        self.has_sent = True
        with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            for chunk in _split_into_chunks(unsent):
                await self._stream.send(chunk)

    async def aclose(self) -> None:
        await anyio.aclose_forcefully(self._stream)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        raise NotImplementedError("connections to backends do not support TLS")

    def get_extra_info(self, info: str) -> Any:
        if info != "is_readable":
            return None
        raw_socket = self._stream.extra(SocketAttribute.raw_socket, None)
        return raw_socket is not None and _is_readable(raw_socket.fileno())


def _split_into_chunks(buffers: Sequence[bytes]) -> Iterator[bytes]:
    """Yield all bytes in chunks of a bounded size; in one chunk if they fit."""
    if sum(map(len, buffers)) <= SEND_CHUNK_BYTES:
        yield b"".join(buffers)
        return
    for buffer in buffers:
        for start in range(0, len(buffer), SEND_CHUNK_BYTES):
            yield buffer[start : start + SEND_CHUNK_BYTES]


def _time_limit(timeout: float | None) -> AbstractContextManager[object]:
    """Return a context that fails after ``timeout`` seconds; ``None`` sets no limit."""
    return nullcontext() if timeout is None else anyio.fail_after(timeout)


def _is_readable(file_descriptor: int) -> bool:
    """Return whether data or the end of the stream can be read without waiting."""
    poll = select.poll()
    poll.register(file_descriptor, select.POLLIN)
    return bool(poll.poll(0))


class _Response:
    """A response whose headers were received; implements ``runtime.interfaces.HttpResponse``."""

    def __init__(
        self, response: httpcore.Response, address: Address, on_part: Callable[[], None]
    ) -> None:
        self._on_part = on_part
        self.status = response.status
        self.headers: Mapping[str, str] = _joined_headers(response)
        self._response = response
        self._address = address
        self._body = self._read_body()

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Return the parts of the body as they arrive."""
        return self._body

    async def _read_body(self) -> AsyncGenerator[bytes, None]:
        # httpcore declares an iterator, but returns a generator, which must be closed.
        parts = cast(AsyncGenerator[bytes, None], self._response.aiter_stream())
        try:
            async with aclosing(parts):
                async for part in parts:
                    self._on_part()
                    yield part
        except Exception as error:
            _log_unexpected(error, self._address)
            raise HttpConnectionError(
                f"the answer broke off: {error!r}", bytes_left=True
            ) from error

    async def aclose(self) -> None:
        """Close the response; errors while closing do not affect its result."""
        try:
            await self._body.aclose()
            await self._response.aclose()
        except Exception as error:
            _log_unexpected(error, self._address)


class _BoundedConnection(httpcore.AsyncHTTP11Connection):
    """A connection whose answers have few interim answers before them."""

    _interim_answers = 0

    async def _receive_event(self, timeout: float | None = None) -> Any:
        event = await super()._receive_event(timeout)
        if not isinstance(event, httpcore.InformationalResponse):
            self._interim_answers = 0
            return event
        self._interim_answers += 1
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            raise httpcore.RemoteProtocolError(
                f"{self._interim_answers} interim answers, expected at most {MAX_INTERIM_ANSWERS}"
            )
        return event


class _Connection:
    """One connection and the answer key of its last request.

    Attributes
    ----------
    answer_key
        Answer key of the last request; see ``HttpRequest``.
    server
        Identifies the process that the connection was opened to; empty if unknown.
    """

    def __init__(self, address: Address, server: str, stream: ByteStream) -> None:
        self.answer_key = ""
        self.server = server
        self._address = address
        self._stream = _ByteStreamAdapter(stream)
        self.http = _BoundedConnection(
            origin=httpcore.Origin(b"http", address.host.encode(), address.port),
            stream=self._stream,
        )

    async def send(self, request: HttpRequest) -> httpcore.Response:
        """Send a request and return its response once the headers were received.

        Raises
        ------
        HttpConnectionError
            For any failure. ``bytes_left`` depends only on whether bytes were passed to the
            network, not on the type of the error. An invalid request counts as sent, because
            a retry on another connection would fail too.
        """
        self.answer_key = request.answer_key
        self._stream.begin_request(request.held)
        try:
            response = await self.http.handle_async_request(_to_httpcore(request))
            self._stream.begin_body(request.max_answer_bytes)
            self._stream.note_progress()
            return response
        except Exception as error:
            _log_unexpected(error, self._address)
            is_invalid_request = isinstance(error, INVALID_REQUEST_ERRORS)
            raise HttpConnectionError(
                f"no answer from {self._address}: {error!r},"
                f" {self._stream.received_bytes} bytes received",
                bytes_left=self._stream.has_sent or is_invalid_request,
            ) from error

    def note_progress(self) -> None:
        """Record that a part of the answer was passed on, or that the answer is given up."""
        self._stream.note_progress()

    async def close(self) -> None:
        """Close the connection in any state."""
        with anyio.CancelScope(shield=True):
            try:
                await self.http.aclose()
            except Exception as error:
                _log_unexpected(error, self._address)

    def is_reusable(self) -> bool:
        """Return whether the next response can only belong to the next request."""
        return self.http.is_idle() and not _has_trailing_data(self.http)


class _IdleConnection(msgspec.Struct, frozen=True):
    """An idle connection whose last response was read to the end at time ``since``."""

    connection: _Connection
    since: float
    expiry_s: float

    def is_unexpired(self) -> bool:
        """Return whether it was idle for less than its expiry time."""
        return anyio.current_time() - self.since < self.expiry_s

    def is_usable(self) -> bool:
        """Return whether the server has most likely not closed it."""
        http = self.connection.http
        return self.is_unexpired() and http.is_idle() and not http.has_expired()


class SingleConnectionHttpClient:
    """Sends one request at a time on each connection; implements ``HttpClient``."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self._idle: dict[Address, list[_IdleConnection]] = {}
        self._next_sweep_at = 0.0

    @asynccontextmanager
    async def exchange(self, request: HttpRequest) -> AsyncIterator[_Response]:
        """Send a request and yield its response; leaving early closes the connection."""
        connection = await self._acquire_idle(request)
        if connection is None:
            connection = await self._open(request)
        expiry_s = IDLE_EXPIRY_S
        try:
            response = _Response(
                await connection.send(request), request.address, connection.note_progress
            )
            expiry_s = _idle_expiry_s(response.headers)
            try:
                yield response
            finally:
                with anyio.CancelScope(shield=True):
                    await response.aclose()
        finally:
            connection.note_progress()
            await self._release(request.address, connection, expiry_s)

    def has_idle_connection(self, address: Address) -> bool:
        """Return whether an idle connection to this address exists."""
        idle = self._idle.get(address)
        return idle is not None and len(idle) > 0 and idle[-1].is_unexpired()

    async def try_connect(self, address: Address) -> None:
        """Open a connection, and close it without a request."""
        stream = await self._connect(address)
        await anyio.aclose_forcefully(stream)

    async def _acquire_idle(self, request: HttpRequest) -> _Connection | None:
        if request.fresh_connection:
            return None
        idle = self._idle.get(request.address, [])
        unusable: list[_IdleConnection] = []
        chosen: _Connection | None = None
        for candidate in reversed(tuple(idle)):
            if not candidate.is_usable() or candidate.connection.server != request.server:
                idle.remove(candidate)
                unusable.append(candidate)
            elif not request.answer_key or candidate.connection.answer_key != request.answer_key:
                idle.remove(candidate)
                chosen = candidate.connection
                break
        for idle_connection in unusable:
            await idle_connection.connection.close()
        return chosen

    async def _open(self, request: HttpRequest) -> _Connection:
        stream = await self._connect(request.address)
        _bound_receive_buffer(stream)
        return _Connection(request.address, request.server, stream)

    async def _connect(self, address: Address) -> ByteStream:
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                return await self._network.connect(address)
        except Exception as error:
            _log_unexpected(error, address)
            raise HttpConnectionError(
                f"cannot connect to {address}: {error}",
                bytes_left=False,
                is_refused=_is_refused(error),
            ) from error

    async def _close_expired(self) -> None:
        """Close unusable idle connections, at most once per ``SWEEP_PERIOD_S``."""
        now = anyio.current_time()
        if now < self._next_sweep_at:
            return
        self._next_sweep_at = now + SWEEP_PERIOD_S
        unusable: list[_IdleConnection] = []
        for address, idle in list(self._idle.items()):
            kept = [connection for connection in idle if connection.is_usable()]
            unusable += [connection for connection in idle if connection not in kept]
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
        for idle_connection in unusable:
            await idle_connection.connection.close()

    async def _release(
        self,
        address: Address,
        connection: _Connection,
        expiry_s: float,
    ) -> None:
        await self._close_expired()
        idle = self._idle.setdefault(address, [])
        if connection.is_reusable() and expiry_s > 0 and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(_IdleConnection(connection, anyio.current_time(), expiry_s))
            return
        await connection.close()


def _bound_receive_buffer(stream: ByteStream) -> None:
    """Bound what the kernel holds unread of a connection, if it is a real one."""
    raw_socket = stream.extra(SocketAttribute.raw_socket, None)
    if raw_socket is not None:
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def _is_refused(error: BaseException | None) -> bool:
    """Return whether an error, or what it was raised from, is a refused connection."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__
    return False


def _log_unexpected(error: Exception, address: Address) -> None:
    """Log an error that is not in ``EXPECTED_ERRORS``."""
    if not isinstance(error, EXPECTED_ERRORS):
        _log.warning("unexpected_connection_failure", address=str(address), error=repr(error))


def _has_trailing_data(connection: httpcore.AsyncHTTP11Connection) -> bool:
    """Return whether bytes were received after the end of the response.

    They would be read as the response to the next request. httpcore has no public method
    for this check.
    """
    trailing, _ = connection._h11_state.trailing_data
    return bool(trailing)


def _joined_headers(response: httpcore.Response) -> dict[str, str]:
    """Return the headers by lower-case name; repeated values are joined by commas."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in response.headers:
        name = raw_name.decode("latin-1").lower()
        value = raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers


def _idle_expiry_s(headers: Mapping[str, str]) -> float:
    """Return the maximum idle time in seconds, from the server's ``Keep-Alive`` header."""
    match = _KEEP_ALIVE_TIMEOUT.search(headers.get("keep-alive", ""))
    if match is None:
        return IDLE_EXPIRY_S
    # A float holds any number of digits, as infinity in the end.
    return max(0.0, float(match[1]) - KEEP_ALIVE_MARGIN_S)


def _to_httpcore(request: HttpRequest) -> httpcore.Request:
    headers = [("Host", request.host or str(request.address)), *request.headers.items()]
    if request.body or request.method in ("POST", "PUT"):
        headers.append(("Content-Length", str(len(request.body))))
    return httpcore.Request(
        method=request.method,
        url=httpcore.URL(
            scheme=b"http",
            host=request.address.host.encode(),
            port=request.address.port,
            target=request.path.encode(),
        ),
        headers=_encoded(headers),
        content=request.body,
    )


def _encoded(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
