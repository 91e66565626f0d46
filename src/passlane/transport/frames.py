"""The frame format between passlane processes.

A frame is a header of fixed size and a body of MessagePack::

    version (1 byte) | kind (1) | body length (4) | request id (8) | value (4) | body

All numbers are big-endian. ``value`` is a request's timeout in milliseconds or the number
of items that a credit frame grants; 0 in other frames. The version comes first, so that
the first byte reveals another protocol.
"""

import enum
import struct

import msgspec

from passlane.errors import ErrorCode, PasslaneError

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 17_000_000
"""Maximum size of a body that is sent or accepted. Older builds accept 16 MB and have written
commands up to that size, which are replicated with a header."""

LARGE_BODY_BYTES = 65_536
"""Bodies from this size on are not joined with their header."""

_HEADER = struct.Struct(">BBIQI")
HEADER_BYTES = _HEADER.size
MAX_VALUE = 2**32 - 1


class FrameKind(enum.IntEnum):
    """Purpose of a frame."""

    REQUEST = 1
    REPLY = 2
    STREAM_ITEM = 3
    STREAM_END = 4
    ERROR = 5
    CANCEL = 6
    CREDIT = 7
    ONE_WAY = 8
    PING = 9
    PONG = 10


_KINDS = {int(kind): kind for kind in FrameKind}


class Frame(msgspec.Struct, frozen=True):
    """One frame; the module docstring describes its fields."""

    kind: FrameKind
    request_id: int = 0
    value: int = 0
    body: bytes = b""


def frame_parts(frame: Frame) -> tuple[bytes, ...]:
    """Return the bytes of ``frame`` in parts, so that a large body isn't copied.

    Raises
    ------
    PasslaneError
        ``FRAME_TOO_LARGE`` when the body is larger than ``MAX_FRAME_BYTES``.
    """
    length = len(frame.body)
    if length > MAX_FRAME_BYTES:
        raise PasslaneError(
            ErrorCode.FRAME_TOO_LARGE, f"a body of {length} bytes exceeds {MAX_FRAME_BYTES} bytes"
        )
    header = _HEADER.pack(PROTOCOL_VERSION, frame.kind, length, frame.request_id, frame.value)
    if length < LARGE_BODY_BYTES:
        return (header + frame.body,)
    return header, frame.body


class FrameDecoder:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that are now complete.

        Raises
        ------
        PasslaneError
            ``PROTOCOL_ERROR`` for another version or an unknown kind,
            ``FRAME_TOO_LARGE`` for a body above the limit.
        """
        self._buffer += data
        frames: list[Frame] = []
        position = 0
        while len(self._buffer) - position >= HEADER_BYTES:
            header = _HEADER.unpack_from(self._buffer, position)
            version, kind, length, request_id, value = header
            self._check(version, kind, length)
            end = position + HEADER_BYTES + length
            if len(self._buffer) < end:
                break
            body = bytes(memoryview(self._buffer)[position + HEADER_BYTES : end])
            frames.append(Frame(_KINDS[kind], request_id, value, body))
            position = end
        del self._buffer[:position]
        return frames

    def _check(self, version: int, kind: int, length: int) -> None:
        if version != PROTOCOL_VERSION:
            raise PasslaneError(
                ErrorCode.PROTOCOL_ERROR,
                f"expected protocol version {PROTOCOL_VERSION}, found {version}",
            )
        if kind not in _KINDS:
            raise PasslaneError(ErrorCode.PROTOCOL_ERROR, f"frame kind {kind} is unknown")
        if length > MAX_FRAME_BYTES:
            raise PasslaneError(
                ErrorCode.FRAME_TOO_LARGE,
                f"a body of {length} bytes exceeds {MAX_FRAME_BYTES} bytes",
            )
