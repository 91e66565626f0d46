"""What callers have received of the outputs of stored turns, as nodes and the store group tell it.

A caller may resume the stream of a turn at another node, which has forwarded none of its earlier
events. The turn that is stored has all of them.
"""

import msgspec


class ForwardedEvent(msgspec.Struct, frozen=True, array_like=True):
    """One event of a stream: its id, ``None`` without one, and its data."""

    event_id: str | None
    data: bytes


class ForwardedEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive events that an attempt has forwarded to its caller.

    Attributes
    ----------
    request_key
        Identifies the turn's request over all its attempts.
    attempt_id
        The caller's attempt that forwarded them.
    first_index
        Number of events that this attempt had forwarded before.
    """

    request_key: str
    attempt_id: str
    first_index: int
    events: tuple[ForwardedEvent, ...]

    @property
    def size_bytes(self) -> int:
        """Bytes of the events' data."""
        return sum(len(event.data) for event in self.events)


class OutputRequest(msgspec.Struct, frozen=True, kw_only=True):
    """How the output of a turn begins: at its start, or behind the events that its caller has.

    Attributes
    ----------
    request_key
        Identifies the turn's request over all its attempts.
    is_in_line
        Whether the turn belongs to a line of turns, in which the newest attempt at a request
        replaces those before it.
    is_resumed
        Whether the caller resumes a stream.
    stream_id
        The attempt that began the resumed stream; empty if the caller does not name it.
    last_event_id
        The last event that the caller has; ``None`` if it has none.
    """

    request_key: str
    is_in_line: bool
    is_resumed: bool = False
    stream_id: str = ""
    last_event_id: str | None = None


class OutputUnknown(msgspec.Struct, frozen=True):
    """The events before ``last_event_id`` are not all known, so the turn could not be stored.

    ``known_events`` is the number of events that are known of the stream; ``None`` if the stream
    itself is not.
    """

    known_events: int | None
    last_event_id: str | None
