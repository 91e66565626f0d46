"""Finds out which engines ended while they ran a request, or may have.

Owns the engines that are known to be gone, and the attempts whose engine's fate is unknown: those
that broke off, whose caller left, whose time was over, or that were answered with an error. Such an
attempt counts as an end until its engine has answered a request sent ``LIFE_PROOF_DELAY_S`` after
it, and is reported as such by ``relay.end_reports``; what follows from the counts is decided in
``decisions.failure.engine_ends``.

An engine is gone if its address refuses connections, if another engine answers there, or if the
list drops it within ``FATE_WINDOW_S`` without naming it as draining. Engines that answer no other
request meanwhile are asked for their health.

Log lines: ``engine_fate_unknown``, ``engine_checked``, ``engine_end_counted``, ``engine_lived_on``.
"""

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.failure.engine_ends import RETENTION_S
from passlane.messages.engine_ends import AttemptFate, EngineEnd
from passlane.messages.listing import BackendRecord, BackendState
from passlane.observability.logging import get_logger
from passlane.relay.backends import RelayBackends
from passlane.relay.end_reports import EndReports
from passlane.relay.observed_attempts import (
    SHOWN_BY,
    EndEvidence,
    LifeEvidence,
    ObservedAttempt,
    UnknownFate,
    UnresolvedAttempt,
)
from passlane.relay.refused_requests import RefusedRequests
from passlane.runtime.reach import LIFE_PROOF_DELAY_S, BackendReach
from passlane.supervision.contained import run_contained

MAX_OBSERVATION_S = 0.15
"""Time for which a broken attempt waits until what is known of its engine is counted; its caller
waits as long. The observation itself goes on."""
FATE_WINDOW_S = 10.0
"""Time after an attempt during which its engine may be found to have ended under it; the list names
engines that have crashed for some seconds."""
RESOLUTION_INTERVAL_S = 0.1
"""Interval at which attempts of unknown fate are looked at."""
MAX_CHECK_INTERVAL_S = 8.0
"""Longest interval between two checks of an engine; the first ones double."""
GONE_RETENTION_S = 30.0
"""Time for which an engine is known to be gone, so that it is not checked again."""
MAX_UNRESOLVED = 1_000
"""Attempts whose engine's fate is unknown; the oldest give way and are counted as they are."""
_log = get_logger(__name__)


class _GoneEngine(msgspec.Struct, frozen=True):
    """An engine that is gone, and the local time at which this was found out."""

    evidence: EndEvidence
    found_at: float


class _Checks(msgspec.Struct):
    """The checks of one engine: when the next is due, and the interval after it."""

    next_at: float
    interval_s: float = LIFE_PROOF_DELAY_S
    is_running: bool = False


class EngineEndWatch:
    """Counts engines that ended, or may have, under requests of this node.

    Parameters
    ----------
    refused
        Has the counts of this node.
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
        self._own = refused.own
        self._gone: dict[str, _GoneEngine] = {}
        self._reach_checks: dict[str, anyio.Event] = {}
        self._checks: dict[str, _Checks] = {}
        self._unresolved: list[UnresolvedAttempt] = []
        self._drained: set[str] = set()

    async def run(self) -> None:
        """Find out the fate of engines until cancelled."""
        while True:
            await anyio.sleep(RESOLUTION_INTERVAL_S)
            self._expire()
            if not self._unresolved:
                continue
            if self._registry.updated_at is not None:
                self._resolve_by_list()
            self._start_due_checks()

    # Attempts.

    async def observe_broken(self, attempt: ObservedAttempt) -> None:
        """Count the engine of a broken attempt until its fate is known; check whether it is gone.

        Returns once that is done and reported, or after ``MAX_OBSERVATION_S``.
        """
        unresolved = self._add_unresolved(attempt, UnknownFate.BROKE_OFF)
        is_observed = anyio.Event()
        self._tasks.start_soon(run_contained, self._observe, unresolved, is_observed)
        with anyio.move_on_after(MAX_OBSERVATION_S):
            await is_observed.wait()

    def observe_ended(self, attempt: ObservedAttempt, cause: UnknownFate) -> None:
        """Count the engine of an attempt that ended otherwise until its fate is known."""
        self._add_unresolved(attempt, cause)

    def unknown_under(self, request_key: str) -> tuple[str, ...]:
        """Return the starts of engines whose fate is unknown after attempts at a request."""
        found = [u.attempt for u in self._unresolved if u.attempt.request_key == request_key]
        return tuple(dict.fromkeys(attempt.counted_as for attempt in found))

    def record_answer(self, instance: str, sent_at: float) -> None:
        """Record that an engine answered a request sent at ``sent_at``, so it lived then."""
        gone = self._gone.get(instance)
        if gone is not None and gone.found_at < sent_at:
            del self._gone[instance]
        self._record_life(instance, sent_at, LifeEvidence.ANSWERED)

    def record_gone(self, instance: str, evidence: EndEvidence) -> None:
        """Record that an engine is gone; count its end under the attempts that it did not end."""
        now = anyio.current_time()
        self._gone[instance] = _GoneEngine(evidence, now)
        for unresolved in self._take(instance, until=now):
            if now - unresolved.since <= FATE_WINDOW_S:
                self._count(unresolved, evidence)

    async def _observe(self, unresolved: UnresolvedAttempt, is_observed: anyio.Event) -> None:
        attempt = unresolved.attempt
        try:
            await self._check_reach(attempt.backend)
            if attempt.instance in self._gone:
                fact: EngineEnd | AttemptFate = attempt.end
            else:
                fact = attempt.fate(is_alive=False)
            await self._reports.wait_until_reported(fact)
        finally:
            is_observed.set()

    def _add_unresolved(self, attempt: ObservedAttempt, cause: UnknownFate) -> UnresolvedAttempt:
        """Count an attempt until its engine's fate is known; count an end if it is."""
        unresolved = UnresolvedAttempt(attempt, anyio.current_time())
        gone = self._gone.get(attempt.instance)
        if gone is not None:
            self._count(unresolved, gone.evidence)
            return unresolved
        self._own.record_unknown(attempt.request_key, attempt.counted_as, unresolved.since)
        self._reports.add(attempt.fate(is_alive=False))
        self._unresolved.append(unresolved)
        del self._unresolved[:-MAX_UNRESOLVED]
        self._checks.setdefault(attempt.instance, _Checks(unresolved.life_proof_at))
        _log.info(
            "engine_fate_unknown",
            request_key=attempt.request_key,
            service=attempt.backend.service,
            instance=attempt.instance,
            cause=cause.value,
            unresolved=len(self._unresolved),
        )
        return unresolved

    def _take(self, instance: str, until: float) -> list[UnresolvedAttempt]:
        """Remove and return the unresolved attempts of an engine up to a time."""

        def is_taken(unresolved: UnresolvedAttempt) -> bool:
            return unresolved.attempt.instance == instance and unresolved.since <= until

        taken = [unresolved for unresolved in self._unresolved if is_taken(unresolved)]
        if taken:
            self._unresolved = [u for u in self._unresolved if not is_taken(u)]
        if instance in self._checks and not any(
            unresolved.attempt.instance == instance for unresolved in self._unresolved
        ):
            del self._checks[instance]
        return taken

    def _record_life(self, instance: str, seen_at: float, evidence: LifeEvidence) -> None:
        """Resolve the attempts of an engine that lived at a time, if that is late enough."""
        if instance not in self._checks:
            return
        proven = [
            unresolved.since
            for unresolved in self._unresolved
            if unresolved.attempt.instance == instance and unresolved.life_proof_at <= seen_at
        ]
        if not proven:
            return
        for unresolved in self._take(instance, until=max(proven)):
            self._count_alive(unresolved, evidence)

    def _count(self, unresolved: UnresolvedAttempt, evidence: EndEvidence) -> None:
        """Count the end of an engine under a request, and report it."""
        attempt = unresolved.attempt
        now = anyio.current_time()
        ended = self._own.record(attempt.request_key, attempt.counted_as, now)
        _log.info(
            "engine_end_counted",
            request_key=attempt.request_key,
            instance=attempt.instance,
            evidence=evidence.value,
            after_s=round(now - unresolved.since, 3),
            counted_here=len(ended.instances),
            is_refused=ended.is_refused,
        )
        self._reports.add(attempt.end)

    def _count_alive(self, unresolved: UnresolvedAttempt, evidence: LifeEvidence) -> None:
        """Count an engine no longer that lived on, and report it."""
        attempt = unresolved.attempt
        _log.info(
            "engine_lived_on",
            request_key=attempt.request_key,
            instance=attempt.instance,
            evidence=evidence.value,
            after_s=round(anyio.current_time() - unresolved.since, 3),
        )
        if attempt.counted_as in self.unknown_under(attempt.request_key):
            # A later attempt is unresolved still.
            return
        self._own.record_alive(attempt.request_key, attempt.counted_as)
        self._reports.add(attempt.fate(is_alive=True))

    # Checks.

    async def _check_reach(self, backend: BackendRecord) -> None:
        """Check whether an engine has left the list, or its address refuses connections.

        Attempts that break off together share one check.
        """
        instance = backend.incarnation
        running = self._reach_checks.get(instance)
        if running is not None:
            await running.wait()
            return
        if instance in self._gone:
            return
        if self._has_left_list(backend):
            self.record_gone(instance, EndEvidence.NOT_LISTED)
            return
        self._reach_checks[instance] = anyio.Event()
        try:
            self._record_reach(backend, await self._backends.check_reach(backend))
        finally:
            self._reach_checks.pop(instance).set()

    def _start_due_checks(self) -> None:
        """Check the instances whose fate is unknown; each is checked again after a while."""
        now = anyio.current_time()
        newest = {unresolved.attempt.instance: unresolved for unresolved in self._unresolved}
        for instance, checks in self._checks.items():
            if checks.is_running or now < checks.next_at:
                continue
            checks.is_running = True
            self._tasks.start_soon(
                run_contained, self._check_instance, newest[instance].attempt, checks
            )

    async def _check_instance(self, attempt: ObservedAttempt, checks: _Checks) -> None:
        asked_at = anyio.current_time()
        try:
            reach = await self._backends.check_instance(attempt.backend, attempt.health_path)
            self._record_reach(attempt.backend, reach)
            if reach is BackendReach.SAME_INSTANCE:
                self._record_life(attempt.instance, asked_at, LifeEvidence.ANSWERED)
        finally:
            checks.is_running = False
            checks.next_at = anyio.current_time() + checks.interval_s
            checks.interval_s = min(2 * checks.interval_s, MAX_CHECK_INTERVAL_S)

    def _record_reach(self, backend: BackendRecord, reach: BackendReach) -> None:
        evidence = SHOWN_BY.get(reach)
        _log.info(
            "engine_checked",
            service=backend.service,
            instance=backend.incarnation,
            address=str(backend.address),
            reach=reach.value,
            is_gone=evidence is not None,
        )
        if evidence is not None:
            self.record_gone(backend.incarnation, evidence)

    # The list.

    def _has_left_list(self, backend: BackendRecord) -> bool:
        if self._registry.updated_at is None or backend.state is BackendState.DRAINING:
            return False
        return self._registry.state_of(backend.incarnation) is None

    def _resolve_by_list(self) -> None:
        """Resolve attempts whose engine is no longer listed, or is listed as draining."""
        now = anyio.current_time()
        newest = {unresolved.attempt.instance: unresolved for unresolved in self._unresolved}
        for instance, unresolved in newest.items():
            state = self._registry.state_of(unresolved.attempt.backend.incarnation)
            if state is BackendState.DRAINING or unresolved.is_drained:
                self._drained.add(instance)
            if instance in self._drained:
                # It leaves in any case, so its absence from the list shows nothing.
                self._record_life(instance, now, LifeEvidence.DRAINING)
            elif state is None:
                self.record_gone(instance, EndEvidence.NOT_LISTED)

    def _expire(self) -> None:
        now = anyio.current_time()
        forgotten_at = now - GONE_RETENTION_S
        for instance in [name for name, gone in self._gone.items() if gone.found_at < forgotten_at]:
            del self._gone[instance]
        self._refused.expire(now)
        if self._unresolved and now - self._unresolved[0].since > RETENTION_S:
            self._unresolved = [u for u in self._unresolved if now - u.since <= RETENTION_S]
        unresolved_instances = {unresolved.attempt.instance for unresolved in self._unresolved}
        self._drained &= unresolved_instances
        for instance in [name for name in self._checks if name not in unresolved_instances]:
            del self._checks[instance]
