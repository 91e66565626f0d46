"""Checks a policy before it is accepted: parse, top level, and a dry run.

The dry run asks each function about recorded calls and programs: short and long ones,
first and late turns, with and without sub-agents, and names that no policy can know.
"""

from dataclasses import dataclass

from passlane.identifiers import ProgramId, TenantId
from passlane.policy.compiled import FUNCTION_NAMES, CompiledPolicy, PolicyError
from passlane.policy.evaluator import PolicyEvaluator
from passlane.policy.facts import CallFacts, ProgramFacts, TenantFacts

MAX_SOURCE_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class PolicyProblem:
    """Why a policy can't be accepted; ``line`` counts from 1 where it is known."""

    message: str
    line: int | None = None

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        return self.message if self.line is None else f"line {self.line}: {self.message}"


def check_policy(source: str, max_steps: int) -> list[PolicyProblem]:
    """Return the problems of a policy; an empty list if it may be accepted."""
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
    errors = [evaluator.classify(facts).problem for facts in _RECORDED_CALLS]
    errors += [evaluator.budget(facts).problem for facts in _RECORDED_PROGRAMS]
    errors += [evaluator.share(facts).problem for facts in _RECORDED_TENANTS]
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
_RECORDED_CALLS = tuple(
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
_RECORDED_PROGRAMS = tuple(
    ProgramFacts(
        tenant=tenant,
        program=ProgramId("dispute-1"),
        asked_tokens=asked,
        asked_calls=asked // 1_000,
        asked_money_micros=asked * 10,
        is_sub_agent=is_sub_agent,
    )
    for tenant in _TENANTS
    for asked, is_sub_agent in ((0, False), (200_000, False), (5_000, True))
)
_RECORDED_TENANTS = tuple(TenantFacts(tenant=tenant, service="disputes") for tenant in _TENANTS)
