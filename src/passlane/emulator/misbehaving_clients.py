"""Clients that don't behave: crowds of connections that send or read as no usual client does.

For tests and the soak. Each kind says what its connections send and when they stop; none of them
reads its answers unless its kind says so. Runs as a program of its own, so that its work disturbs
no measurement: ``python -m passlane.emulator.misbehaving_clients KIND HOST PORT PATH SECONDS
[SHARE [FIELD...]]``, where ``SHARE`` of the kind's connections are opened and each request has the
fields, such as ``Name: value-{number}``.
"""

import asyncio
import itertools
import sys
from collections import Counter
from collections.abc import Callable, Iterator

import msgspec

LEGAL_BODY_BYTES = 4_194_304
LEGAL_HEAD_BYTES = 16_384
BLOCK_BYTES = 65_536
OPEN_PER_TURN = 200
"""Connections that are opened side by side, so that none waits for a full queue of the listener."""
OPEN_TIMEOUT_S = 5.0
SLOW_PAUSE_S = 0.2
"""Pause between two parts of a client that sends slowly."""
RETURN_S = 0.5
"""Time after which a client whose connection was closed opens another one."""
HOST = "soak.example"
NUMBER = "{number}"
"""Stands for the number of the connection in the fields of its requests."""


class Part(msgspec.Struct, frozen=True):
    """Bytes to send, and the pause in seconds before the next part."""

    data: bytes
    pause_s: float = 0.0


class Request(msgspec.Struct, frozen=True):
    """What a connection asks for, its number in the crowd, and fields that each request has."""

    path: str
    number: int
    fields: tuple[str, ...] = ()


class ClientKind(msgspec.Struct, frozen=True, kw_only=True):
    """What the connections of a crowd do.

    Attributes
    ----------
    connections
        How many there are at once.
    parts
        Yields what a connection sends.
    reads
        Whether it reads its answers.
    returns
        Whether it opens a connection again when its own was closed.
    """

    name: str
    connections: int
    parts: Callable[[Request], Iterator[Part]]
    reads: bool = False
    returns: bool = False


def _head(request: Request, *fields: str, method: str = "POST") -> bytes:
    own = (field.replace(NUMBER, str(request.number)) for field in request.fields)
    lines = (f"{method} {request.path} HTTP/1.1", f"Host: {HOST}", *own, *fields)
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _body(length: int) -> Iterator[Part]:
    block = b"x" * BLOCK_BYTES
    for _ in range(length // BLOCK_BYTES):
        yield Part(block)
    yield Part(block[: length % BLOCK_BYTES])


def whole_body(request: Request) -> Iterator[Part]:
    """Send a body of the largest size as fast as it is taken."""
    length = LEGAL_BODY_BYTES
    yield Part(_head(request, f"Content-Length: {length}"))
    yield from _body(length)


def body_without_its_last_byte(request: Request) -> Iterator[Part]:
    """Send a body of the largest size but for its last byte."""
    length = LEGAL_BODY_BYTES
    yield Part(_head(request, f"Content-Length: {length}"))
    yield from _body(length - 1)


def body_that_stops(request: Request) -> Iterator[Part]:
    """Stop after 100 kB of a body of the largest size."""
    yield Part(_head(request, f"Content-Length: {LEGAL_BODY_BYTES}"))
    yield from _body(100_000)


def slow_body(request: Request) -> Iterator[Part]:
    """Send a body of the largest size in small parts with pauses."""
    yield Part(_head(request, f"Content-Length: {LEGAL_BODY_BYTES}"))
    for _ in range(LEGAL_BODY_BYTES // 4_000):
        yield Part(b"x" * 4_000, SLOW_PAUSE_S)


def body_above_the_limit(request: Request) -> Iterator[Part]:
    """Declare and send a body that is ten times too large."""
    yield Part(_head(request, f"Content-Length: {10 * LEGAL_BODY_BYTES}"))
    yield from _body(10 * LEGAL_BODY_BYTES)


def _chunked(request: Request, chunk_bytes: int, count: int | None) -> Iterator[Part]:
    yield Part(_head(request, "Transfer-Encoding: chunked"))
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    per_block = max(1, BLOCK_BYTES // len(chunk))
    left = count
    while left is None or left > 0:
        chunks = per_block if left is None else min(per_block, left)
        yield Part(chunk * chunks)
        left = None if left is None else left - chunks
    yield Part(b"0\r\n\r\n")


def chunks_of_one_byte(request: Request) -> Iterator[Part]:
    """Send one megabyte in chunks of one byte."""
    return _chunked(request, 1, 1_000_000)


def small_chunks(request: Request) -> Iterator[Part]:
    """Send a body of the largest size in chunks of 1,000 bytes."""
    return _chunked(request, 1_000, LEGAL_BODY_BYTES // 1_000)


def endless_chunks(request: Request) -> Iterator[Part]:
    """Send chunks without an end."""
    return _chunked(request, 1_000, None)


def short_fields(request: Request) -> Iterator[Part]:
    """Send a head of the largest size that is made of the shortest fields."""
    start = _head(request, method="GET")[:-2]
    names = itertools.cycle("abdefgijkl")
    fields = "".join(f"{next(names)}:\r\n" for _ in range((LEGAL_HEAD_BYTES - len(start)) // 4))
    yield Part(start + fields.encode() + b"\r\n")


def endless_target(request: Request) -> Iterator[Part]:
    """Send a first line without an end."""
    yield Part(b"GET " + request.path.encode())
    yield from itertools.repeat(Part(b"x" * BLOCK_BYTES))


def endless_trailer(request: Request) -> Iterator[Part]:
    """Send a trailer field without an end behind a short body."""
    yield Part(_head(request, "Transfer-Encoding: chunked"))
    yield Part(b"1\r\nx\r\n0\r\nx: ")
    yield from itertools.repeat(Part(b"x" * BLOCK_BYTES))


def many_trailers(request: Request) -> Iterator[Part]:
    """Send trailer fields without an end behind a short body."""
    yield Part(_head(request, "Transfer-Encoding: chunked"))
    yield Part(b"1\r\nx\r\n0\r\n")
    yield from itertools.repeat(Part(b"x:\r\n" * (BLOCK_BYTES // 4)))


def endless_extension(request: Request) -> Iterator[Part]:
    """Send an extension of a chunk without an end."""
    yield Part(_head(request, "Transfer-Encoding: chunked") + b"1;")
    yield from itertools.repeat(Part(b"x" * BLOCK_BYTES))


def sent_ahead(request: Request) -> Iterator[Part]:
    """Send requests without an end, and read no answer."""
    head = _head(request, method="GET")
    yield from itertools.repeat(Part(head * (BLOCK_BYTES // len(head))))


def nothing(request: Request) -> Iterator[Part]:
    """Send nothing."""
    return iter(())


def slow_head(request: Request) -> Iterator[Part]:
    """Send a head in small parts with pauses."""
    yield Part(b"GET %s HTTP/1.1\r\n" % request.path.encode(), SLOW_PAUSE_S)
    yield from itertools.repeat(Part(b"x: y\r\n", SLOW_PAUSE_S))


def unread_answer(request: Request) -> Iterator[Part]:
    """Ask once with a short body."""
    yield Part(_head(request, "Content-Length: 1") + b"x")


KINDS = {
    kind.name: kind
    for kind in (
        ClientKind(name="whole-bodies", connections=200, parts=whole_body),
        ClientKind(name="held-bodies", connections=150, parts=body_without_its_last_byte),
        ClientKind(name="bodies-that-stop", connections=3_000, parts=body_that_stops),
        ClientKind(name="slow-bodies", connections=3_000, parts=slow_body),
        ClientKind(name="bodies-above-the-limit", connections=100, parts=body_above_the_limit),
        ClientKind(name="chunks-of-one-byte", connections=40, parts=chunks_of_one_byte),
        ClientKind(name="small-chunks", connections=150, parts=small_chunks),
        ClientKind(name="endless-chunks", connections=100, parts=endless_chunks),
        ClientKind(name="short-fields", connections=600, parts=short_fields),
        ClientKind(name="endless-targets", connections=200, parts=endless_target),
        ClientKind(name="endless-trailers", connections=200, parts=endless_trailer),
        ClientKind(name="many-trailers", connections=200, parts=many_trailers),
        ClientKind(name="endless-extensions", connections=100, parts=endless_extension),
        ClientKind(name="sent-ahead", connections=100, parts=sent_ahead),
        ClientKind(name="silent", connections=4_500, parts=nothing),
        ClientKind(name="slow-heads", connections=3_500, parts=slow_head),
        ClientKind(name="unread-answers", connections=1_500, parts=unread_answer),
        ClientKind(name="short-requests", connections=200, parts=unread_answer, reads=True),
        ClientKind(
            name="returning-bodies",
            connections=150,
            parts=whole_body,
            reads=True,
            returns=True,
        ),
    )
}


class _Connection(asyncio.Protocol):
    """One connection of a crowd; sends the parts of its kind as they are taken."""

    def __init__(self, parts: Iterator[Part], crowd: "Crowd") -> None:
        self._parts = parts
        self._crowd = crowd
        self._transport: asyncio.Transport | None = None
        self._is_paused = False
        self._timer: asyncio.TimerHandle | None = None
        self._has_status = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._crowd.kind.reads:
            transport.pause_reading()
        self._crowd.open.add(transport)
        self._send()

    def data_received(self, data: bytes) -> None:
        if not self._has_status and data.startswith(b"HTTP/1.1 "):
            self._has_status = True
            self._crowd.statuses[data[9:12].decode()] += 1

    def pause_writing(self) -> None:
        self._is_paused = True

    def resume_writing(self) -> None:
        self._is_paused = False
        if self._timer is None:
            self._send()

    def _send(self) -> None:
        self._timer = None
        loop = asyncio.get_running_loop()
        while self._can_send():
            part = next(self._parts, None)
            if part is None:
                return
            assert self._transport is not None
            self._transport.write(part.data)
            if part.pause_s:
                self._timer = loop.call_later(part.pause_s, self._send)
                return

    def _can_send(self) -> bool:
        transport = self._transport
        return transport is not None and not transport.is_closing() and not self._is_paused

    def connection_lost(self, error: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._crowd.open.discard(self._transport)
        self._transport = None
        self._crowd.note_closed()


class Crowd:
    """All connections of one kind to one address.

    Attributes
    ----------
    open
        Connections that are open.
    closed
        How many the other side has closed.
    failed
        How many could not be opened.
    statuses
        Answers by status, where the kind reads them.
    """

    def __init__(
        self, kind: ClientKind, host: str, port: int, path: str, fields: tuple[str, ...] = ()
    ) -> None:
        self.kind = kind
        self._host = host
        self._port = port
        self._path = path
        self._fields = fields
        self._numbers = itertools.count()
        self._returning: set[asyncio.Task[None]] = set()
        self.open: set[asyncio.Transport] = set()
        self.closed = 0
        self.failed = 0
        self.statuses: Counter[str] = Counter()
        self._has_ended = False

    async def run(self, seconds: float) -> None:
        """Open the connections, keep them for some seconds, then reset those that are left."""
        ends_at = asyncio.get_running_loop().time() + seconds
        left = self.kind.connections
        while left > 0:
            count = min(OPEN_PER_TURN, left)
            left -= count
            await asyncio.gather(*(self._open() for _ in range(count)))
        await asyncio.sleep(max(0.0, ends_at - asyncio.get_running_loop().time()))
        self._has_ended = True
        for transport in list(self.open):
            transport.abort()

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        parts = self.kind.parts(Request(self._path, next(self._numbers), self._fields))
        opening = loop.create_connection(lambda: _Connection(parts, self), self._host, self._port)
        try:
            await asyncio.wait_for(opening, OPEN_TIMEOUT_S)
        except (OSError, TimeoutError):
            self.failed += 1

    def note_closed(self) -> None:
        """Count a connection that the other side closed; open another one if the kind returns."""
        if self._has_ended:
            return
        self.closed += 1
        if self.kind.returns:
            task = asyncio.get_running_loop().create_task(self._return())
            self._returning.add(task)
            task.add_done_callback(self._returning.discard)

    async def _return(self) -> None:
        await asyncio.sleep(RETURN_S)
        if not self._has_ended:
            await self._open()


def main(arguments: list[str]) -> None:
    """Run one crowd and print what became of its connections."""
    name, host, port, path, seconds, *others = arguments
    share, *fields = others or ["1.0"]
    kind = KINDS[name]
    connections = max(1, int(kind.connections * float(share)))
    kind = msgspec.structs.replace(kind, connections=connections)
    crowd = Crowd(kind, host, int(port), path, tuple(fields))
    asyncio.run(crowd.run(float(seconds)))
    print(f"closed {crowd.closed}, failed {crowd.failed}, {dict(crowd.statuses)}")


if __name__ == "__main__":
    main(sys.argv[1:])
