"""Splits a server-sent event stream into complete events as its bytes arrive.

Owns the bytes of the event that is still incomplete.
"""

import msgspec

EVENT_END = b"\n\n"
_DATA_FIELD = b"data:"
_ID_FIELD = b"id:"


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
        """Bytes of the event that is still incomplete."""
        return self._pending

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that are now complete."""
        *complete, self._pending = (self._pending + data).split(EVENT_END)
        return [_parse(event + EVENT_END) for event in complete]


def _parse(raw: bytes) -> StreamEvent:
    event_id: str | None = None
    data: list[bytes] = []
    for line in raw.split(b"\n"):
        if line.startswith(_DATA_FIELD):
            data.append(_value_of(line, _DATA_FIELD))
        elif line.startswith(_ID_FIELD):
            event_id = _value_of(line, _ID_FIELD).decode("latin-1")
    return StreamEvent(raw=raw, event_id=event_id, data=b"\n".join(data))


def _value_of(line: bytes, field: bytes) -> bytes:
    """Return the value of a field, without the single optional space after the colon."""
    value = line[len(field) :].rstrip(b"\r")
    return value[1:] if value.startswith(b" ") else value
