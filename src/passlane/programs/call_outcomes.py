"""Recorded outcomes of a call: the amounts spent and the turns added to the history."""

from passlane.errors import ErrorCode, Verdict
from passlane.messages.common import Amounts
from passlane.messages.store import CallKind, CallOutcome, Turn
from passlane.programs.call_plan import CallPlan


def ran_outcome(plan: CallPlan, body: str, generated_tokens: int) -> CallOutcome:
    """Return the outcome of a call that was answered with ``body``.

    ``generated_tokens`` includes what failed attempts may have generated; the spent tokens are
    capped at the reservation.
    """
    spent = Amounts(
        tokens=min(plan.new_prompt_tokens + generated_tokens, plan.reserve.tokens),
        calls=1,
        money_micros=plan.price_micros,
    )
    return CallOutcome(verdict=Verdict.RAN, body=body, spent=spent)


def failed_outcome(plan: CallPlan, verdict: Verdict, code: ErrorCode, message: str) -> CallOutcome:
    """Return the outcome of a failure; unless nothing ran, the whole reservation is spent."""
    spent = Amounts() if verdict is Verdict.NOT_RUN else plan.reserve
    return CallOutcome(verdict=verdict, error_code=code, error_message=message, spent=spent)


def answer_turns(plan: CallPlan, outcome: CallOutcome) -> tuple[Turn, ...]:
    """Return the turns that the outcome adds to the program's history."""
    if outcome.verdict is not Verdict.RAN:
        return ()
    if plan.kind is CallKind.MODEL:
        return (Turn(role="assistant", content=outcome.body),)
    return (Turn(role="tool", content=outcome.body, name=plan.target),)
