"""The events that callers have received of turns that are stored once they are complete.

It is part of the replicated state of turns. It owns the events of recent streams by the request
and by the attempt that began the stream. A resumed turn is stored with them, so they are returned
only without a gap up to the caller's last event: what lacks an event counts as unknown.

It has no clock: its owner passes the age of the state, in seconds.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from passlane.messages.turn_outputs import (
    ForwardedEvent,
    ForwardedEvents,
    OutputRequest,
    OutputUnknown,
)

EVENT_OVERHEAD_BYTES = 150
"""About the memory of a stored event beside its data."""


class _StreamKey(NamedTuple):
    """A stream: the request that it answers, and the attempt that began it."""

    request_key: str
    stream_id: str


class _AttemptKey(NamedTuple):
    """One attempt at a request."""

    request_key: str
    attempt_id: str


class StoredOutput(msgspec.Struct):
    """The events of one stream, over all attempts that continued it.

    Attributes
    ----------
    attempt_id
        The attempt whose events are appended.
    events_before
        Number of events from earlier attempts.
    keep_until_s
        Age of the state until which the events are retained.
    """

    request_key: str
    stream_id: str
    is_in_line: bool
    attempt_id: str
    keep_until_s: float
    events_before: int = 0
    events: list[ForwardedEvent] = []

    @property
    def size_bytes(self) -> int:
        """About the memory of the events."""
        return sum(EVENT_OVERHEAD_BYTES + len(event.data) for event in self.events)

    def count_until(self, last_event_id: str | None) -> int | None:
        """Return the number of events up to one; ``None`` if it is not among them."""
        if last_event_id is None:
            return 0
        for number, event in enumerate(self.events, start=1):
            if event.event_id == last_event_id:
                return number
        return None

    def data_of(self, count: int) -> bytes:
        """Return the data of the first ``count`` events, each followed by a line feed."""
        return b"".join(event.data + b"\n" for event in self.events[:count])


class TurnOutputs:
    """Stored events by stream; those of the newest attempt of a request replace earlier ones."""

    def __init__(self) -> None:
        self._outputs: dict[_StreamKey, StoredOutput] = {}
        self._stream_of_attempt: dict[_AttemptKey, _StreamKey] = {}
        self._newest_in_line: dict[str, _StreamKey] = {}
        self.size_bytes = 0

    def begin(self, request: OutputRequest, attempt_id: str, keep_until_s: float) -> None:
        """Store the stream of an attempt that begins anew; no effect if it is stored already."""
        if _StreamKey(request.request_key, attempt_id) in self._outputs:
            return
        if request.is_in_line:
            self.forget(request.request_key)
        self._add(
            StoredOutput(
                request_key=request.request_key,
                stream_id=attempt_id,
                is_in_line=request.is_in_line,
                attempt_id=attempt_id,
                keep_until_s=keep_until_s,
            )
        )

    def forget(self, request_key: str) -> None:
        """Remove the stream of a request that is begun anew in its line."""
        key = self._newest_in_line.get(request_key)
        if key is not None:
            self._remove(key)

    def unknown(self, request: OutputRequest, attempt_id: str) -> OutputUnknown | None:
        """Return why the output before a resumed stream is not known; ``None`` if it is."""
        stored = self._find(request, attempt_id)
        if stored is None:
            return OutputUnknown(None, request.last_event_id)
        if stored.count_until(request.last_event_id) is None:
            return OutputUnknown(len(stored.events), request.last_event_id)
        return None

    def resumed_bytes(self, request: OutputRequest | None, attempt_id: str) -> int:
        """Return about the size of the output before a resumed stream; 0 for any other one."""
        if request is None or not request.is_resumed:
            return 0
        stored = self._find(request, attempt_id)
        return stored.size_bytes if stored is not None else 0

    def resume(self, request: OutputRequest, attempt_id: str, keep_until_s: float) -> bytes | None:
        """Let an attempt continue a stream; return the output before it, ``None`` if unknown.

        The caller has nothing behind its last event, so later events are removed.
        """
        stored = self._find(request, attempt_id)
        count = stored.count_until(request.last_event_id) if stored is not None else None
        if stored is None or count is None:
            return None
        if stored.attempt_id != attempt_id:
            self._continue(stored, attempt_id, count)
        stored.keep_until_s = max(stored.keep_until_s, keep_until_s)
        return stored.data_of(count)

    def append(self, forwarded: ForwardedEvents, keep_until_s: float) -> None:
        """Append events of the attempt that continues its stream; those behind a gap are not."""
        key = self._stream_of_attempt.get(_AttemptKey(forwarded.request_key, forwarded.attempt_id))
        if key is None:
            return
        stored = self._outputs[key]
        first = stored.events_before + forwarded.first_index
        known = len(stored.events) - first
        if known < 0:
            return
        added = forwarded.events[known:]
        stored.events += added
        self.size_bytes += sum(EVENT_OVERHEAD_BYTES + len(event.data) for event in added)
        stored.keep_until_s = max(stored.keep_until_s, keep_until_s)

    def expire(self, age_s: float) -> None:
        """Remove the streams that are not retained any more at an age."""
        for key in [key for key, out in self._outputs.items() if out.keep_until_s < age_s]:
            self._remove(key)

    def all(self) -> list[StoredOutput]:
        """Return copies of all stored streams."""
        return [
            msgspec.structs.replace(stored, events=list(stored.events))
            for stored in self._outputs.values()
        ]

    def restore(self, outputs: Iterable[StoredOutput]) -> None:
        """Add stored streams of a snapshot."""
        for stored in outputs:
            self._add(stored)

    def _find(self, request: OutputRequest, attempt_id: str) -> StoredOutput | None:
        """Return the stream that a request resumes, also if it was told so already."""
        key = self._stream_of_attempt.get(_AttemptKey(request.request_key, attempt_id))
        if key is None and request.stream_id:
            key = _StreamKey(request.request_key, request.stream_id)
        if key is None and request.is_in_line:
            key = self._newest_in_line.get(request.request_key)
        return self._outputs.get(key) if key is not None else None

    def _continue(self, stored: StoredOutput, attempt_id: str, count: int) -> None:
        """Keep the first ``count`` events, and append those of another attempt from now on."""
        key = _StreamKey(stored.request_key, stored.stream_id)
        self._remove(key)
        stored.attempt_id = attempt_id
        stored.events_before = count
        del stored.events[count:]
        self._add(stored)

    def _add(self, stored: StoredOutput) -> None:
        key = _StreamKey(stored.request_key, stored.stream_id)
        self._outputs[key] = stored
        self._stream_of_attempt[_AttemptKey(stored.request_key, stored.attempt_id)] = key
        if stored.is_in_line:
            self._newest_in_line[stored.request_key] = key
        self.size_bytes += stored.size_bytes

    def _remove(self, key: _StreamKey) -> None:
        stored = self._outputs.pop(key)
        del self._stream_of_attempt[_AttemptKey(stored.request_key, stored.attempt_id)]
        if self._newest_in_line.get(stored.request_key) == key:
            del self._newest_in_line[stored.request_key]
        self.size_bytes -= stored.size_bytes
