"""Policies: validation before acceptance, evaluation, and fallback on errors."""

import unittest
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from passlane.configuration.documents import DocumentKind, PolicyBody, ServiceBody, TenantBody
from passlane.configuration.files import load_document_files
from passlane.configuration.parsing import parse_body
from passlane.identifiers import ProgramId, TenantId
from passlane.messages.common import Amounts
from passlane.policy.active_policies import ActivePolicies
from passlane.policy.checking import check_policy
from passlane.policy.compiled import CompiledPolicy
from passlane.policy.evaluator import PolicyEvaluator
from passlane.policy.facts import CallFacts, ProgramFacts

EXAMPLES = Path(__file__).parents[2] / "examples" / "policies"
MAX_STEPS = 20_000
TENANT = TenantId("shop")


@dataclass
class Configuration:
    tenants: dict = field(default_factory=dict)
    services: dict = field(default_factory=dict)
    policies: dict = field(default_factory=dict)


def configuration(source: str | None) -> Configuration:
    tenant = TenantBody(
        service="disputes",
        default_budget=Amounts(tokens=100, calls=10),
        max_budget=Amounts(tokens=1_000, calls=50, money_micros=5),
    )
    policies = {} if source is None else {"p": PolicyBody(source=source)}
    return Configuration({TENANT: tenant}, {"disputes": ServiceBody(policy="p")}, policies)


def facts(**changes) -> CallFacts:
    return CallFacts(**{"tenant": TENANT, "program": ProgramId("p1"), "model": "m", **changes})


class CheckPolicyTest(unittest.TestCase):
    def test_examples_are_valid(self):
        files = sorted(EXAMPLES.glob("*.star"))
        self.assertEqual(["music-house.star", "topup.star"], [file.name for file in files])
        for file in files:
            self.assertEqual([], check_policy(file.read_text(), MAX_STEPS), file.name)

    def test_example_documents_add_the_policy_to_a_service(self):
        for name, example in (("topup", "amre-topup"), ("music-house", "music-house")):
            drafts = load_document_files(EXAMPLES / f"{name}.toml")
            bodies = {draft.kind: parse_body(draft.kind, draft.body) for draft in drafts}
            self.assertEqual([], check_policy(bodies[DocumentKind.POLICY].source, MAX_STEPS))
            service = bodies[DocumentKind.SERVICE]
            self.assertEqual(name, service.policy)
            existing = [
                parse_body(draft.kind, draft.body)
                for draft in load_document_files(EXAMPLES.parent / example / "configuration.toml")
                if draft.kind is DocumentKind.SERVICE
            ]
            ungoverned = msgspec.structs.replace(service, policy=None)
            self.assertIn(ungoverned, existing, "only the policy is added")

    def test_examples_give_interactive_calls_the_highest_priority(self):
        cases = {
            ("topup", "corner-shop", 0): 0,
            ("topup", "corner-shop", 40): 1,
            ("topup", "head-office", 0): 2,
            ("music-house", "tutor", 0): 0,
            ("music-house", "booking", 0): 1,
        }
        for (name, tenant, sequence), expected in cases.items():
            with self.subTest(name=name, tenant=tenant, sequence=sequence):
                source = (EXAMPLES / f"{name}.star").read_text()
                evaluator = PolicyEvaluator(CompiledPolicy(source, MAX_STEPS))
                call = facts(tenant=TenantId(tenant), sequence=sequence)
                self.assertEqual(expected, evaluator.classify(call).value.service_class)

    def test_invalid_policies_are_rejected_with_the_reason(self):
        loop = "def classify(call):\n  for i in range(100000000):\n    pass\n  return {}"
        deep = "def f(n):\n  return f(n + 1)\ndef classify(call):\n  return f(0)"
        late = (
            "def classify(call):\n  if call['sequence'] > 100:\n    return {'class': 1 // 0}\n"
            "  return {'class': 0}"
        )
        cases = {
            "def f(:": "line 1: Parse error",
            "x = 1": "defines none of",
            "classify = 3": "must be a function",
            "load('other.star', 'x')\ndef classify(c): return {}": "No imports",
            loop: "more than 20000 steps",
            deep: "classify:",
            late: "line 3: classify",
            "def classify(call): return call['secret']": "not found",
            "def classify(call): return {'class': 1.5}": "whole number",
            "def classify(call): return {'class': -1}": "from 0 to 9",
            "def classify(call): return {'weight': 0}": "weight must be from",
            "def classify(call): return {'clas': 1}": "unknown fields: clas",
            "def share(tenant): return True": "must be a number",
            "def budget(program): return {'tokens': -1}": "must not be negative",
            "def budget(program): return {'tokens': 1.5}": "budget:",
            "x = '" + "a" * 70_000 + "'": "longer than",
        }
        for source, expected in cases.items():
            with self.subTest(source[:40]):
                problems = "; ".join(str(item) for item in check_policy(source, MAX_STEPS))
                self.assertIn(expected, problems)


class ActivePoliciesTest(unittest.TestCase):
    def active_policies(self, source: str | None) -> ActivePolicies:
        active_policies = ActivePolicies()
        active_policies.update(configuration(source))
        return active_policies

    def test_budget_is_limited_by_tenant_and_policy(self):
        active_policies = self.active_policies(
            "def budget(program): return {'calls': 20, 'deadline_s': 9.0}"
        )
        program = ProgramFacts(tenant=TENANT, program=ProgramId("p1"))
        requested = Amounts(tokens=5_000, calls=40, money_micros=99)
        decision = active_policies.budget(program, requested)
        self.assertEqual(Amounts(tokens=1_000, calls=20, money_micros=5), decision.budget)
        self.assertEqual(9.0, decision.deadline_s)
        self.assertEqual(
            Amounts(tokens=100, calls=10), active_policies.budget(program, None).budget
        )

    def test_runtime_error_falls_back_to_default_and_is_reported(self):
        active_policies = self.active_policies(
            "def classify(call):\n"
            "  if call['prompt_tokens'] == 77:\n    return {'class': 1 // 0}\n"
            "  return {'class': 0, 'weight': 3.0}\n"
            "def share(tenant): return 2.0"
        )
        self.assertEqual(0, active_policies.classify(facts()).service_class)
        self.assertEqual(6.0, active_policies.classify(facts()).weight)
        for _ in range(3):
            self.assertEqual(1, active_policies.classify(facts(prompt_tokens=77)).service_class)
        problems = active_policies.collect_problems()
        self.assertEqual([("p", 3)], [(item.policy, item.times) for item in problems])
        self.assertIn("zero", problems[0].message)
        self.assertEqual([], active_policies.collect_problems())
        self.assertIn("default", active_policies.explain(facts(prompt_tokens=77)))

    def test_replaced_policy_applies_to_the_next_decision(self):
        active_policies = self.active_policies("def classify(call): return {'class': 0}")
        self.assertEqual(0, active_policies.classify(facts()).service_class)
        active_policies.update(configuration("def classify(call): return {'class': 4}"))
        self.assertEqual(4, active_policies.classify(facts()).service_class)
        active_policies.update(configuration("def f(:"))
        self.assertEqual(1, active_policies.classify(facts()).service_class)
        self.assertEqual(1, len(active_policies.collect_problems()))
        active_policies.update(configuration(None))
        self.assertEqual(1, active_policies.classify(facts(tenant=TenantId("x"))).service_class)

    def test_policy_cannot_change_module_state(self):
        active_policies = self.active_policies(
            "seen = []\ndef classify(call):\n  seen.append(1)\n  return {'class': len(seen)}"
        )
        self.assertEqual(1, active_policies.classify(facts()).service_class)
        self.assertIn("classify", active_policies.collect_problems()[0].message)


if __name__ == "__main__":
    unittest.main()
