"""Validates a policy before it is accepted: parsing, top level, and a dry run.

The dry run calls each function with sample calls, programs and tenants: short and long
prompts, first and later calls, sub-agents, and tenants that the policy may not handle.
"""

from dataclasses import dataclass

from passlane.identifiers import ProgramId, TenantId
from passlane.policy.compiled import FUNCTION_NAMES, CompiledPolicy, PolicyError
from passlane.policy.evaluator import PolicyEvaluator
from passlane.policy.facts import CallFacts, ProgramFacts, TenantFacts

MAX_SOURCE_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class PolicyProblem:
    """A reason to reject a policy; ``line`` starts at 1 and is ``None`` if unknown."""

    message: str
    line: int | None = None

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        return self.message if self.line is None else f"line {self.line}: {self.message}"


def check_policy(source: str, max_steps: int) -> list[PolicyProblem]:
    """Return the problems of a policy, or an empty list if it is valid."""
    if len(source.encode()) > MAX_SOURCE_BYTES:
        return [PolicyProblem(f"the source is longer than {MAX_SOURCE_BYTES} bytes")]
    try:
        policy = CompiledPolicy(source, max_steps)
    except PolicyError as error:
        return [PolicyProblem(error.message, error.line)]
    if not any(policy.defines(name) for name in FUNCTION_NAMES):
        return [PolicyProblem(f"defines none of {', '.join(FUNCTION_NAMES)}")]
    return _dry_run(PolicyEvaluator(policy))


def describe_policy_problems(source: str, max_steps: int) -> list[str]:
    """Return the problems of a policy as lines of text."""
    return [str(problem) for problem in check_policy(source, max_steps)]


def _dry_run(evaluator: PolicyEvaluator) -> list[PolicyProblem]:
    errors = [evaluator.classify(facts).problem for facts in _SAMPLE_CALLS]
    errors += [evaluator.budget(facts).problem for facts in _SAMPLE_PROGRAMS]
    errors += [evaluator.share(facts).problem for facts in _SAMPLE_TENANTS]
    problems: list[PolicyProblem] = []
    for error in errors:
        if error is None:
            continue
        problem = PolicyProblem(error.message, error.line)
        if problem not in problems:
            problems.append(problem)
    return problems


_TENANTS = tuple(
    TenantId(name) for name in ("tienda-rosa", "farmacia-centro", "muscat", "head-office", "")
)
_SAMPLE_CALLS = tuple(
    CallFacts(
        tenant=tenant,
        program=ProgramId("dispute-1"),
        model="agent",
        sequence=sequence,
        prompt_tokens=prompt_tokens,
        max_tokens=256,
        spent_tokens=sequence * prompt_tokens,
        budget_tokens=budget_tokens,
        is_sub_agent=sequence == 1,
    )
    for tenant in _TENANTS
    for sequence, prompt_tokens, budget_tokens in (
        (0, 0, 0),
        (1, 800, 200_000),
        (7, 4_200, 200_000),
        (469, 200_000, 2_000_000),
    )
)
_SAMPLE_PROGRAMS = tuple(
    ProgramFacts(
        tenant=tenant,
        program=ProgramId("dispute-1"),
        asked_tokens=requested,
        asked_calls=requested // 1_000,
        asked_money_micros=requested * 10,
        is_sub_agent=is_sub_agent,
    )
    for tenant in _TENANTS
    for requested, is_sub_agent in ((0, False), (200_000, False), (5_000, True))
)
_SAMPLE_TENANTS = tuple(TenantFacts(tenant=tenant, service="disputes") for tenant in _TENANTS)
