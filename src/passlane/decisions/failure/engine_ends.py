"""Counts the engines that ended, or may have, while they ran a request, over all its attempts.

A request may be the cause of these ends. An attempt counts as an end of its engine from the moment
at which it may run until the engine is known to have lived on: while the attempt is under way, and
while its engine's fate is unknown. A request that counts ``MAX_ENDED_ENGINES`` of them is sent to
no further engine. An end counts once for each start of an engine, whoever reports it. Owns the
counts; who observes an engine and who is told is decided in ``relay.engine_ends`` and
``turns.reported_ends``.

Times are in seconds on any clock that does not go back.
"""

from collections.abc import Iterable

import msgspec

MAX_ENDED_ENGINES = 3
"""Engines that may end under one request before it is refused."""
RETENTION_S = 120.0
"""Time after its last change for which a request is remembered: callers repeat a request within
seconds, and a program that was stopped may come back while its turns are stored."""
MAX_HOLD_S = 0.75
"""Time for which a request waits for the fate of engines; an engine that lives is known to by
then, and another leader of the store group may have taken over."""
HOLD_CHECK_INTERVAL_S = 0.05
"""Interval at which a request that waits is checked again."""
DOUBT_RETRY_AFTER_S = 1.0
"""Time after which the fate of an engine that answers is known; longer if its host is silent."""
MAX_REQUESTS = 5_000
"""Bounds memory; requests with the fewest ends give way first."""
_DROPPED_AT_ONCE = MAX_REQUESTS // 10


class EndedUnder(msgspec.Struct, frozen=True):
    """The engines that ended, or may have ended, under one request.

    Attributes
    ----------
    instances
        Starts of engines that ended, see ``BackendRecord.incarnation``; at most
        ``MAX_ENDED_ENGINES``.
    keep_until_s
        Time until which this is remembered.
    unknown
        Starts of engines whose fate is unknown; at most ``MAX_ENDED_ENGINES``.
    running
        Attempts that may be under way.
    """

    request_key: str
    instances: tuple[str, ...]
    keep_until_s: float
    unknown: tuple[str, ...] = ()
    running: tuple[str, ...] = ()

    @property
    def is_refused(self) -> bool:
        """Whether so many engines are known to have ended that it is sent to no further one."""
        return len(self.instances) >= MAX_ENDED_ENGINES

    @property
    def is_doubtful(self) -> bool:
        """Whether it is sent to no further engine until the fate of some engine is known."""
        return not self.is_refused and self.possible_ends >= MAX_ENDED_ENGINES

    @property
    def possible_ends(self) -> int:
        """Number of engines that ended or whose fate is unknown."""
        return len({*self.instances, *self.unknown})

    @property
    def is_empty(self) -> bool:
        """Whether nothing counts against the request."""
        return not (self.instances or self.unknown or self.running)

    def is_changed_by(self, instance: str) -> bool:
        """Whether the end of an engine is new and still counts."""
        return not self.is_refused and instance not in self.instances

    def allows(self, attempts: Iterable[str], attempt: str) -> bool:
        """Whether an attempt may begin beside others that may be under way."""
        others = {*self.running, *attempts} - {attempt}
        return self.possible_ends + len(others) < MAX_ENDED_ENGINES


class EngineEndCounts:
    """Engines that ended, by the key of the request (``decisions.failure.request_identity``).

    Attributes
    ----------
    revision
        Grows whenever the set of requests that are refused or doubtful may have changed.
    """

    def __init__(self) -> None:
        self._ended: dict[str, EndedUnder] = {}
        self.revision = 0

    @property
    def is_empty(self) -> bool:
        """Whether nothing counts against any request."""
        return not self._ended

    def record(self, request_key: str, instance: str, now_s: float) -> EndedUnder:
        """Count an end under a request; return all that is known of it.

        A repeated report, or one of a request that is refused already, changes nothing.
        """
        known = self._known(request_key, now_s)
        if not known.is_changed_by(instance):
            return known
        return self._replace(
            known,
            instances=(*known.instances, instance),
            unknown=_without(known.unknown, instance),
            keep_until_s=now_s + RETENTION_S,
        )

    def record_unknown(self, request_key: str, instance: str, now_s: float) -> EndedUnder:
        """Count an engine whose fate is unknown; return all that is known of the request."""
        known = self._known(request_key, now_s)
        is_known = instance in known.instances or instance in known.unknown
        if is_known or len(known.unknown) >= MAX_ENDED_ENGINES:
            return known
        unknown = (*known.unknown, instance)
        return self._replace(known, unknown=unknown, keep_until_s=now_s + RETENTION_S)

    def record_alive(self, request_key: str, instance: str) -> None:
        """Count an engine of unknown fate no longer: it lived on after the attempt."""
        known = self._ended.get(request_key)
        if known is not None and instance in known.unknown:
            self._replace(known, unknown=_without(known.unknown, instance))

    def begin_attempt(self, request_key: str, attempt: str, now_s: float) -> None:
        """Count an attempt that may be under way from now on."""
        known = self._known(request_key, now_s)
        if attempt not in known.running:
            running = (*known.running, attempt)
            self._replace(known, running=running, keep_until_s=now_s + RETENTION_S)

    def end_attempt(self, request_key: str, attempt: str) -> None:
        """Count an attempt no longer that is not under way."""
        known = self._ended.get(request_key)
        if known is not None and attempt in known.running:
            self._replace(known, running=_without(known.running, attempt))

    def find(self, request_key: str) -> EndedUnder | None:
        """Return what is known of a request; ``None`` if nothing counts against it."""
        return self._ended.get(request_key)

    def all(self) -> list[EndedUnder]:
        """Return all requests against which something counts."""
        return list(self._ended.values())

    def refused(self) -> list[EndedUnder]:
        """Return the requests that are sent to no further engine, doubtful ones included."""
        return [ended for ended in self._ended.values() if ended.is_refused or ended.is_doubtful]

    def restore(self, stored: Iterable[EndedUnder]) -> None:
        """Add what was stored."""
        self._ended.update({ended.request_key: ended for ended in stored})
        self.revision += 1

    def expire(self, now_s: float) -> None:
        """Forget requests whose retention has passed."""
        if self._ended:
            self._ended = {
                key: ended for key, ended in self._ended.items() if ended.keep_until_s >= now_s
            }

    def _known(self, request_key: str, now_s: float) -> EndedUnder:
        return self._ended.get(request_key) or EndedUnder(request_key, (), now_s + RETENTION_S)

    def _replace(
        self,
        known: EndedUnder,
        *,
        instances: tuple[str, ...] | None = None,
        unknown: tuple[str, ...] | None = None,
        running: tuple[str, ...] | None = None,
        keep_until_s: float | None = None,
    ) -> EndedUnder:
        """Store a changed record, or drop one that counts nothing any more."""
        changed = EndedUnder(
            known.request_key,
            known.instances if instances is None else instances,
            known.keep_until_s if keep_until_s is None else keep_until_s,
            known.unknown if unknown is None else unknown,
            known.running if running is None else running,
        )
        if (changed.is_refused, changed.is_doubtful) != (known.is_refused, known.is_doubtful):
            self.revision += 1
        if changed.is_empty:
            self._ended.pop(known.request_key, None)
            return changed
        self._ended[known.request_key] = changed
        self._drop_excess()
        return changed

    def _drop_excess(self) -> None:
        """Make room once there are too many requests."""
        if len(self._ended) <= MAX_REQUESTS:
            return
        by_value = sorted(
            self._ended.values(),
            key=lambda ended: (len(ended.instances), ended.possible_ends, ended.keep_until_s),
        )
        for ended in by_value[:_DROPPED_AT_ONCE]:
            del self._ended[ended.request_key]


def _without(names: tuple[str, ...], removed: str) -> tuple[str, ...]:
    return tuple(name for name in names if name != removed)
