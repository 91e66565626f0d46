"""Sends one request to backends until one of them answers.

Owns the order of the steps: choose a backend, send, wait for capacity, retry. The steps are
decided elsewhere: the choice in ``relay.backend_choice``, the wait in ``relay.request_wait``, and
one attempt and whether another one may follow in ``relay.attempt``.
"""

from collections.abc import Awaitable, Callable

import anyio
import msgspec

from passlane.decisions.backends.health import stall_limit_s
from passlane.decisions.backends.registry import BackendLoad, ServiceHealth
from passlane.decisions.failure.retry_after import LATE_LIST_RETRY_S, retry_after_outage_s
from passlane.decisions.order.capacity_queue import RetryPermit
from passlane.decisions.placement.stream_versions import is_list_late, restrict_to_origin
from passlane.errors import Verdict
from passlane.relay.attempt import AttemptSender, Deliver
from passlane.relay.attempt_history import AttemptHistory
from passlane.relay.backend_choice import ChoiceInputs, backend_selector, evaluate_health
from passlane.relay.context import RequestContext
from passlane.relay.end_reasons import RequestEndReason
from passlane.relay.request_errors import Refusal, RequestFailedError, RequestRefusedError
from passlane.relay.request_wait import RequestWait

AdmitRerun = Callable[[float], Awaitable[None]]
"""Admits another run before a deadline; raises ``RequestFailedError`` when it is refused."""


class RequestAttempts:
    """Sends one request to backends until one of them answers.

    Parameters
    ----------
    body
        The body for backends: the history of the turn, followed by the call's own body.
    history
        Records the results of the attempts.
    admit_rerun
        Called before the request is sent again after a run that broke off.
    used_last
        The instance that the request's program used last; empty if unknown.
    assigned
        The instance at which a slot is assigned to the request; empty without one.
    """

    def __init__(
        self,
        context: RequestContext,
        body: bytes,
        history: AttemptHistory,
        admit_rerun: AdmitRerun,
        used_last: str = "",
        assigned: str = "",
    ) -> None:
        self._context = context
        self._history = history
        self._admit_rerun = admit_rerun
        self._backend_selector = backend_selector(
            context, history, used_last=used_last, assigned=assigned
        )
        self._sender = AttemptSender(context, body, history)
        self._wait = RequestWait(context, history)

    @property
    def room_wait_s(self) -> float:
        """Seconds that the request has waited for backend capacity."""
        return self._wait.waited_s

    async def run(self, limit_at: float, deliver: Deliver) -> None:
        """Send the request until an answer was delivered.

        Raises
        ------
        RequestRefusedError
            When no backend accepted the request, or too many engines ended under it.
        RequestFailedError
            When it may have run and cannot be sent again.
        """
        permit: RetryPermit | None = None
        while True:
            health = await self._allowed_backends()
            now = anyio.current_time()
            load = self._choose(ChoiceInputs(health, permit, limit_at, now))
            if load is None:
                permit = await self._wait.wait_for_permit(health, limit_at)
                continue
            permit = None
            self._context.require_not_refused(self._history.verdict)
            runs_before = self._history.runs
            if await self._send(load, stall_limit_s(health.typical_s), limit_at, deliver):
                return
            if self._history.runs > runs_before:
                await self._context.require_allowed(self._history.verdict)
                await self._admit_rerun(limit_at)

    def _evaluate_health(self, now: float) -> ServiceHealth:
        """Return the health of the backends that may serve the next attempt.

        Raises
        ------
        RequestRefusedError, RequestFailedError
            When no engine of the software version of the caller's stream is left.
        """
        origin = self._history.origin
        health = evaluate_health(self._context, now)
        if origin is None:
            return health
        allowed = restrict_to_origin(health, origin)
        if not allowed.loads:
            leaving = self._context.registry.just_draining(origin.service, now)
            allowed = restrict_to_origin(msgspec.structs.replace(health, loads=leaving), origin)
        if allowed.loads:
            return allowed
        if self._history.verdict is not Verdict.NOT_RUN:
            raise RequestFailedError(RequestEndReason.NO_FURTHER_ENGINE_OF_VERSION)
        recent = self._context.registry.recent_versions(origin.service, now)
        retry_after_s = LATE_LIST_RETRY_S if is_list_late(origin, recent) else None
        raise RequestRefusedError(Refusal.of(RequestEndReason.NO_ENGINE_OF_VERSION, retry_after_s))

    @property
    def _begins_resumable_stream(self) -> bool:
        return self._context.route.is_resumable and self._history.origin is None

    async def _allowed_backends(self) -> ServiceHealth:
        """Return the health of the backends that may serve the next attempt.

        A resumable stream begins only at a version that the store group has recorded.

        Raises
        ------
        RequestRefusedError, RequestFailedError
            When no engine of the software version of the caller's stream is left, or the store
            group did not record the version of any.
        """
        health = self._evaluate_health(anyio.current_time())
        if not self._begins_resumable_stream:
            return health
        versions, route = self._context.versions, self._context.route
        allowed = versions.restrict(health, route)
        if len(allowed.loads) < len(health.loads):
            await versions.announce(route, self._context.service.name)
            health = self._evaluate_health(anyio.current_time())
            allowed = versions.restrict(health, route)
        if allowed.loads or not health.loads:
            return allowed
        if self._history.verdict is not Verdict.NOT_RUN:
            raise RequestFailedError(RequestEndReason.NO_FURTHER_ENGINE_OF_VERSION)
        retry_after_s = retry_after_outage_s(self._context.quota.store_outage_s)
        reason = RequestEndReason.VERSIONS_NOT_RECORDED
        raise RequestRefusedError(Refusal.of(reason, retry_after_s))

    def _choose(self, inputs: ChoiceInputs) -> BackendLoad | None:
        """Choose the backend for the next attempt; ``None`` to wait for capacity.

        A request that has waited makes one attempt for each retry permit.
        """
        if inputs.permit is None and self._wait.has_waited:
            return None
        load = self._backend_selector.choose(inputs)
        if load is None and inputs.permit is not None:
            self._wait.record_refused()
        return load

    async def _send(
        self, load: BackendLoad, stalled_after_s: float, limit_at: float, deliver: Deliver
    ) -> bool:
        """Send the request to one backend, and record what the attempt shows of its capacity."""
        instance_id = load.record.incarnation
        avoided_before = load.avoid_until
        started_at = anyio.current_time()
        is_delivered = False
        try:
            is_delivered = await self._sender.send(load, stalled_after_s, limit_at, deliver)
        finally:
            now = anyio.current_time()
            # All requests to the backend share this mark: a failure of another one counts as well.
            is_broken = load.avoid_until > avoided_before
            if is_broken:
                self._record_lost_attempt(instance_id, now)
        if is_delivered:
            self._wait.record_end(now)
            waits, route = self._context.waits, self._context.route
            waits.record_answer(instance_id, route.name, now - started_at)
        elif not is_broken:
            self._record_refused(instance_id, now)
        return is_delivered

    def _record_lost_attempt(self, instance_id: str, now: float) -> None:
        self._wait.record_lost_attempt()
        plain = self._context.waits.queue.plain
        if plain is not None:
            plain.record_broken(instance_id, now)

    def _record_refused(self, instance_id: str, now: float) -> None:
        self._wait.record_refused()
        plain = self._context.waits.queue.plain
        if plain is not None:
            plain.record_refused(instance_id, now)
