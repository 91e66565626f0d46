"""Finds out which engines ended while they ran a request.

Owns the ends that this node's own attempts saw, the engines that are known to be gone, and the
broken attempts whose engine may be. Each end is reported by ``relay.end_reports``; what follows
from the counts is decided in ``decisions.failure.engine_ends``.

An engine is gone if its address refuses connections, if another engine answers there, or if the
list drops it within ``FATE_WINDOW_S`` without naming it as draining. An engine that breaks an
answer off and accepts connections lives until one of these shows; a path that is cut shows none.

Log lines: ``engine_checked``, ``engine_end_counted``.
"""

import enum

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.failure.engine_ends import EngineEndCounts
from passlane.messages.engine_ends import EngineEnd
from passlane.messages.listing import BackendRecord, BackendState, IncarnationId
from passlane.observability.logging import get_logger
from passlane.relay.backends import RelayBackends
from passlane.relay.end_reports import EndReports
from passlane.relay.refused_requests import RefusedRequests
from passlane.runtime.reach import BackendReach

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
    """Counts engines that ended under requests of this node.

    Parameters
    ----------
    refused
        Gets the requests that are refused by this node's own count.
    tasks
        Task group for observations, which outlive a request.
    """

    def __init__(
        self,
        backends: RelayBackends,
        registry: BackendRegistry,
        refused: RefusedRequests,
        reports: EndReports,
        tasks: TaskGroup,
    ) -> None:
        self._backends = backends
        self._registry = registry
        self._refused = refused
        self._reports = reports
        self._tasks = tasks
        self._own = EngineEndCounts()
        self._gone: dict[str, _GoneEngine] = {}
        self._checks: dict[str, anyio.Event] = {}
        self._unresolved: list[_BrokenAttempt] = []

    async def run(self) -> None:
        """Search the list for ended engines until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self._expire()
            if self._unresolved and self._registry.updated_at is not None:
                self._resolve_by_list()

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
            await self._reports.wait_until_reported(self._count(broken, gone.evidence))
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
            self._refused.add_own(broken.request_key, ended.keep_until_s)
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
        self._reports.add(end)
        return end

    # The list.

    def _has_left_list(self, instance: str) -> bool:
        is_known = self._registry.updated_at is not None
        return is_known and self._registry.state_of(IncarnationId(instance)) is None

    def _resolve_by_list(self) -> None:
        """Resolve attempts whose engine is no longer listed, or is listed as draining."""
        for instance in {broken.instance for broken in self._unresolved}:
            state = self._registry.state_of(IncarnationId(instance))
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
        self._refused.expire(now)
        if self._unresolved:
            self._unresolved = [
                broken for broken in self._unresolved if now - broken.broken_at <= FATE_WINDOW_S
            ]
