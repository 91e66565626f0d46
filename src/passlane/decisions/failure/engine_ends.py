"""Counts the engines that ended while they ran a request, over all attempts at it.

A request may be the cause of these ends, so after ``MAX_ENDED_ENGINES`` of them it is sent to no
further engine until it is forgotten. An end counts once for each start of an engine, whoever
reports it. Owns the counts; who observes an end and who is told is decided in
``relay.engine_ends`` and ``turns.reported_ends``.

Times are in seconds on any clock that does not go back.
"""

from collections.abc import Iterable

import msgspec

MAX_ENDED_ENGINES = 3
"""Engines that may end under one request before it is refused."""
RETENTION_S = 120.0
"""Time after its last end for which a request is remembered: callers repeat a request within
seconds, and a program that was stopped may come back while its turns are stored."""
MAX_REQUESTS = 5_000
"""Bounds memory; requests with the fewest ends give way first."""
_DROPPED_AT_ONCE = MAX_REQUESTS // 10


class EndedUnder(msgspec.Struct, frozen=True):
    """The engines that ended under one request.

    Attributes
    ----------
    instances
        Starts of engines, see ``BackendRecord.incarnation``; at most ``MAX_ENDED_ENGINES``.
    keep_until_s
        Time until which this is remembered.
    """

    request_key: str
    instances: tuple[str, ...]
    keep_until_s: float

    @property
    def is_refused(self) -> bool:
        """Whether the request is sent to no further engine."""
        return len(self.instances) >= MAX_ENDED_ENGINES

    def is_changed_by(self, instance: str) -> bool:
        """Whether the end of an engine is new and still counts."""
        return not self.is_refused and instance not in self.instances


class EngineEndCounts:
    """Engines that ended, by the key of the request (``decisions.failure.request_identity``)."""

    def __init__(self) -> None:
        self._ended: dict[str, EndedUnder] = {}

    def record(self, request_key: str, instance: str, now_s: float) -> EndedUnder:
        """Count an end under a request; return all that is known of it.

        A repeated report, or one of a request that is refused already, changes nothing.
        """
        known = self._ended.get(request_key)
        if known is not None and not known.is_changed_by(instance):
            return known
        instances = known.instances if known is not None else ()
        ended = EndedUnder(request_key, (*instances, instance), now_s + RETENTION_S)
        self._ended[request_key] = ended
        self._drop_excess()
        return ended

    def find(self, request_key: str) -> EndedUnder | None:
        """Return what is known of a request; ``None`` if no engine ended under it."""
        return self._ended.get(request_key)

    def all(self) -> list[EndedUnder]:
        """Return all requests under which engines have ended."""
        return list(self._ended.values())

    def refused(self) -> list[EndedUnder]:
        """Return the requests that are refused."""
        return [ended for ended in self._ended.values() if ended.is_refused]

    def restore(self, stored: Iterable[EndedUnder]) -> None:
        """Add what was stored."""
        self._ended.update({ended.request_key: ended for ended in stored})

    def expire(self, now_s: float) -> None:
        """Forget requests whose retention has passed."""
        if self._ended:
            self._ended = {
                key: ended for key, ended in self._ended.items() if ended.keep_until_s >= now_s
            }

    def _drop_excess(self) -> None:
        """Make room once there are too many requests."""
        if len(self._ended) <= MAX_REQUESTS:
            return
        by_value = sorted(
            self._ended.values(), key=lambda ended: (len(ended.instances), ended.keep_until_s)
        )
        for ended in by_value[:_DROPPED_AT_ONCE]:
            del self._ended[ended.request_key]
