"""Chooses the back end for each attempt of one request, and logs what decided.

There are two ways: engines go by the memory of the request's program
(``decisions.placement.request_placement``), plain back ends by soundness, room and expected end
(``decisions.placement.plain_placement``). Relies on the node's registry of back ends.
"""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from passlane.decisions.backends.registry import BackendLoad, ServiceJudgement
from passlane.decisions.order.room_queue import RetryPermit
from passlane.decisions.placement.plain_placement import PlainBackends, PlainCall, PlainView
from passlane.decisions.placement.request_placement import PlacementChoice, choose_backend
from passlane.relay.attempt_history import AttemptHistory
from passlane.relay.attempt_log import (
    AttemptStamp,
    log_engine_choice,
    log_outliers,
    log_plain_choice,
)
from passlane.relay.context import RequestContext


class ChoiceMoment(msgspec.Struct, frozen=True):
    """What a choice goes by, besides the request; times are local.

    Attributes
    ----------
    permit
        The leave to try that the request waited for; ``None`` if it did not wait.
    limit_at
        When the request's time ends.
    """

    judgement: ServiceJudgement
    permit: RetryPermit | None
    limit_at: float
    now: float


class BackendChoice(Protocol):
    """One way to choose."""

    def choose(self, moment: ChoiceMoment) -> BackendLoad | None:
        """Choose the back end for the next attempt; ``None`` to wait for room."""
        ...


def backend_choice(
    context: RequestContext, history: AttemptHistory, *, used_last: str, assigned: str
) -> BackendChoice:
    """Return the way to choose for a request's service.

    Parameters
    ----------
    used_last
        The instance that the request's program used last; empty if unknown.
    assigned
        The instance at which the request has a place; empty if it has none.
    """
    plain = context.waits.room.plain
    if plain is not None:
        return PlainBackendChoice(context, history, plain)
    return EngineBackendChoice(context, history, used_last=used_last, assigned=assigned)


class EngineBackendChoice:
    """Chooses a model engine."""

    def __init__(
        self, context: RequestContext, history: AttemptHistory, *, used_last: str, assigned: str
    ) -> None:
        self._context = context
        self._history = history
        self._key = context.placement_key(used_last, assigned)

    def choose(self, moment: ChoiceMoment) -> BackendLoad | None:
        """Choose the next engine in the request's own order.

        With leave to try, a request that has been to all engines begins its order anew.
        """
        choice = self._choose_untried(moment)
        if choice is None and moment.permit is not None:
            self._history.passed_over.clear()
            choice = self._choose_untried(moment)
        if choice is None:
            return None
        log_engine_choice(choice, self._key, stamp_of(self._context, self._history, moment.now))
        return choice.load

    def _choose_untried(self, moment: ChoiceMoment) -> PlacementChoice | None:
        loads = moment.judgement.loads
        return choose_backend(
            loads,
            self._key,
            self._history.passed_over,
            moment.now,
            moment.judgement.outliers,
            moment.judgement.typical_s,
            _connected(self._context, loads) if self._key.is_plain else frozenset(),
        )


class PlainBackendChoice:
    """Chooses a plain back end; a new request comes behind those that wait."""

    def __init__(
        self, context: RequestContext, history: AttemptHistory, plain: PlainBackends
    ) -> None:
        self._context = context
        self._history = history
        self._plain = plain

    def choose(self, moment: ChoiceMoment) -> BackendLoad | None:
        """Choose the back end with the soonest expected end."""
        permit = moment.permit
        if permit is None and len(self._context.waits.room):
            return None
        choice = self._plain.choose(
            self._view(moment),
            self._call(moment),
            tried=self._history.passed_over if permit is None else (),
            offered=permit.offered if permit is not None else "",
            must_try=permit is not None,
        )
        if choice is None:
            return None
        log_plain_choice(choice, permit, stamp_of(self._context, self._history, moment.now))
        return choice.load

    def _call(self, moment: ChoiceMoment) -> PlainCall:
        route = self._context.route
        gives_up_at = self._context.waits.room.gives_up_at(route.name, moment.limit_at)
        return PlainCall(
            route=route.name,
            runs_once=not route.is_repeatable,
            left_s=gives_up_at - moment.now,
        )

    def _view(self, moment: ChoiceMoment) -> PlainView:
        # Only services without a model are plain here, and their requests have no affinity.
        return PlainView(
            loads=moment.judgement.loads,
            now=moment.now,
            connected=_connected(self._context, moment.judgement.loads),
            outliers=moment.judgement.outliers,
        )


def judge_backends(context: RequestContext, now: float) -> ServiceJudgement:
    """Judge the service's back ends, and log which ones are outliers if that has changed."""
    service = context.service.name
    judgement = context.registry.judge(service, now)
    if judgement.has_changed:
        log_outliers(judgement, request_id=context.call.request_id, service=service)
    return judgement


def stamp_of(context: RequestContext, history: AttemptHistory, now: float) -> AttemptStamp:
    """Return what names the attempt that is about to be made."""
    updated_at = context.registry.updated_at
    return AttemptStamp(
        request_id=context.call.request_id,
        service=context.service.name,
        attempt=len(history.tried) + 1,
        list_age_s=round(now - updated_at, 3) if updated_at is not None else None,
    )


def _connected(context: RequestContext, loads: Sequence[BackendLoad]) -> frozenset[str]:
    """Return the instances to which a connection rests unused."""
    has_idle_connection = context.backends.has_idle_connection
    return frozenset(load.record.incarnation for load in loads if has_idle_connection(load.record))
