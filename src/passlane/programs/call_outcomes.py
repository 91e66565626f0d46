"""Outcomes of a call as they are recorded: what it spent and what it adds to the history."""

from passlane.errors import ErrorCode, Verdict
from passlane.messages.common import Amounts
from passlane.messages.store import CallKind, CallOutcome, Turn
from passlane.programs.call_plan import CallPlan


def ran_outcome(plan: CallPlan, body: str, generated_tokens: int) -> CallOutcome:
    """Return the outcome of a call that brought its answer ``body``.

    ``generated_tokens`` are all that engines may have generated, in attempts that broke off as
    well; they count as far as they are reserved.
    """
    spent = Amounts(
        tokens=min(plan.new_prompt_tokens + generated_tokens, plan.reserve.tokens),
        calls=1,
        money_micros=plan.price_micros,
    )
    return CallOutcome(verdict=Verdict.RAN, body=body, spent=spent)


def failed_outcome(plan: CallPlan, verdict: Verdict, code: ErrorCode, message: str) -> CallOutcome:
    """Return the outcome of a failure; what may have run counts as spent."""
    spent = Amounts() if verdict is Verdict.NOT_RUN else plan.reserve
    return CallOutcome(verdict=verdict, error_code=code, error_message=message, spent=spent)


def answer_turns(plan: CallPlan, outcome: CallOutcome) -> tuple[Turn, ...]:
    """Return what the outcome adds to the program's history."""
    if outcome.verdict is not Verdict.RAN:
        return ()
    if plan.kind is CallKind.MODEL:
        return (Turn(role="assistant", content=outcome.body),)
    return (Turn(role="tool", content=outcome.body, name=plan.target),)
