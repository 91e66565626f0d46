"""Finds out which engines ended while they ran a request, and refuses requests that go on so.

Owns what this node knows: the ends that its own attempts saw, the requests that the leader of the
store group refuses, and the broken attempts whose engine may be gone. The counts are decided in
``decisions.failure.engine_ends``; the leader has those of all nodes.

An engine is gone if its address refuses connections, if another engine answers there, or if the
list drops it within ``FATE_WINDOW_S`` without naming it as draining. An engine that breaks an
answer off and accepts connections lives until one of these shows; a path that is cut shows none.

Log lines: ``engine_checked``, ``engine_end_counted``, ``refused_requests_changed``,
``engine_ends_not_reported``.
"""

import enum
from collections.abc import Iterable

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.failure.engine_ends import EngineEndCounts
from passlane.errors import PasslaneError
from passlane.messages.engine_ends import EngineEnd
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.turns import TurnStoreFound
from passlane.observability.logging import get_logger
from passlane.relay.backends import BackendReach, RelayBackends
from passlane.turns.client import TurnStoreClient

MAX_OBSERVATION_S = 0.15
"""Time for which a broken attempt waits until the end of its engine is counted; its caller, or the
next attempt, waits as long. The observation itself goes on."""
FATE_WINDOW_S = 10.0
"""Time after a broken attempt during which its engine may be found to be gone; the list names
engines that have crashed for some seconds."""
CHECK_INTERVAL_S = 0.25
"""Interval at which the list is searched for engines whose fate is unknown."""
GONE_RETENTION_S = 30.0
"""Time for which an engine is known to be gone, so that it is not checked again."""
MAX_UNRESOLVED = 1_000
"""Broken attempts whose engine's fate is unknown; the oldest give way."""
REPORT_TIMEOUT_S = 3.0
REPORT_RETRY_DELAY_S = 0.1
MAX_UNREPORTED = 5_000
"""Bounds memory while the store group doesn't answer; the oldest give way."""
MAX_REPORT_DELAY_S = 30.0
"""Time after which ends that could not be reported are dropped; this node still counts them."""
FIRST_ANSWER_TIMEOUT_S = 0.3
"""Time after the start during which requests wait until the refused ones are known; a store group
that starts at the same moment takes longer, and does not hold up requests that don't need it."""
RETRY_INTERVAL_S = 1.0
"""Interval between requests for the refused requests while the store group doesn't answer them."""

_log = get_logger(__name__)


class EndEvidence(enum.StrEnum):
    """What shows that an engine is gone."""

    REFUSED_CONNECTION = "refused_connection"
    OTHER_INSTANCE = "other_instance"
    NOT_LISTED = "not_listed"


class _BrokenAttempt(msgspec.Struct, frozen=True):
    """A broken attempt whose engine may be gone; times are local."""

    request_key: str
    instance: str
    broken_at: float


class _GoneEngine(msgspec.Struct, frozen=True):
    """An engine that is gone, and the local time at which this was found out."""

    evidence: EndEvidence
    found_at: float


class EngineEndWatch:
    """Counts engines that ended under requests of this node, and knows the refused requests.

    Parameters
    ----------
    tasks
        Task group for observations and reports, which outlive a request.
    """

    def __init__(
        self,
        backends: RelayBackends,
        registry: BackendRegistry,
        store: TurnStoreClient,
        tasks: TaskGroup,
    ) -> None:
        self._backends = backends
        self._registry = registry
        self._store = store
        self._tasks = tasks
        self._own = EngineEndCounts()
        self._refused_until: dict[str, float] = {}
        self._revision = ""
        self._known: anyio.Event | None = None
        self._started_at = anyio.current_time()
        self._gone: dict[str, _GoneEngine] = {}
        self._checks: dict[str, anyio.Event] = {}
        self._unresolved: list[_BrokenAttempt] = []
        self._unreported: dict[EngineEnd, None] = {}
        self._is_reporting = False
        self._report_ended = anyio.Event()

    async def run(self) -> None:
        """Follow the refused requests and search the list for ended engines, until cancelled."""
        self._known = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_refused)
            tasks.start_soon(self._search_list)

    # The refused requests.

    @property
    def has_refused(self) -> bool:
        """Whether any request is refused; else there is no need to identify one."""
        return bool(self._refused_until)

    async def wait_until_known(self) -> None:
        """Shortly after the start, wait until the refused requests are known."""
        if self._known is None or self._known.is_set():
            return
        with anyio.CancelScope(deadline=self._started_at + FIRST_ANSWER_TIMEOUT_S):
            await self._known.wait()

    def refused_for_s(self, request_key: str) -> float | None:
        """Return for how many seconds a request is refused; ``None`` if it may be sent."""
        until = self._refused_until.get(request_key)
        if until is None:
            return None
        remaining_s = until - anyio.current_time()
        return remaining_s if remaining_s > 0 else None

    async def _follow_refused(self) -> None:
        while True:
            try:
                found = await self._store.wait_for_refused(self._revision)
            except PasslaneError as error:
                _log.info("refused_requests_unknown", code=error.code.value)
                await anyio.sleep(RETRY_INTERVAL_S)
                continue
            if not found.refused_revision:
                # A leader of an older build answers at once, without them.
                await anyio.sleep(RETRY_INTERVAL_S)
                continue
            self._apply(found)

    def _apply(self, found: TurnStoreFound) -> None:
        """Take over the refused requests of the leader, beside those that only this node counts."""
        if not found.refused_revision:
            return
        now = anyio.current_time()
        before = len(self._refused_until)
        own = {ended.request_key: ended.keep_until_s for ended in self._own.refused()}
        stored = {refused.request_key: now + refused.remaining_s for refused in found.refused}
        self._refused_until = own | stored
        if self._revision != found.refused_revision:
            _log.info(
                "refused_requests_changed",
                count=len(self._refused_until),
                before=before,
                revision=found.refused_revision,
            )
        self._revision = found.refused_revision
        if self._known is not None:
            self._known.set()

    # Broken attempts.

    async def observe_broken(self, request_key: str, backend: BackendRecord) -> None:
        """Find out whether the engine of a broken attempt is gone; if so, count its end.

        Returns once that is done and reported, or after ``MAX_OBSERVATION_S``.
        """
        is_observed = self._start_observation(request_key, backend)
        with anyio.move_on_after(MAX_OBSERVATION_S):
            await is_observed.wait()

    def observe_silent(self, request_key: str, backend: BackendRecord) -> None:
        """Do the same in the background for an attempt that was given up: its engine was silent.

        A host that is silent does not answer a new connection either, so nothing waits for this.
        """
        self._start_observation(request_key, backend)

    def _start_observation(self, request_key: str, backend: BackendRecord) -> anyio.Event:
        is_observed = anyio.Event()
        broken = _BrokenAttempt(request_key, backend.incarnation, anyio.current_time())
        self._tasks.start_soon(self._observe, broken, backend, is_observed)
        return is_observed

    def record_answer(self, instance: str, sent_at: float) -> None:
        """Record that an engine answered a request sent at ``sent_at``, so it lived then."""
        gone = self._gone.get(instance)
        if gone is not None and gone.found_at < sent_at:
            del self._gone[instance]
        if self._unresolved:
            self._unresolved = [
                broken
                for broken in self._unresolved
                if broken.instance != instance or broken.broken_at > sent_at
            ]

    def record_gone(self, instance: str, evidence: EndEvidence) -> None:
        """Record that an engine is gone; count its end under the attempts that it broke."""
        self._gone[instance] = _GoneEngine(evidence, anyio.current_time())
        found = [broken for broken in self._unresolved if broken.instance == instance]
        if not found:
            return
        self._unresolved = [broken for broken in self._unresolved if broken.instance != instance]
        for broken in found:
            self._count(broken, evidence)

    async def _observe(
        self, broken: _BrokenAttempt, backend: BackendRecord, is_observed: anyio.Event
    ) -> None:
        try:
            await self._check(backend)
            gone = self._gone.get(broken.instance)
            if gone is None:
                self._add_unresolved(broken, backend)
                return
            end = self._count(broken, gone.evidence)
            while end in self._unreported:
                await self._report_ended.wait()
        finally:
            is_observed.set()

    async def _check(self, backend: BackendRecord) -> None:
        """Check whether an engine has left the list, or its address refuses connections.

        Attempts that break off together share one check.
        """
        instance = backend.incarnation
        running = self._checks.get(instance)
        if running is not None:
            await running.wait()
            return
        if instance in self._gone:
            return
        if self._has_left_list(instance):
            self.record_gone(instance, EndEvidence.NOT_LISTED)
            return
        self._checks[instance] = anyio.Event()
        try:
            reach = await self._backends.check_reach(backend)
            _log.info(
                "engine_checked",
                service=backend.service,
                instance=instance,
                address=str(backend.address),
                reach=reach.value,
                is_gone=reach is BackendReach.REFUSED,
            )
            if reach is BackendReach.REFUSED:
                self.record_gone(instance, EndEvidence.REFUSED_CONNECTION)
        finally:
            self._checks.pop(instance).set()

    def _add_unresolved(self, broken: _BrokenAttempt, backend: BackendRecord) -> None:
        """Remember an attempt until it is known whether its engine is gone."""
        if backend.state is BackendState.DRAINING:
            # It leaves the list soon in any case, which would show nothing.
            return
        self._unresolved.append(broken)
        del self._unresolved[:-MAX_UNRESOLVED]

    def _count(self, broken: _BrokenAttempt, evidence: EndEvidence) -> EngineEnd:
        """Count the end of an engine under a request, and report it."""
        now = anyio.current_time()
        ended = self._own.record(broken.request_key, broken.instance, now)
        if ended.is_refused:
            self._refused_until.setdefault(broken.request_key, ended.keep_until_s)
        _log.info(
            "engine_end_counted",
            request_key=broken.request_key,
            instance=broken.instance,
            evidence=evidence.value,
            after_s=round(now - broken.broken_at, 3),
            counted_here=len(ended.instances),
            is_refused=ended.is_refused,
        )
        end = EngineEnd(request_key=broken.request_key, instance=broken.instance)
        self._unreported[end] = None
        if len(self._unreported) > MAX_UNREPORTED:
            self._drop_unreported(1)
        if not self._is_reporting:
            self._is_reporting = True
            self._tasks.start_soon(self._report_all)
        return end

    # The list.

    async def _search_list(self) -> None:
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self._expire()
            if self._unresolved and self._registry.updated_at is not None:
                self._resolve_by_list()

    def _has_left_list(self, instance: str) -> bool:
        is_known = self._registry.updated_at is not None
        return is_known and instance not in self._registry.states()

    def _resolve_by_list(self) -> None:
        """Resolve attempts whose engine is no longer listed, or is listed as draining."""
        listed = self._registry.states()
        for instance in {broken.instance for broken in self._unresolved}:
            state = listed.get(instance)
            if state is None:
                self.record_gone(instance, EndEvidence.NOT_LISTED)
            elif state is BackendState.DRAINING:
                self.record_answer(instance, anyio.current_time())

    def _expire(self) -> None:
        now = anyio.current_time()
        self._own.expire(now)
        forgotten_at = now - GONE_RETENTION_S
        for instance in [name for name, gone in self._gone.items() if gone.found_at < forgotten_at]:
            del self._gone[instance]
        for key in [key for key, until in self._refused_until.items() if until <= now]:
            del self._refused_until[key]
        if self._unresolved:
            self._unresolved = [
                broken for broken in self._unresolved if now - broken.broken_at <= FATE_WINDOW_S
            ]

    # Reports.

    async def _report_all(self) -> None:
        """Report ends until there are none; those that arrive meanwhile follow together."""
        failing_since: float | None = None
        try:
            while self._unreported:
                if await self._report(tuple(self._unreported)):
                    failing_since = None
                    continue
                now = anyio.current_time()
                failing_since = failing_since if failing_since is not None else now
                if now - failing_since > MAX_REPORT_DELAY_S:
                    self._drop_unreported(len(self._unreported))
                    return
                await anyio.sleep(REPORT_RETRY_DELAY_S)
        finally:
            self._is_reporting = False

    async def _report(self, ends: tuple[EngineEnd, ...]) -> bool:
        """Report some ends; return whether the store group has them."""
        try:
            found = await self._store.report_engine_ends(ends, timeout_s=REPORT_TIMEOUT_S)
        except PasslaneError as error:
            _log.info("engine_ends_delayed", count=len(ends), code=error.code.value)
            return False
        self._apply(found)
        self._remove_unreported(ends)
        return True

    def _drop_unreported(self, count: int) -> None:
        """Drop the oldest ends that could not be reported."""
        dropped = tuple(self._unreported)[:count]
        _log.warning(
            "engine_ends_not_reported",
            count=count,
            first=dropped[0].request_key,
            kept=len(self._unreported) - count,
        )
        self._remove_unreported(dropped)

    def _remove_unreported(self, ends: Iterable[EngineEnd]) -> None:
        for end in ends:
            self._unreported.pop(end, None)
        self._report_ended.set()
        self._report_ended = anyio.Event()
