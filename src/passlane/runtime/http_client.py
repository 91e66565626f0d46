"""HTTP requests to back ends over single connections of httpcore, owned explicitly.

Each connection carries one request at a time. A connection whose answer was read to
its end waits for the next request to the same address; any other is closed, so a late
answer can never be taken for that of another request.
"""

import re
import select
import ssl
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
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

from passlane.messages.common import Address
from passlane.observability.logging import get_logger
from passlane.runtime import http_connection as httpcore
from passlane.runtime.interfaces import HttpConnectionError, HttpRequest, Network

CONNECT_TIMEOUT_S = 0.3
"""A machine that is dark says nothing; nothing was sent, so another one may be tried."""
IDLE_EXPIRY_S = 4.0
"""Shorter than the usual five seconds after which servers close idle connections."""
KEEP_ALIVE_MARGIN_S = 0.4
"""A connection is not used in the last moments before its server closes it."""
MAX_IDLE_PER_ADDRESS = 64
SWEEP_PERIOD_S = 5.0
"""Connections that rest unused are looked through so often."""
EXPECTED_FAILURES = (httpcore.NetworkError, httpcore.ProtocolError, OSError)
"""Failures that connections are known to have; others are logged."""
UNWRITABLE_REQUEST = (httpcore.LocalProtocolError, ValueError)
"""Failures of the request itself: HTTP has no form for it."""
SEND_PIECE_BYTES = 65_536
"""A request leaves in pieces of this size: what a server doesn't read is held once, not as a
copy in the connection too."""
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


_log = get_logger(__name__)


class _ByteStreamAdapter(httpcore.AsyncNetworkStream):
    """Lets httpcore read and write an anyio byte stream.

    httpcore writes a request's head and body apart; they leave together, when the answer
    is waited for.

    Attributes
    ----------
    has_sent
        Whether bytes of the request under way may have left this process.
    """

    def __init__(self, stream: ByteStream) -> None:
        self.has_sent = False
        self._stream = stream
        self._unsent: list[bytes] = []

    def begin_request(self) -> None:
        """Forget what was written for earlier requests."""
        self.has_sent = False
        self._unsent.clear()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            with _time_limit(timeout):
                await self._send_unsent()
                return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            # So httpcore's network stream tells an end.
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if buffer:
            self._unsent.append(buffer)

    async def _send_unsent(self) -> None:
        """Send what was written; a server that refuses early may have answered all the same."""
        if not self._unsent:
            return
        unsent, self._unsent = self._unsent, []
        self.has_sent = True
        with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            for piece in _pieces(unsent):
                await self._stream.send(piece)

    async def aclose(self) -> None:
        await anyio.aclose_forcefully(self._stream)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        raise NotImplementedError("back ends are reached without TLS")

    def get_extra_info(self, info: str) -> Any:
        if info != "is_readable":
            return None
        raw_socket = self._stream.extra(SocketAttribute.raw_socket, None)
        return raw_socket is not None and _is_readable(raw_socket.fileno())


def _pieces(buffers: Sequence[bytes]) -> Iterator[bytes]:
    """Return all bytes in pieces of a bounded size; small buffers together in one piece."""
    if sum(map(len, buffers)) <= SEND_PIECE_BYTES:
        yield b"".join(buffers)
        return
    for buffer in buffers:
        for start in range(0, len(buffer), SEND_PIECE_BYTES):
            yield buffer[start : start + SEND_PIECE_BYTES]


def _time_limit(timeout: float | None) -> AbstractContextManager[object]:
    """Return a limit of time; without one, what costs nothing."""
    return nullcontext() if timeout is None else anyio.fail_after(timeout)


def _is_readable(file_descriptor: int) -> bool:
    """Return whether something, such as the end of the stream, waits to be read."""
    poll = select.poll()
    poll.register(file_descriptor, select.POLLIN)
    return bool(poll.poll(0))


class _Response:
    """An answer whose head has arrived; implements ``runtime.interfaces.HttpResponse``."""

    def __init__(self, response: httpcore.Response, address: Address) -> None:
        self.status = response.status
        self.headers: Mapping[str, str] = _joined_headers(response)
        self._response = response
        self._address = address
        self._body = self._read_body()

    def chunks(self) -> AsyncGenerator[bytes, None]:
        """Return the body's parts as they arrive."""
        return self._body

    async def _read_body(self) -> AsyncGenerator[bytes, None]:
        # httpcore declares an iterator; it is a generator, to be closed when left early.
        parts = cast(AsyncGenerator[bytes, None], self._response.aiter_stream())
        try:
            async with aclosing(parts):
                async for part in parts:
                    yield part
        except Exception as error:
            _log_unexpected(error, self._address)
            raise HttpConnectionError(
                f"the answer broke off: {error!r}", bytes_left=True
            ) from error

    async def aclose(self) -> None:
        """End the answer, read to its end or not; a failure here says nothing about it."""
        try:
            await self._body.aclose()
            await self._response.aclose()
        except Exception as error:
            _log_unexpected(error, self._address)


class _Connection:
    """One connection, and what was last sent on it.

    Attributes
    ----------
    answer_key
        That of the last request; see ``HttpRequest``.
    server
        Names the process that it was opened to; empty if unknown.
    """

    def __init__(self, address: Address, server: str, stream: ByteStream) -> None:
        self.answer_key = ""
        self.server = server
        self._address = address
        self._stream = _ByteStreamAdapter(stream)
        self.http = httpcore.AsyncHTTP11Connection(
            origin=httpcore.Origin(b"http", address.host.encode(), address.port),
            stream=self._stream,
        )

    async def send(self, request: HttpRequest) -> httpcore.Response:
        """Send a request and return the head of its answer.

        Raises
        ------
        HttpConnectionError
            For any failure, whatever the library calls it: what may be promised follows
            from the bytes alone that were given to the network. A request that cannot be
            written counts as sent, since no other connection would take it either.
        """
        self.answer_key = request.answer_key
        self._stream.begin_request()
        try:
            return await self.http.handle_async_request(_to_httpcore(request))
        except Exception as error:
            _log_unexpected(error, self._address)
            is_unwritable = isinstance(error, UNWRITABLE_REQUEST)
            raise HttpConnectionError(
                f"no answer from {self._address}: {error!r}",
                bytes_left=self._stream.has_sent or is_unwritable,
            ) from error

    async def close(self) -> None:
        """Close the connection, whatever state it is in."""
        with anyio.CancelScope(shield=True):
            try:
                await self.http.aclose()
            except Exception as error:
                _log_unexpected(error, self._address)

    def is_clean(self) -> bool:
        """Whether the next answer can only be that of the next request."""
        return self.http.is_idle() and not _has_unasked_bytes(self.http)


class _IdleConnection(msgspec.Struct, frozen=True):
    """A connection whose last answer was read to its end, at time ``since``."""

    connection: _Connection
    since: float
    expiry_s: float

    def is_young(self) -> bool:
        """Whether it has rested for less long than its server waits."""
        return anyio.current_time() - self.since < self.expiry_s

    def is_usable(self) -> bool:
        """Whether the server has most likely not closed it."""
        http = self.connection.http
        return self.is_young() and http.is_idle() and not http.has_expired()


class SingleConnectionHttpClient:
    """Sends each request on a connection of its own; implements ``HttpClient``."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self._idle: dict[Address, list[_IdleConnection]] = {}
        self._next_sweep_at = 0.0

    @asynccontextmanager
    async def exchange(self, request: HttpRequest) -> AsyncIterator[_Response]:
        """Send a request and give its answer; leaving early closes the connection."""
        connection = await self._take_idle(request)
        if connection is None:
            connection = await self._open(request)
        expiry_s = IDLE_EXPIRY_S
        try:
            response = _Response(await connection.send(request), request.address)
            expiry_s = _idle_expiry_s(response.headers)
            try:
                yield response
            finally:
                with anyio.CancelScope(shield=True):
                    await response.aclose()
        finally:
            await self._give_back(request.address, connection, expiry_s)

    def has_idle_connection(self, address: Address) -> bool:
        """Whether a request to this address needs no new connection."""
        idle = self._idle.get(address)
        return idle is not None and len(idle) > 0 and idle[-1].is_young()

    async def _take_idle(self, request: HttpRequest) -> _Connection | None:
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
        address = request.address
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._network.connect(address)
        except Exception as error:
            _log_unexpected(error, address)
            raise HttpConnectionError(
                f"cannot connect to {address}: {error}", bytes_left=False
            ) from error
        return _Connection(address, request.server, stream)

    async def _sweep(self) -> None:
        """Now and then close what will not be used again, such as for servers that are gone."""
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

    async def _give_back(
        self,
        address: Address,
        connection: _Connection,
        expiry_s: float,
    ) -> None:
        await self._sweep()
        idle = self._idle.setdefault(address, [])
        if connection.is_clean() and expiry_s > 0 and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(_IdleConnection(connection, anyio.current_time(), expiry_s))
            return
        await connection.close()


def _log_unexpected(error: Exception, address: Address) -> None:
    """Log a failure that connections are not known to have; it is treated like the others."""
    if not isinstance(error, EXPECTED_FAILURES):
        _log.warning("unexpected_connection_failure", address=str(address), error=repr(error))


def _has_unasked_bytes(connection: httpcore.AsyncHTTP11Connection) -> bool:
    """Return whether more has arrived than the answer that was asked for.

    It would be taken for the next request's answer. httpcore has no public way to ask.
    """
    trailing, _ = connection._h11_state.trailing_data
    return bool(trailing)


def _joined_headers(response: httpcore.Response) -> dict[str, str]:
    """Return the headers by lower-case name; values of one name are joined by commas."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in response.headers:
        name = raw_name.decode("latin-1").lower()
        value = raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers


def _idle_expiry_s(headers: Mapping[str, str]) -> float:
    """Return how long a connection may rest, by what the server has told."""
    match = _KEEP_ALIVE_TIMEOUT.search(headers.get("keep-alive", ""))
    if match is None:
        return IDLE_EXPIRY_S
    return max(0.0, int(match[1]) - KEEP_ALIVE_MARGIN_S)


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
