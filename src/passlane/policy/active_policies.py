"""The policies in force at a node: selects the policy of a tenant and evaluates it.

Performs no I/O; the caller passes configurations and inputs. A replaced policy applies
from the next decision on; earlier decisions do not change.
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
    """The part of the configuration that policies need, such as a configuration view."""

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
    """An error of a policy, and its number of occurrences since the last report."""

    policy: str
    message: str
    times: int


@dataclass(frozen=True, slots=True)
class BudgetDecision:
    """Budget, deadline and tool pause of a new program."""

    budget: Amounts
    deadline_s: float | None
    tool_pause_s: float | None


@dataclass(frozen=True, slots=True)
class _ApplicablePolicy:
    name: str
    service: str
    evaluator: PolicyEvaluator


class ActivePolicies:
    """Evaluates the policies in force for all tenants."""

    def __init__(self) -> None:
        self._source: PolicySource | None = None
        self._compiled: dict[str, tuple[PolicyBody, PolicyEvaluator]] = {}
        self._problems: Counter[tuple[str, str]] = Counter()

    def update(self, source: PolicySource) -> None:
        """Use another configuration from now on; unchanged policies are not recompiled."""
        self._source = source
        compiled: dict[str, tuple[PolicyBody, PolicyEvaluator]] = {}
        for name, body in source.policies.items():
            previous = self._compiled.get(name)
            if previous is not None and previous[0] == body:
                compiled[name] = previous
                continue
            try:
                compiled[name] = (
                    body,
                    PolicyEvaluator(CompiledPolicy(body.source, body.max_steps)),
                )
            except PolicyError as error:
                # Accepted policies were checked, but perhaps by another version of passlane.
                self._report(name, error)
        self._compiled = compiled

    def classify(self, facts: CallFacts) -> CallDecision:
        """Return the class of a call and its weight, multiplied by the tenant's share."""
        applicable = self._applicable_policy(facts.tenant)
        if applicable is None:
            return CallDecision()
        decision = self._value_of(applicable, applicable.evaluator.classify(facts))
        tenant = TenantFacts(facts.tenant, applicable.service)
        share = self._value_of(applicable, applicable.evaluator.share(tenant))
        return CallDecision(decision.service_class, decision.weight * share)

    def budget(self, facts: ProgramFacts, requested: Amounts | None) -> BudgetDecision:
        """Return the budget of a new program.

        The requested budget, or else the tenant's default, is limited by the maximum of
        the tenant and by the policy.
        """
        tenant = self._tenant(facts.tenant)
        limits = ProgramLimits()
        applicable = self._applicable_policy(facts.tenant)
        if applicable is not None:
            limits = self._value_of(applicable, applicable.evaluator.budget(facts))
        requested_or_default = requested if requested is not None else tenant.default_budget
        return BudgetDecision(
            budget=_minimum(_minimum(requested_or_default, tenant.max_budget), _amounts(limits)),
            deadline_s=limits.deadline_s,
            tool_pause_s=limits.tool_pause_s,
        )

    def explain(self, facts: CallFacts) -> str:
        """Return a short text that names the policy of a call and its decision."""
        applicable = self._applicable_policy(facts.tenant)
        if applicable is None:
            return "no policy governs the tenant: class 1, weight 1"
        decision = applicable.evaluator.classify(facts)
        problem = "" if decision.problem is None else f" (default: {decision.problem.message})"
        return (
            f"policy {applicable.name}: class {decision.value.service_class}, "
            f"weight {decision.value.weight:g}{problem}"
        )

    def collect_problems(self) -> list[PolicyProblemReport]:
        """Return the problems since the last call, for logs and metrics, and clear them."""
        reports = [
            PolicyProblemReport(policy, message, times)
            for (policy, message), times in self._problems.items()
        ]
        self._problems.clear()
        return reports

    def _applicable_policy(self, tenant_id: TenantId) -> _ApplicablePolicy | None:
        if self._source is None:
            return None
        tenant = self._source.tenants.get(tenant_id)
        service = None if tenant is None else self._source.services.get(tenant.service)
        if tenant is None or service is None or service.policy is None:
            return None
        compiled = self._compiled.get(service.policy)
        if compiled is None:
            return None
        return _ApplicablePolicy(service.policy, tenant.service, compiled[1])

    def _tenant(self, tenant_id: TenantId) -> TenantBody:
        tenant = None if self._source is None else self._source.tenants.get(tenant_id)
        return tenant or TenantBody(service="")

    def _value_of(self, applicable: _ApplicablePolicy, decision: Decision[Decided]) -> Decided:
        if decision.problem is not None:
            self._report(applicable.name, decision.problem)
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


def _minimum(first: Amounts, second: Amounts) -> Amounts:
    return Amounts(
        tokens=min(first.tokens, second.tokens),
        calls=min(first.calls, second.calls),
        money_micros=min(first.money_micros, second.money_micros),
    )
