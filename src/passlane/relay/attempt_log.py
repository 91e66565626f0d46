"""Writes the log lines of one request's attempts: the inputs of each choice, and their age."""

import msgspec

from passlane.decisions.backends.registry import BackendLoad, ServiceHealth
from passlane.decisions.failure.resending import RetryDecision
from passlane.decisions.order.capacity_queue import RetryPermit
from passlane.decisions.placement.plain_placement import PlainChoice
from passlane.decisions.placement.request_placement import PlacementChoice, PlacementKey
from passlane.observability.logging import get_logger
from passlane.relay.backends import BackendAnswer
from passlane.runtime.interfaces import HttpConnectionError

_log = get_logger(__name__)


class AttemptLabels(msgspec.Struct, frozen=True):
    """The request and the attempt that a log line belongs to.

    Attributes
    ----------
    attempt
        Number of the attempt, from 1.
    list_age_s
        Seconds since the list of backends was last confirmed; ``None`` without a list.
    """

    request_id: str
    service: str
    attempt: int
    list_age_s: float | None = None


def log_outliers(health: ServiceHealth, *, request_id: str, service: str) -> None:
    """Log which backends are outliers; decided in ``decisions.backends.health``."""
    _log.info(
        "outliers_changed",
        request_id=request_id,
        service=service,
        outliers=sorted(health.outliers),
        before=sorted(health.outliers_before),
    )


def log_engine_choice(choice: PlacementChoice, key: PlacementKey, labels: AttemptLabels) -> None:
    """Log which engine was chosen; decided in ``decisions.placement.request_placement``."""
    _log.info(
        "backend_chosen",
        request_id=labels.request_id,
        service=labels.service,
        instance=choice.load.record.incarnation,
        software_version=choice.load.record.software_version,
        attempt=labels.attempt,
        candidates=choice.candidates,
        in_flight=choice.load.in_flight,
        is_outlier=choice.rank.is_outlier,
        is_avoided=choice.rank.is_avoided,
        long_queue=choice.rank.long_queue,
        is_without_part=choice.rank.is_without_part,
        shared_part=key.shared_part,
        short_queue=choice.rank.short_queue,
        needs_connection=choice.rank.needs_connection,
        used_last=key.used_last,
        assigned=key.assigned,
        typical_s=round(choice.typical_s, 4),
        list_age_s=labels.list_age_s,
    )


def log_plain_choice(
    choice: PlainChoice, permit: RetryPermit | None, labels: AttemptLabels
) -> None:
    """Log which plain backend was chosen; decided in ``decisions.placement.plain_placement``.

    Parameters
    ----------
    permit
        The retry permit of a request that has waited; ``None`` if it did not wait.
    """
    age_s = choice.refusal_age_s
    _log.info(
        "plain_backend_chosen",
        request_id=labels.request_id,
        service=choice.load.record.service,
        instance=choice.load.record.incarnation,
        attempt=labels.attempt,
        candidates=choice.candidates,
        # Whether the request waited and received a permit for this attempt.
        has_turn=permit is not None,
        offered=permit.offered if permit is not None else None,
        in_flight=choice.load.in_flight,
        is_unsound=choice.rank.is_unhealthy,
        is_beyond_subset=choice.rank.is_beyond_subset,
        expected_s=round(choice.rank.expected_s, 4),
        refusal_chance=round(choice.refusal_chance, 3),
        refusal_age_s=round(age_s, 4) if age_s is not None else None,
        slowness=round(choice.slowness, 2),
        typical_s=round(choice.typical_s, 4),
        list_age_s=labels.list_age_s,
    )


def log_backend_refusal(answer: BackendAnswer, load: BackendLoad, labels: AttemptLabels) -> None:
    """Log how a backend reported that it did not run the request."""
    refusal = answer.head.refusal
    _log.info(
        "backend_refused",
        request_id=labels.request_id,
        instance=load.record.incarnation,
        attempt=labels.attempt,
        status=answer.head.status,
        refusal=refusal.value if refusal is not None else None,
    )


def log_broken_attempt(
    error: HttpConnectionError,
    next_step: RetryDecision,
    load: BackendLoad,
    labels: AttemptLabels,
    request_key: str,
) -> None:
    """Log how an attempt broke off, and what follows (``decisions.failure.resending``).

    ``request_key`` is the same in all attempts at one request, whatever their ids.
    """
    _log.info(
        "attempt_broke_off",
        request_id=labels.request_id,
        service=labels.service,
        instance=load.record.incarnation,
        attempt=labels.attempt,
        reason=str(error),
        request_key=request_key,
        may_have_run=error.bytes_left,
        next_step=next_step.value,
    )


def log_untrusted_answer(answer: BackendAnswer, load: BackendLoad, labels: AttemptLabels) -> None:
    """Log an answer that is not trusted as one to this request."""
    _log.warning(
        "backend_answer_untrusted",
        request_id=labels.request_id,
        instance=load.record.incarnation,
        attempt=labels.attempt,
        status=answer.head.status,
        is_authentic=answer.head.is_authentic,
    )
