"""Engines that stop inside the head of their answer: the places, the packets, the ends, as data."""

import enum
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass

import anyio
from anyio.abc import SocketAttribute

BODY = b"4096 bytes of a body" + b"." * 4076
EVENTS = b"".join(b"id: %d\ndata: event-%d\n\n" % (number, number) for number in (1, 2, 3))
BYTE_PAUSE_S = 0.0005
"""Pause between two bytes that go out as packets of their own."""
HELD_OPEN_S = 1.0
"""Time for which a connection stays open whose engine has ended its sending side alone."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class End(enum.Enum):
    """How an engine ends its answer."""

    CLOSED = "closed"
    RESET = "reset"
    SENDING_SIDE = "sending side closed, connection open"


class Packets(enum.Enum):
    """How the bytes of a head go out."""

    ONE = "one packet"
    BYTE_BY_BYTE = "each byte by itself"


@dataclass(frozen=True)
class Framing:
    """The lines of a head that tell where its body ends, and the status line above."""

    name: str
    status_line: str
    lines: tuple[str, ...]


FRAMINGS = (
    Framing("length", "HTTP/1.1 200 OK", ("Content-Length: 4096",)),
    Framing("chunks", "HTTP/1.1 200 OK", ("Transfer-Encoding: chunked",)),
    Framing("neither", "HTTP/1.1 200 OK", ("Connection: close",)),
    Framing("neither, version 1.0", "HTTP/1.0 200 OK", ()),
    Framing("length, version 1.0", "HTTP/1.0 200 OK", ("Content-Length: 4096",)),
    Framing("no content", "HTTP/1.1 204 No Content", ()),
    Framing("not modified", "HTTP/1.1 304 Not Modified", ()),
)

INTERIM = {
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "102": b"HTTP/1.1 102 Processing\r\n\r\n",
    "103": b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n",
    "103 like an answer": (
        b"HTTP/1.1 103 Early Hints\r\nX-Passlane-Response-Signature: signed\r\n"
        b"Content-Length: 0\r\n\r\n"
    ),
    "three": b"HTTP/1.1 100 Continue\r\n\r\n" + b"HTTP/1.1 102 Processing\r\n\r\n" * 2,
}


def whole_head(request, instance_id, framing, media_type):
    """Return a signed head whose last lines are folded ones and those of its framing."""
    lines = (
        framing.status_line,
        f"X-Passlane-Attempt-Id: {request.attempt}",
        f"X-Passlane-Instance-Id: {instance_id}",
        "X-Passlane-Response-Signature: signed",
        f"Content-Type: {media_type}",
        "X-Folded: one",
        " two",
        *framing.lines,
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@dataclass(frozen=True)
class Place:
    """A place in a head: behind the first ``text``, or so many bytes before the end."""

    name: str
    text: bytes = b""
    last: int = 0

    def cut(self, head):
        """Return what comes before the place in a head that has it."""
        if not self.text:
            return head[: -self.last]
        return head[: head.index(self.text) + len(self.text)]


PLACES = (
    Place("inside the version", b"HTTP/1."),
    Place("inside the status", b" 20"),
    Place("behind the status", b" 200"),
    Place("inside the first line's end", b"\r"),
    Place("behind the first line", b"\r\n"),
    Place("before the attempt's id", b"X-Passlane-Attempt-Id: "),
    Place("behind a name", b"X-Passlane-Response-Signature"),
    Place("behind a colon", b"X-Passlane-Response-Signature:"),
    Place("inside the signature", b"Signature: sig"),
    Place("behind the signature", b"Signature: signed\r\n"),
    Place("before a folded line", b"X-Folded: one\r\n"),
    Place("inside a folded line", b"X-Folded: one\r\n "),
    Place("behind the name of the length", b"Content-Length:"),
    Place("inside the digits of the length", b"Content-Length: 4"),
    Place("behind the length", b"Content-Length: 4096"),
    Place("inside the name of chunks", b"Transfer-Encoding: chun"),
    Place("behind the name of chunks", b"Transfer-Encoding: chunked"),
    Place("inside the last line's end", last=3),
    Place("behind the last line", last=2),
    Place("inside the empty line", last=1),
)


@dataclass(frozen=True)
class Cut:
    """One way of stopping inside a head."""

    framing: Framing
    place: Place
    packets: Packets
    end: End
    interim: bytes = b""

    @property
    def name(self):
        return f"{self.framing.name}: {self.place.name}, {self.packets.value}, {self.end.value}"

    def bytes_before(self, request, instance_id, media_type):
        """Return what the engine sends before it stops."""
        head = whole_head(request, instance_id, self.framing, media_type)
        return self.interim + self.place.cut(head)


def places_of(framing):
    """Return the places that a head of a framing has."""
    lines = "\r\n".join((framing.status_line, *framing.lines)).encode()
    return [
        place
        for place in PLACES
        if not place.text.startswith((b"Content-Length", b"Transfer-Encoding", b" 20"))
        or place.text in lines
    ]


def all_cuts(rotation=None):
    """Return the cuts: with all packets and ends, or with one of these each, which rotates."""
    ways = [(packets, end) for end in End for packets in Packets]
    places = [(framing, place) for framing in FRAMINGS for place in places_of(framing)]
    if rotation is None:
        return [Cut(*at, *way) for at in places for way in ways]
    return [Cut(*at, *ways[(n + rotation) % len(ways)]) for n, at in enumerate(places)]


async def send_packets(stream, data, packets):
    """Send bytes as so many packets."""
    if packets is Packets.ONE:
        await stream.send(data)
        return
    for position in range(len(data)):
        await stream.send(data[position : position + 1])
        await anyio.sleep(BYTE_PAUSE_S)


async def end_connection(stream, end):
    """End a connection; the engine gets no further request on it."""
    if end is End.RESET:
        # A node that has left an engine for its slow bytes has closed the connection.
        with suppress(OSError):
            raw_socket = stream.extra(SocketAttribute.raw_socket)
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    if end is End.SENDING_SIDE:
        await stream.send_eof()
        with anyio.move_on_after(HELD_OPEN_S):
            await stream.receive()
    await stream.aclose()


def cut_answer(cut, media_type="text/plain"):
    """Return an answer that stops inside its head."""

    async def answer(engine, request, stream):
        sent = cut.bytes_before(request, engine.instance_id, media_type)
        await send_packets(stream, sent, cut.packets)
        await end_connection(stream, cut.end)

    return answer


def bytes_answer(data, end):
    """Return an answer of bytes as they are."""

    async def answer(_, request, stream):
        await stream.send(data)
        await end_connection(stream, end)

    return answer


def whole_answer(framing, packets, media_type, interim=b""):
    """Return the answer that a cut one would have been, as far as it has a body of its framing."""
    body = EVENTS if media_type == "text/event-stream" else BODY

    async def answer(engine, request, stream):
        head = whole_head(request, engine.instance_id, framing, media_type)
        await send_packets(stream, interim + head, packets)
        await stream.send(_framed(body, framing))
        if "Content-Length: 4096" not in framing.lines:
            await stream.aclose()

    return answer


def _framed(body, framing):
    if "Transfer-Encoding: chunked" in framing.lines:
        return b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return b"" if framing.status_line.endswith(("Content", "Modified")) else body


class AnswersByAttempt:
    """The answers of all engines: the n-th run of an attempt gets its n-th answer.

    Parameters
    ----------
    usual
        Answer of attempts for which none is set.
    """

    def __init__(self, usual):
        self._usual = usual
        self._answers = {}
        self._runs = {}

    def set(self, attempt, *answers):
        """Set the answers of an attempt; its later runs get the last one."""
        self._answers[attempt] = answers

    async def __call__(self, engine, request, stream):
        run = self._runs.get(request.attempt, 0)
        self._runs[request.attempt] = run + 1
        answers = self._answers.get(request.attempt, (self._usual,))
        await answers[min(run, len(answers) - 1)](engine, request, stream)
