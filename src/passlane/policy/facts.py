"""Inputs and results of policies as typed values.

A policy receives each input as a Starlark dictionary with these field names.
"""

import msgspec

from passlane.identifiers import ProgramId, TenantId


class CallFacts(msgspec.Struct, frozen=True):
    """A call, the input of the policy function ``classify(call)``.

    Attributes
    ----------
    sequence
        Number of the call in its program, from 0.
    prompt_tokens, max_tokens
        Estimated length of the prompt, and maximum number of generated tokens.
    spent_tokens, budget_tokens
        Tokens that the program has spent so far, and its budget.
    is_sub_agent
        Whether another program started this one.
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
    """A new program, the input of the policy function ``budget(program)``.

    ``asked_*`` are the amounts that the caller requested; 0 for unspecified ones.
    """

    tenant: TenantId
    program: ProgramId
    asked_tokens: int = 0
    asked_calls: int = 0
    asked_money_micros: int = 0
    is_sub_agent: bool = False


class TenantFacts(msgspec.Struct, frozen=True):
    """A tenant, the input of the policy function ``share(tenant)``."""

    tenant: TenantId
    service: str = ""


class CallDecision(msgspec.Struct, frozen=True):
    """Result of ``classify``: the priority class (0 is the highest) and the weight in it."""

    service_class: int = 1
    weight: float = 1.0


class ProgramLimits(msgspec.Struct, frozen=True):
    """Result of ``budget``: the limits of the program; ``None`` means no limit.

    ``deadline_s`` bounds the lifetime of the program in seconds; ``tool_pause_s`` is the
    usual duration of its tool calls in seconds.
    """

    tokens: int | None = None
    calls: int | None = None
    money_micros: int | None = None
    deadline_s: float | None = None
    tool_pause_s: float | None = None


DEFAULT_CALL_DECISION = CallDecision()
DEFAULT_PROGRAM_LIMITS = ProgramLimits()
DEFAULT_SHARE = 1.0
"""Decisions for functions that a policy does not define or that fail."""
