"""Facts about programs and calls of this node that are passed to policies."""

from passlane.identifiers import ProgramId, TenantId
from passlane.messages.common import Amounts
from passlane.node.led_program import LedProgram
from passlane.policy.facts import CallFacts, ProgramFacts

DEFAULT_PAUSE_S = 5.0
"""Expected pause between two model calls of a program, if its policy sets none."""


def call_facts(program: LedProgram, model: str, sequence: int, max_tokens: int) -> CallFacts:
    """Return the facts about a model call."""
    return CallFacts(
        tenant=program.tenant_id,
        program=program.program_id,
        model=model,
        sequence=sequence,
        prompt_tokens=program.prompt_tokens,
        max_tokens=max_tokens,
        spent_tokens=program.spent_tokens,
        budget_tokens=program.budget.tokens,
        is_sub_agent=program.parent_id is not None,
    )


def program_facts(
    tenant_id: TenantId, program_id: ProgramId, requested: Amounts, *, is_sub_agent: bool
) -> ProgramFacts:
    """Return the facts about a program and the budget that its caller requested."""
    return ProgramFacts(
        tenant=tenant_id,
        program=program_id,
        asked_tokens=requested.tokens,
        asked_calls=requested.calls,
        asked_money_micros=requested.money_micros,
        is_sub_agent=is_sub_agent,
    )
