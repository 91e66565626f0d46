"""Limits on size, memory and time for uvicorn's HTTP connections, which have none."""

import asyncio
import enum
import socket
import sys
from typing import Any

import msgspec
from httptools.parser.errors import HttpParserCallbackError
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from passlane.decisions.admission.client_budget import (
    BODY_COPIES,
    HEADER_FIELD_BYTES,
    REQUEST_BYTES,
    SMALLEST_FIELD_BYTES,
    Phase,
    RefusalReason,
)
from passlane.observability.logging import get_logger
from passlane.runtime.client_limiter import CALLBACKS_AT_ONCE, ClientLimiter
from passlane.runtime.counting_transport import CountingTransport
from passlane.runtime.interfaces import ENDING_STATE, ConnectionEnding, HttpLimits
from passlane.runtime.message_framing import MessageFraming

_log = get_logger(__name__)

SEPARATOR_BYTES = 4_096
"""Bytes of a head for what separates its fields, which the limit on headers does not count."""
HEAD_SLICE_BYTES = 2_048
"""Bytes of a head that are parsed before its memory is counted; most heads are shorter."""
BODY_SLICE_BYTES = 8_192
"""The same for a body in chunks."""
BODY_RECEIVE_BUFFER_BYTES = 16_384
"""Bytes that the kernel may hold unread of a connection, about, once memory for a body was
taken."""
LINGER_S = 0.5
"""Time for which what a refused client still sends is dropped, so that it can read the answer; a
connection with unread bytes would be reset."""
STOP_STALL_S = 0.5
"""Time without a part of a body after which it is refused while the server stops."""
MAX_UNREAD_S = 30.0
"""Longest time for which a client without a watch may read nothing of its answer."""
HEAD_COPIES = 2
"""Copies of a head besides its fields: as received, and as forwarded."""


_SERVICE_UNAVAILABLE = b"503 Service Unavailable"
_REQUEST_TIMEOUT = b"408 Request Timeout"
_STATUS_OF_REASON = {
    RefusalReason.HEAD_TOO_LARGE: b"431 Request Header Fields Too Large",
    RefusalReason.MALFORMED: b"400 Bad Request",
    RefusalReason.HEAD_TOO_LATE: _REQUEST_TIMEOUT,
    RefusalReason.READ_TOO_SLOWLY: _REQUEST_TIMEOUT,
    RefusalReason.BODY_STALLED: _REQUEST_TIMEOUT,
    RefusalReason.BODY_TOO_LATE: _REQUEST_TIMEOUT,
    RefusalReason.TOO_MANY_WAIT: _SERVICE_UNAVAILABLE,
    RefusalReason.NO_ROOM: _SERVICE_UNAVAILABLE,
}
"""Status line by reason; connections that are refused for other reasons are closed."""


class _Wait(enum.Enum):
    """What a connection waits for before more of its bytes are parsed."""

    NOTHING = enum.auto()
    ANSWER = enum.auto()
    """The answer to the request before."""
    ROOM = enum.auto()
    """Memory of the budget."""
    TURN = enum.auto()
    """A later turn of the event loop."""


class _ParsingFlow(FlowControl):
    """Flow control that also stops reading while received bytes wait to be parsed."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self._is_held = False

    def hold(self) -> None:
        """Stop reading until ``release``."""
        self._is_held = True
        self.pause_reading()

    def release(self) -> None:
        """Read again."""
        if self._is_held:
            self._is_held = False
            self.resume_reading()

    def resume_reading(self) -> None:
        """Read again, unless it is held."""
        if not self._is_held:
            super().resume_reading()


class _RequestState(msgspec.Struct):
    """What was received of the request that is read, or was read last.

    Attributes
    ----------
    is_incomplete
        Whether it has begun and not ended.
    has_head
        Whether its head is complete.
    head_bytes
        Bytes of its head on the wire.
    field_bytes
        Bytes of its target and of the names and values of its fields.
    charged_bytes
        Memory that was taken for its head.
    body_bytes
        Declared length of its body; ``None`` for a body in chunks.
    is_body_charged
        Whether memory for all of its body was taken.
    framing_bytes
        Bytes behind the head that were no part of the body, since such a part came.
    is_costly
        Whether its bytes cost so much to parse that it takes turns with others.
    """

    is_incomplete: bool = False
    has_head: bool = False
    head_bytes: int = 0
    field_bytes: int = 0
    charged_bytes: int = 0
    body_bytes: int | None = None
    is_body_charged: bool = False
    framing_bytes: int = 0
    is_costly: bool = False


class LimitedHttpProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """uvicorn's HTTP protocol with limits on size, memory and time.

    Bytes are read into the common buffer of the limiter and parsed one message at a time: those
    of a next request wait until the request before was answered.

    Implements ``client_limiter.LimitedConnection``, and ``interfaces.WatchedConnection`` if its
    limits have a watch.

    Parameters
    ----------
    limits
        Read again for each request, so that changes take effect.
    limiter
        Accounts for the memory of all connections of the process.
    """

    def __init__(
        self, *args: Any, limits: HttpLimits, limiter: ClientLimiter, **options: Any
    ) -> None:
        super().__init__(*args, **options)
        self._limits = limits
        self._limiter = limiter
        self._data = b""
        self._start = 0
        self._wait = _Wait.NOTHING
        self._framing = MessageFraming()
        self._request = _RequestState()
        self._callbacks = 0
        self._reserved = 0
        self._has_large_buffer = False
        self._is_stopping = False
        self._header_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        self._linger_timer: asyncio.TimerHandle | None = None
        self._is_refused = False
        self._counter: CountingTransport | None = None
        self._ending = ConnectionEnding()

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Account for the connection, start the idle timeout, and register it if watched."""
        watch = self._limits.watch
        if watch is None:
            super().connection_made(transport)
        else:
            self._counter = CountingTransport(transport)
            super().connection_made(self._counter)
            self.hold_writers(is_held=False)
            watch.opened(self)
        self._parsing_flow = _ParsingFlow(self.transport)
        self.flow = self._parsing_flow
        self._account = self._limiter.open(self, self._limits.clients)
        self.timeout_keep_alive = self._limits.idle_timeout_s  # type: ignore[assignment]
        self.timeout_keep_alive_task = self.loop.call_later(
            self._limits.idle_timeout_s, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers, give back the memory and unregister the connection."""
        self._stop_header_timer()
        self._stop_unread_timer()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._data = b""
        self._start = 0
        self._limiter.close(self._account)
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

    def shutdown(self) -> None:
        """Close once the request is answered, or its body stalls: the server stops."""
        self._is_stopping = True
        self._account.stall_s = self._stall_s
        super().shutdown()

    @property
    def _stall_s(self) -> float:
        """Longest time without a part of a body."""
        idle_s = self._limits.idle_timeout_s
        return min(idle_s, STOP_STALL_S) if self._is_stopping else idle_s

    def pause_writing(self) -> None:
        """Pause writers; end a connection without a watch if its client reads nothing for long."""
        super().pause_writing()
        if self._limits.watch is None and self._unread_timer is None:
            self._unread_timer = self.loop.call_later(
                MAX_UNREAD_S, self._refuse, RefusalReason.ANSWER_UNREAD
            )

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._stop_unread_timer()
        super().resume_writing()

    # Bytes that arrive.

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._limiter.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read, unless the connection was refused."""
        if self._is_refused:
            return
        if self._account.phase is Phase.BODY:
            self._limiter.progress(self._account, nbytes)
        self._data = bytes(self._limiter.read_buffer[:nbytes])
        self._start = 0
        self._parse(0 if self._request.is_costly else CALLBACKS_AT_ONCE)

    def resume_parsing(self) -> None:
        """Parse more of what was read: room was granted, a turn has come, or an answer ended."""
        if self._wait is not _Wait.ROOM:
            self._reserved = 0
        self._parse(CALLBACKS_AT_ONCE)

    def _parse(self, most_callbacks: int) -> None:
        """Parse received bytes, up to the end of them or to something that must be waited for."""
        self._wait = _Wait.NOTHING
        begun_with = self._callbacks
        while self._start < len(self._data) and self._can_parse():
            end = self._slice_end()
            self._wait = self._next_wait(end, most_callbacks - (self._callbacks - begun_with))
            if self._wait is not _Wait.NOTHING:
                break
            self._parse_slice(end)
        if self._request.is_costly:
            self._limiter.count_callbacks(self._callbacks - begun_with)
        if not self._can_parse():
            return
        self._note_phase()
        if self._wait is _Wait.NOTHING:
            self._data = b""
            self._start = 0
            self._parsing_flow.release()
        else:
            self._parsing_flow.hold()

    def _can_parse(self) -> bool:
        return self.parser is not None and not self._is_refused and not self.transport.is_closing()

    def _slice_end(self) -> int:
        most = BODY_SLICE_BYTES if self._is_in_body else HEAD_SLICE_BYTES
        return self._framing.slice_end(self._data, self._start, most)

    def _next_wait(self, end: int, callbacks_left: int) -> _Wait:
        """Return what must be waited for before the next slice is parsed."""
        if self._is_answering:
            return _Wait.ANSWER
        if callbacks_left <= 0:
            self._request.is_costly = True
            self._limiter.queue(self)
            return _Wait.TURN
        if self._reserved:
            return _Wait.NOTHING
        wanted = self._memory_for(end - self._start)
        if wanted and not self._limiter.take(self._account, wanted):
            self._reserved = wanted
            return _Wait.ROOM
        self._reserved = wanted
        return _Wait.NOTHING

    @property
    def _is_answering(self) -> bool:
        """Whether the application must answer before more is parsed."""
        if self.cycle is None or self.cycle.response_complete:
            return False
        is_excessive = (self._request.body_bytes or 0) > self._limits.max_body_bytes
        return is_excessive or not self._request.is_incomplete

    @property
    def _is_in_body(self) -> bool:
        return self._request.is_incomplete and self._request.has_head

    def _memory_for(self, count: int) -> int:
        """Return the memory to take before ``count`` more bytes are parsed."""
        request = self._request
        if not self._is_in_body:
            return HEADER_FIELD_BYTES * count // SMALLEST_FIELD_BYTES
        if request.body_bytes is None:
            return BODY_COPIES * count
        if request.is_body_charged:
            return 0
        return BODY_COPIES * request.body_bytes

    def _parse_slice(self, end: int) -> None:
        start, self._start = self._start, end
        is_body = self._is_in_body
        if is_body and not self._has_large_buffer:
            self._enlarge_buffer()
        self._framing.parsed(self._data, start, end)
        super().data_received(self._data[start:end])
        if is_body:
            self._note_body(end - start)
        else:
            self._charge_head(end - start)
        self._reserved = 0

    def _enlarge_buffer(self) -> None:
        """Let the kernel hold more of a connection whose body is read, which is faster."""
        self._has_large_buffer = True
        connected = self.transport.get_extra_info("socket")
        if connected is not None:
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BODY_RECEIVE_BUFFER_BYTES)

    def _note_body(self, count: int) -> None:
        request = self._request
        if request.body_bytes is not None:
            request.is_body_charged = True
            return
        request.framing_bytes += count
        if request.framing_bytes > self._limits.max_header_bytes + BODY_SLICE_BYTES:
            self._refuse(RefusalReason.HEAD_TOO_LARGE)

    def _charge_head(self, count: int) -> None:
        """Replace what was taken for the worst case by what the head costs."""
        request = self._request
        request.head_bytes += count
        fields = len(self.headers) if self.headers is not None else 0
        cost = REQUEST_BYTES + HEADER_FIELD_BYTES * fields + HEAD_COPIES * request.head_bytes
        self._limiter.charge(self._account, cost - request.charged_bytes - self._reserved)
        request.charged_bytes = cost
        if request.head_bytes > self._limits.max_header_bytes + SEPARATOR_BYTES:
            self._refuse(RefusalReason.HEAD_TOO_LARGE)

    def _note_phase(self) -> None:
        """Record what the connection does now; bound the time for a head that has begun."""
        request = self._request
        if self._is_in_body:
            self._account.stall_s = self._stall_s
            self._enter(Phase.BODY)
        elif not request.is_incomplete and self.cycle and not self.cycle.response_complete:
            self._enter(Phase.ANSWER)
        else:
            self._enter(Phase.HEAD)
            if self._header_timer is None:
                self._header_timer = self.loop.call_later(
                    self._limits.header_timeout_s, self._refuse, RefusalReason.HEAD_TOO_LATE
                )

    def _enter(self, phase: Phase) -> None:
        if self._account.phase is not phase:
            self._limiter.enter(self._account, phase)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        super().on_message_begin()
        self.scope["state"][ENDING_STATE] = self._ending
        self._request = _RequestState(is_incomplete=True)
        self._callbacks += 1
        self.timeout_keep_alive = self._limits.idle_timeout_s  # type: ignore[assignment]

    def on_url(self, url: bytes) -> None:
        """Count the request target towards the header limit."""
        self._callbacks += 1
        self._request.field_bytes += len(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header; refuse the request above the header limit. Trailers are dropped."""
        self._callbacks += 1
        request = self._request
        if request.has_head:
            return
        request.field_bytes += len(name) + len(value)
        if request.field_bytes > self._limits.max_header_bytes:
            self._refuse(RefusalReason.HEAD_TOO_LARGE)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass the request to the application unless it was refused."""
        self._stop_header_timer()
        request = self._request
        request.has_head = True
        if self._is_refused:
            return
        request.body_bytes = _declared_length(self.headers)
        self._framing.body_left = request.body_bytes or 0
        if not self._limiter.may_take(self._account, BODY_COPIES * self._framing.body_left):
            # Refused before the application begins with it, which costs less.
            self._refuse(RefusalReason.TOO_MANY_WAIT)
            return
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Process a part of the body unless the request was refused."""
        self._callbacks += 1
        self._request.framing_bytes = 0
        if not self._is_refused:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Complete the request unless it was refused."""
        self._request.is_incomplete = False
        if not self._is_refused:
            super().on_message_complete()

    def on_response_complete(self) -> None:
        """Give back the memory of the request, and go on with bytes that were sent ahead."""
        super().on_response_complete()
        self._limiter.give_back(self._account)
        self._request.charged_bytes = 0
        if self.transport.is_closing():
            return
        if self._request.is_incomplete:
            self._linger()
            return
        self._enter(Phase.IDLE)
        if self._wait is _Wait.ANSWER:
            self._unset_keepalive_if_required()
            self.loop.call_soon(self.resume_parsing)

    # Refusals.

    def _refuse(self, reason: RefusalReason) -> None:
        if not self._is_refused and not self.transport.is_closing():
            self._limiter.refuse(self._account, reason)

    def send_400_response(self, msg: str) -> None:
        """Refuse a request that can't be parsed; called while the parser's error is handled."""
        error = sys.exc_info()[1]
        if isinstance(error, HttpParserCallbackError):
            _log.error("request_not_taken", client=self.peer, problem=repr(error.__context__))
        self._refuse(RefusalReason.MALFORMED)

    def refuse_now(self, reason: RefusalReason, retry_after_s: float) -> None:
        """Refuse the request that is being read, or close the connection."""
        if self._is_refused:
            # It was given time to read its refusal, and must give way now.
            self.transport.abort()
            return
        if self.transport.is_closing():
            return
        self._stop_header_timer()
        status = _STATUS_OF_REASON.get(reason)
        if self._end_request(reason) and status is not None:
            self._write_refusal(status, retry_after_s)
            self._linger()
        else:
            self._is_refused = True
            self.transport.abort()

    def _end_request(self, reason: RefusalReason) -> bool:
        """Tell the application that its request ends; return whether nothing was answered yet."""
        self._ending.reason = reason.value
        if self.cycle is None or self.cycle.response_complete:
            return True
        if self.cycle.response_started:
            return False
        self.cycle.disconnected = True
        self.cycle.message_event.set()
        return True

    def _write_refusal(self, status: bytes, retry_after_s: float) -> None:
        head = b"HTTP/1.1 %s\r\ncontent-length: 0\r\nconnection: close\r\n" % status
        if status == _SERVICE_UNAVAILABLE:
            head += b"retry-after: %.2f\r\n" % retry_after_s
        self.transport.write(head + b"\r\n")

    def _linger(self) -> None:
        """Close the outgoing direction, and drop what still comes for a while."""
        self._is_refused = True
        self._data = b""
        self._unset_keepalive_if_required()
        self._enter(Phase.CLOSING)
        self._parsing_flow.release()
        self._linger_timer = self.loop.call_later(LINGER_S, self.transport.abort)
        try:
            self.transport.write_eof()
        except OSError as error:
            _log.debug("client_left_before_refusal", client=self.peer, problem=str(error))
            self.transport.abort()

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None


def _declared_length(headers: list[tuple[bytes, bytes]]) -> int | None:
    """Return the declared length of a body; ``None`` if there is none or it can't be read."""
    for name, value in headers:
        if name == b"content-length":
            return int(value) if value.isdigit() else None
    return None
