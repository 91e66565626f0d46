"""The answer to a repeat of a call whose outcome is recorded."""

from passlane.messages.node import CallAnswered, CallRefused
from passlane.messages.store import CallRecord


def recorded_answer(call: CallRecord) -> CallAnswered | CallRefused:
    """Return the final event for a caller of a finished call.

    Raises
    ------
    ValueError
        When the call has no outcome.
    """
    outcome = call.outcome
    if outcome is None:
        raise ValueError(f"call {call.call_id} has no outcome")
    if outcome.error_code is not None:
        return CallRefused(outcome.error_code, outcome.error_message, outcome.verdict)
    return CallAnswered(
        sequence=call.sequence,
        verdict=outcome.verdict,
        body=outcome.body,
        generated_tokens=0,
        attempts=0,
    )
