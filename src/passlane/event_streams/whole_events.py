"""Splits a server-sent event stream into complete events as its bytes arrive.

Lines end with LF, CR LF or CR. Owns the bytes of the event that is still incomplete.
"""

import re

import msgspec

MAX_EVENT_BYTES = 1_000_000
"""Most bytes of an event; more without its end mean that the server is faulty."""
EVENT_STREAM_TYPE = "text/event-stream"
"""Media type of event streams."""

_DATA_FIELD = b"data:"
_ID_FIELD = b"id:"
_COMMENT = b":"
_LINE_END = re.compile(rb"\n|\r\n?")
_LINE_ENDS = b"\r\n"
_EVENT_END = re.compile(rb"(?:\n|\r\n?+)(?:\n|\r\n?+)")
"""The end of a line and an empty line. A CR at the end of the received bytes counts as the end of a
line; if an LF follows, it precedes the next event."""


_MAX_PARTIAL_END_BYTES = 3
"""Most bytes at the end of what was received that may begin the end of an event."""


class EventTooLongError(Exception):
    """The bytes behind the last complete event exceed ``MAX_EVENT_BYTES``."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One complete event: its raw bytes, its id and its data."""

    raw: bytes
    event_id: str | None
    data: bytes


class EventSplitter:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """Bytes after the last complete event."""
        return self._pending

    @property
    def is_inside_event(self) -> bool:
        """Whether a stream that ends here breaks off an event.

        Empty lines and whole comment lines between events do not belong to an event.
        """
        *lines, unfinished_line = _LINE_END.split(self._pending)
        return bool(unfinished_line) or any(
            line and not line.startswith(_COMMENT) for line in lines
        )

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that are now complete.

        Raises
        ------
        EventTooLongError
            When the rest exceeds ``MAX_EVENT_BYTES``; the complete events before it are lost.
        """
        received = self._pending + data
        events: list[StreamEvent] = []
        start = 0
        # Empty lines before an event belong to it; they are looked at once.
        empty_until = 0
        searched_bytes = max(0, len(self._pending) - _MAX_PARTIAL_END_BYTES)
        for match in _EVENT_END.finditer(received, searched_bytes):
            has_content = received[empty_until : match.start()].strip(_LINE_ENDS)
            empty_until = match.end()
            if has_content:
                events.append(_parse(received[start : match.end()]))
                start = match.end()
        self._pending = received[start:]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f"an event has {len(self._pending)} bytes, expected at most {MAX_EVENT_BYTES}"
            )
        return events


def _parse(raw: bytes) -> StreamEvent:
    event_id: str | None = None
    data: list[bytes] = []
    for line in _LINE_END.split(raw):
        if line.startswith(_DATA_FIELD):
            data.append(_value_of(line, _DATA_FIELD))
        elif line.startswith(_ID_FIELD):
            event_id = _value_of(line, _ID_FIELD).decode("latin-1")
    return StreamEvent(raw=raw, event_id=event_id, data=b"\n".join(data))


def _value_of(line: bytes, field: bytes) -> bytes:
    """Return the value of a field, without the single optional space after the colon."""
    value = line[len(field) :]
    return value[1:] if value.startswith(b" ") else value
