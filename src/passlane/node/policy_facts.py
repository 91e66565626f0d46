"""What policies are told about the programs that this node leads."""

from passlane.identifiers import ProgramId, TenantId
from passlane.messages.common import Amounts
from passlane.node.led_program import LedProgram
from passlane.policy.facts import CallFacts, ProgramFacts

DEFAULT_PAUSE_S = 5.0
"""Usual pause between the model calls of a program, where its policy names none."""


def call_facts(program: LedProgram, model: str, sequence: int, max_tokens: int) -> CallFacts:
    """Return what a policy is told of a model call."""
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
    tenant_id: TenantId, program_id: ProgramId, asked: Amounts, *, is_sub_agent: bool
) -> ProgramFacts:
    """Return what a policy is told of a program and what its caller asked for."""
    return ProgramFacts(
        tenant=tenant_id,
        program=program_id,
        asked_tokens=asked.tokens,
        asked_calls=asked.calls,
        asked_money_micros=asked.money_micros,
        is_sub_agent=is_sub_agent,
    )
