"""What policies are told and what they decide, as typed values.

A policy sees each value as a Starlark dictionary with the field names given here.
"""

import msgspec

from passlane.identifiers import ProgramId, TenantId


class CallFacts(msgspec.Struct, frozen=True):
    """A call, as the policy's ``classify(call)`` sees it.

    Attributes
    ----------
    sequence
        Number of the call in its program, from 0.
    prompt_tokens, max_tokens
        Estimated length of the prompt, and most tokens that may be generated.
    spent_tokens, budget_tokens
        What the program has spent so far, and may spend in all.
    is_sub_agent
        Whether the program was started by another.
    """

    tenant: TenantId
    program: ProgramId
    model: str
    sequence: int = 0
    prompt_tokens: int = 0
    max_tokens: int = 0
    spent_tokens: int = 0
    budget_tokens: int = 0
    is_sub_agent: bool = False


class ProgramFacts(msgspec.Struct, frozen=True):
    """A new program, as the policy's ``budget(program)`` sees it.

    ``asked_*`` is what the caller asked for; 0 for what it left open.
    """

    tenant: TenantId
    program: ProgramId
    asked_tokens: int = 0
    asked_calls: int = 0
    asked_money_micros: int = 0
    is_sub_agent: bool = False


class TenantFacts(msgspec.Struct, frozen=True):
    """A tenant, as the policy's ``share(tenant)`` sees it."""

    tenant: TenantId
    service: str = ""


class CallDecision(msgspec.Struct, frozen=True):
    """Answer to ``classify``: class 0 is served first; ``weight`` shares within a class."""

    service_class: int = 1
    weight: float = 1.0


class ProgramLimits(msgspec.Struct, frozen=True):
    """Answer to ``budget``: the most that the program may have; ``None`` sets no limit here.

    ``deadline_s`` bounds the program's life in seconds; ``tool_pause_s`` is how long
    its tools usually take.
    """

    tokens: int | None = None
    calls: int | None = None
    money_micros: int | None = None
    deadline_s: float | None = None
    tool_pause_s: float | None = None


DEFAULT_CALL_DECISION = CallDecision()
DEFAULT_PROGRAM_LIMITS = ProgramLimits()
DEFAULT_SHARE = 1.0
"""Decisions where a policy says nothing or fails."""
