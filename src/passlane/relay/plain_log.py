"""The log line of a choice among plain back ends: what decided, and how old that was."""

from passlane.decisions.order.room_queue import RetryPermit
from passlane.decisions.placement.plain_placement import PlainChoice
from passlane.observability.logging import get_logger

_log = get_logger(__name__)


def log_plain_choice(
    choice: PlainChoice,
    turn: RetryPermit | None,
    *,
    request_id: str,
    attempt: int,
    list_age_s: float | None,
) -> None:
    """Log which plain back end was chosen, and by what.

    Parameters
    ----------
    turn
        The turn that the request waited for; ``None`` if it did not wait.
    """
    age_s = choice.refusal_age_s
    _log.info(
        "plain_backend_chosen",
        request_id=request_id,
        service=choice.load.record.service,
        instance=choice.load.record.instance_id,
        attempt=attempt,
        candidates=choice.candidates,
        has_turn=turn is not None,
        offered=turn.offered if turn is not None else None,
        in_flight=choice.load.in_flight,
        is_unsound=choice.rank.is_unsound,
        is_beyond_subset=choice.rank.is_beyond_subset,
        expected_s=round(choice.rank.expected_s, 4),
        refusal_chance=round(choice.refusal_chance, 3),
        refusal_age_s=round(age_s, 4) if age_s is not None else None,
        slowness=round(choice.slowness, 2),
        typical_s=round(choice.typical_s, 4),
        list_age_s=list_age_s,
    )
