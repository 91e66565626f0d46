"""Policies in force at a node: which one governs a tenant, and what it decides.

The governor is pure: it is told of configurations and of facts, and returns decisions.
Replacing a policy takes effect with the next decision; decisions already made stay.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol, TypeVar

from passlane.configuration.documents import PolicyBody, ServiceBody, TenantBody
from passlane.identifiers import TenantId
from passlane.messages.common import Amounts
from passlane.policy.compiled import CompiledPolicy, PolicyError
from passlane.policy.evaluator import Decision, PolicyEvaluator
from passlane.policy.facts import (
    CallDecision,
    CallFacts,
    ProgramFacts,
    ProgramLimits,
    TenantFacts,
)

MAX_REPORTED_PROBLEMS = 100

Decided = TypeVar("Decided")


class PolicySource(Protocol):
    """The part of the configuration that policies come from, such as a configuration view."""

    @property
    def tenants(self) -> Mapping[TenantId, TenantBody]:
        """Return the tenants."""
        ...

    @property
    def services(self) -> Mapping[str, ServiceBody]:
        """Return the services."""
        ...

    @property
    def policies(self) -> Mapping[str, PolicyBody]:
        """Return the policies."""
        ...


@dataclass(frozen=True, slots=True)
class PolicyProblemReport:
    """A policy that failed and how often the same happened since the last report."""

    policy: str
    message: str
    times: int


@dataclass(frozen=True, slots=True)
class BudgetDecision:
    """Budget and life of a new program."""

    budget: Amounts
    deadline_s: float | None
    tool_pause_s: float | None


@dataclass(frozen=True, slots=True)
class _Governing:
    name: str
    service: str
    evaluator: PolicyEvaluator


class PolicyGovernor:
    """Decides for all tenants by the policies in force."""

    def __init__(self) -> None:
        self._source: PolicySource | None = None
        self._compiled: dict[str, tuple[PolicyBody, PolicyEvaluator]] = {}
        self._problems: Counter[tuple[str, str]] = Counter()

    def update(self, source: PolicySource) -> None:
        """Act on another configuration from now on; unchanged policies stay compiled."""
        self._source = source
        kept: dict[str, tuple[PolicyBody, PolicyEvaluator]] = {}
        for name, body in source.policies.items():
            known = self._compiled.get(name)
            if known is not None and known[0] == body:
                kept[name] = known
                continue
            try:
                kept[name] = (body, PolicyEvaluator(CompiledPolicy(body.source, body.max_steps)))
            except PolicyError as error:
                # Accepted policies were checked; this is an older program's or a newer's.
                self._report(name, error)
        self._compiled = kept

    def classify(self, facts: CallFacts) -> CallDecision:
        """Return class and weight of a call; the tenant's share is counted in."""
        governing = self._governing(facts.tenant)
        if governing is None:
            return CallDecision()
        decision = self._resolved(governing, governing.evaluator.classify(facts))
        tenant = TenantFacts(facts.tenant, governing.service)
        share = self._resolved(governing, governing.evaluator.share(tenant))
        return CallDecision(decision.service_class, decision.weight * share)

    def budget(self, facts: ProgramFacts, asked: Amounts | None) -> BudgetDecision:
        """Return the budget of a new program.

        What the caller asked for, or else the tenant's default, is cut to the tenant's
        maximum and to what the policy allows.
        """
        tenant = self._tenant(facts.tenant)
        limits = ProgramLimits()
        governing = self._governing(facts.tenant)
        if governing is not None:
            limits = self._resolved(governing, governing.evaluator.budget(facts))
        wanted = asked if asked is not None else tenant.default_budget
        return BudgetDecision(
            budget=_smaller(_smaller(wanted, tenant.max_budget), _amounts(limits)),
            deadline_s=limits.deadline_s,
            tool_pause_s=limits.tool_pause_s,
        )

    def explain(self, facts: CallFacts) -> str:
        """Return in a few words which policy governs a call and what it decides."""
        governing = self._governing(facts.tenant)
        if governing is None:
            return "no policy governs the tenant: class 1, weight 1"
        decision = governing.evaluator.classify(facts)
        problem = "" if decision.problem is None else f" (default: {decision.problem.message})"
        return (
            f"policy {governing.name}: class {decision.value.service_class}, "
            f"weight {decision.value.weight:g}{problem}"
        )

    def take_problems(self) -> list[PolicyProblemReport]:
        """Return what went wrong since the last time, for logs and metrics."""
        reports = [
            PolicyProblemReport(policy, message, times)
            for (policy, message), times in self._problems.items()
        ]
        self._problems.clear()
        return reports

    def _governing(self, tenant_id: TenantId) -> _Governing | None:
        if self._source is None:
            return None
        tenant = self._source.tenants.get(tenant_id)
        service = None if tenant is None else self._source.services.get(tenant.service)
        if tenant is None or service is None or service.policy is None:
            return None
        compiled = self._compiled.get(service.policy)
        if compiled is None:
            return None
        return _Governing(service.policy, tenant.service, compiled[1])

    def _tenant(self, tenant_id: TenantId) -> TenantBody:
        known = None if self._source is None else self._source.tenants.get(tenant_id)
        return known or TenantBody(service="")

    def _resolved(self, governing: _Governing, decision: Decision[Decided]) -> Decided:
        if decision.problem is not None:
            self._report(governing.name, decision.problem)
        return decision.value

    def _report(self, policy: str, error: PolicyError) -> None:
        key = (policy, error.message)
        if key in self._problems or len(self._problems) < MAX_REPORTED_PROBLEMS:
            self._problems[key] += 1


def _amounts(limits: ProgramLimits) -> Amounts:
    no_limit = 2**62
    return Amounts(
        tokens=no_limit if limits.tokens is None else limits.tokens,
        calls=no_limit if limits.calls is None else limits.calls,
        money_micros=no_limit if limits.money_micros is None else limits.money_micros,
    )


def _smaller(first: Amounts, second: Amounts) -> Amounts:
    return Amounts(
        tokens=min(first.tokens, second.tokens),
        calls=min(first.calls, second.calls),
        money_micros=min(first.money_micros, second.money_micros),
    )
