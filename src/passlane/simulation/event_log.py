"""The log of a simulated run and its hash, which is the same for the same seed."""

from collections import deque

import anyio
import xxhash

MAX_EVENTS_KEPT = 5_000


class EventLog:
    """Keeps what happened, newest last, and a hash over all of it.

    ``record`` is for what a reader of a failed run wants to see; ``fingerprint`` only adds
    to the hash.
    """

    def __init__(self) -> None:
        self._hash = xxhash.xxh3_128()
        self._events: deque[str] = deque(maxlen=MAX_EVENTS_KEPT)

    def record(self, kind: str, detail: str) -> None:
        """Keep one event at the present time."""
        line = f"{_now():12.6f} {kind:<12} {detail}"
        self._events.append(line)
        self._hash.update(line.encode())

    def fingerprint(self, detail: str) -> None:
        """Add to the hash without keeping the event."""
        self._hash.update(f"{_now():.6f} {detail}".encode())

    def digest(self) -> str:
        """Return the hash of all that was recorded so far."""
        return self._hash.hexdigest()

    def newest(self, count: int) -> list[str]:
        """Return the newest events, oldest first."""
        return list(self._events)[-count:]


def _now() -> float:
    try:
        return anyio.current_time()
    except anyio.NoEventLoopError:
        return 0.0
