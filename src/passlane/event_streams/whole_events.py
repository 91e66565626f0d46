"""Splits a stream of server-sent events into whole events as its bytes arrive."""

import msgspec

EVENT_END = b"\n\n"
_DATA_FIELD = b"data:"
_ID_FIELD = b"id:"


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole event: its bytes, its id and its data."""

    raw: bytes
    event_id: str | None
    data: bytes


class EventSplitter:
    """Gathers bytes and gives whole events; what is left over is no whole event."""

    def __init__(self) -> None:
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """Bytes of an event whose end has not arrived."""
        return self._pending

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that end within ``data``."""
        *wholes, self._pending = (self._pending + data).split(EVENT_END)
        return [_parse(whole + EVENT_END) for whole in wholes]


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
    """Return a field's value; one space after the colon does not belong to it."""
    value = line[len(field) :].rstrip(b"\r")
    return value[1:] if value.startswith(b" ") else value
