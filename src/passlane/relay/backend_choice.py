"""Chooses the backend for each attempt of one request, and logs the inputs of the choice.

Engines are chosen by the prefix cache of the request's program and by load
(``decisions.placement.request_placement``), plain backends by health, capacity and expected end
(``decisions.placement.plain_placement``). Relies on the node's registry of backends.
"""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from passlane.decisions.backends.registry import BackendLoad, ServiceHealth
from passlane.decisions.order.capacity_queue import RetryPermit
from passlane.decisions.placement.plain_placement import PlainBackends, PlainCall, PlainView
from passlane.decisions.placement.request_placement import PlacementChoice, choose_backend
from passlane.relay.attempt_history import AttemptHistory
from passlane.relay.attempt_log import (
    AttemptLabels,
    log_engine_choice,
    log_outliers,
    log_plain_choice,
)
from passlane.relay.context import RequestContext


class ChoiceInputs(msgspec.Struct, frozen=True):
    """Inputs of a choice besides the request; times are local.

    Attributes
    ----------
    permit
        The retry permit of a request that has waited; ``None`` if it did not wait.
    limit_at
        Deadline of the request.
    """

    health: ServiceHealth
    permit: RetryPermit | None
    limit_at: float
    now: float


class BackendSelector(Protocol):
    """Chooses backends of one kind."""

    def choose(self, inputs: ChoiceInputs) -> BackendLoad | None:
        """Choose the backend for the next attempt; ``None`` to wait for capacity."""
        ...


def backend_selector(
    context: RequestContext, history: AttemptHistory, *, used_last: str, assigned: str
) -> BackendSelector:
    """Return the selector for a request's service.

    Parameters
    ----------
    used_last
        The instance that the request's program used last; empty if unknown.
    assigned
        The instance at which a slot is assigned to the request; empty without one.
    """
    plain = context.waits.queue.plain
    if plain is not None:
        return PlainSelector(context, history, plain)
    return EngineSelector(context, history, used_last=used_last, assigned=assigned)


class EngineSelector:
    """Chooses a model engine."""

    def __init__(
        self, context: RequestContext, history: AttemptHistory, *, used_last: str, assigned: str
    ) -> None:
        self._context = context
        self._history = history
        self._key = context.placement_key(used_last, assigned)

    def choose(self, inputs: ChoiceInputs) -> BackendLoad | None:
        """Choose the next engine in the order of preference.

        1. Engines that were tried in this round are excluded.
        2. If all were tried, a retry permit starts a new round; without a permit the request waits.
        """
        choice = self._choose_untried(inputs)
        if choice is None and inputs.permit is not None:
            self._history.excluded.clear()
            choice = self._choose_untried(inputs)
        if choice is None:
            return None
        log_engine_choice(
            choice, self._key, next_attempt_labels(self._context, self._history, inputs.now)
        )
        return choice.load

    def _choose_untried(self, inputs: ChoiceInputs) -> PlacementChoice | None:
        loads = inputs.health.loads
        return choose_backend(
            loads,
            self._key,
            self._history.excluded,
            inputs.now,
            inputs.health.outliers,
            inputs.health.typical_s,
            _idle_connected(self._context, loads) if self._key.is_plain else frozenset(),
        )


class PlainSelector:
    """Chooses a plain backend, which is not a model engine."""

    def __init__(
        self, context: RequestContext, history: AttemptHistory, plain: PlainBackends
    ) -> None:
        self._context = context
        self._history = history
        self._plain = plain

    def choose(self, inputs: ChoiceInputs) -> BackendLoad | None:
        """Choose the backend with the earliest expected end.

        1. A request without a permit waits behind the requests that already wait.
        2. Without a permit, backends that were tried in this round are excluded, and the request
           waits if the best of the others is probably full.
        3. With a permit, the request tries the offered backend if it is healthy, else the best
           one, even if that is probably full.
        """
        permit = inputs.permit
        if permit is None and len(self._context.waits.queue):
            return None
        choice = self._plain.choose(
            self._view(inputs),
            self._call(inputs),
            tried=self._history.excluded if permit is None else (),
            offered=permit.offered if permit is not None else "",
            must_try=permit is not None,
        )
        if choice is None:
            return None
        log_plain_choice(
            choice, permit, next_attempt_labels(self._context, self._history, inputs.now)
        )
        return choice.load

    def _call(self, inputs: ChoiceInputs) -> PlainCall:
        route = self._context.route
        abandon_at = self._context.waits.queue.gives_up_at(route.name, inputs.limit_at)
        return PlainCall(
            route=route.name,
            runs_once=not route.is_repeatable,
            left_s=abandon_at - inputs.now,
        )

    def _view(self, inputs: ChoiceInputs) -> PlainView:
        # Plain services have no model, so their requests have no affinity.
        return PlainView(
            loads=inputs.health.loads,
            now=inputs.now,
            connected=_idle_connected(self._context, inputs.health.loads),
            outliers=inputs.health.outliers,
        )


def evaluate_health(context: RequestContext, now: float) -> ServiceHealth:
    """Judge the service's backends, and log the outliers if they have changed."""
    service = context.service.name
    health = context.registry.evaluate_health(service, now)
    if health.has_changed:
        log_outliers(health, request_id=context.call.request_id, service=service)
    return health


def next_attempt_labels(
    context: RequestContext, history: AttemptHistory, now: float
) -> AttemptLabels:
    """Return the log labels of the next attempt."""
    updated_at = context.registry.updated_at
    return AttemptLabels(
        request_id=context.call.request_id,
        service=context.service.name,
        attempt=len(history.tried) + 1,
        list_age_s=round(now - updated_at, 3) if updated_at is not None else None,
    )


def _idle_connected(context: RequestContext, loads: Sequence[BackendLoad]) -> frozenset[str]:
    """Return the instances with an idle connection."""
    has_idle_connection = context.backends.has_idle_connection
    return frozenset(load.record.incarnation for load in loads if has_idle_connection(load.record))
