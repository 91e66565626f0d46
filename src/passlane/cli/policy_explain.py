"""Command ``policy explain``: shows a tenant's policy decisions for a call and a program."""

import importlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, ClassVar

import msgspec
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from passlane.cli.client import OperatorClient
from passlane.cli.command import OperatorCommand
from passlane.cli.exit_codes import ExitCode
from passlane.configuration.documents import (
    DocumentBody,
    DocumentKind,
    PolicyBody,
    ServiceBody,
    TenantBody,
)
from passlane.configuration.files import load_document_files
from passlane.configuration.parsing import parse_body
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import ProgramId, TenantId
from passlane.messages.common import Amounts

PLACEHOLDER_PROGRAM_ID = ProgramId("explained")
NUMBER_OPTIONS = {
    "sequence": "Number of the call in its program.",
    "prompt-tokens": "Tokens of the prompt.",
    "max-tokens": "Maximum tokens to generate.",
    "spent-tokens": "Tokens that the program has spent.",
    "budget-tokens": "Token budget of the program.",
}


class PolicyExplanation(msgspec.Struct, frozen=True):
    """Decisions of the policy of a tenant; ``policy`` is ``None`` if the tenant has none.

    Class 0 has the highest priority; ``weight`` sets the share within a class.
    ``budget``, ``deadline_s`` and ``tool_pause_s`` apply to a new program that requests
    no values of its own. ``problems`` lists policy failures for which defaults are used.
    """

    tenant: str
    service: str
    policy: str | None
    service_class: int
    weight: float
    budget: Amounts
    deadline_s: float | None
    tool_pause_s: float | None
    problems: tuple[str, ...]


@dataclass
class TenantDocuments:
    """The tenant's documents; implements the policies' ``PolicySource`` interface."""

    tenants: dict[TenantId, TenantBody] = field(default_factory=dict)
    services: dict[str, ServiceBody] = field(default_factory=dict)
    policies: dict[str, PolicyBody] = field(default_factory=dict)

    def add(self, name: str, body: DocumentBody) -> None:
        """Add a document; ignore kinds that policies do not use."""
        match body:
            case TenantBody():
                self.tenants[TenantId(name)] = body
            case ServiceBody():
                self.services[name] = body
            case PolicyBody():
                self.policies[name] = body


class PolicyExplainCommand(OperatorCommand):
    """Explains the decisions of the policy that applies to a tenant."""

    name = "policy explain"
    description = "Shows the policy that applies to a tenant and its decisions for a call."
    arguments: ClassVar[list[Argument]] = [argument("tenant", "Name of the tenant.")]
    extra_options: ClassVar[list[Option]] = [
        option("file", "f", "Document file to use instead of the recorded documents.", flag=False),
        option("model", None, "Model of the call.", flag=False, default="agent"),
        option("sub-agent", None, "The program was started by another program.", flag=True),
        *(
            option(name, None, text, flag=False, default="0")
            for name, text in NUMBER_OPTIONS.items()
        ),
    ]

    def execute_command(self) -> ExitCode:
        """Use the documents of a file without a server, or else the recorded ones."""
        path = self.option("file")
        if path is None:
            return super().execute_command()
        documents = TenantDocuments()
        for draft in load_document_files(Path(path)):
            documents.add(draft.name, parse_body(draft.kind, draft.body))
        return self._explain(documents)

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Read the tenant, its service and its policy, in their newest versions."""
        documents = TenantDocuments()
        tenant = await _fetch_document(
            client, documents, DocumentKind.TENANT, self.argument("tenant")
        )
        if isinstance(tenant, TenantBody):
            service = await _fetch_document(client, documents, DocumentKind.SERVICE, tenant.service)
            if isinstance(service, ServiceBody) and service.policy is not None:
                await _fetch_document(client, documents, DocumentKind.POLICY, service.policy)
        return self._explain(documents)

    def _explain(self, documents: TenantDocuments) -> ExitCode:
        tenant_id = TenantId(self.argument("tenant"))
        tenant = documents.tenants.get(tenant_id)
        if tenant is None:
            raise PasslaneError(ErrorCode.NOT_FOUND, f"there is no tenant {tenant_id!r}")
        service = documents.services.get(tenant.service)
        explanation = self._evaluate(documents, tenant_id, tenant, service)
        if self.wants_json:
            self.show_json(explanation)
        else:
            self.show_lines(_format_explanation(explanation))
        return ExitCode.INVALID if explanation.problems else ExitCode.OK

    def _evaluate(
        self,
        documents: TenantDocuments,
        tenant_id: TenantId,
        tenant: TenantBody,
        service: ServiceBody | None,
    ) -> PolicyExplanation:
        facts = importlib.import_module("passlane.policy.facts")
        active_policies = importlib.import_module(
            "passlane.policy.active_policies"
        ).ActivePolicies()
        active_policies.update(documents)
        is_sub_agent = bool(self.option("sub-agent"))
        call = active_policies.classify(
            facts.CallFacts(
                tenant=tenant_id,
                program=PLACEHOLDER_PROGRAM_ID,
                model=self.option("model"),
                is_sub_agent=is_sub_agent,
                **self._parse_numbers(),
            )
        )
        program = active_policies.budget(
            facts.ProgramFacts(
                tenant=tenant_id, program=PLACEHOLDER_PROGRAM_ID, is_sub_agent=is_sub_agent
            ),
            None,
        )
        return PolicyExplanation(
            tenant=tenant_id,
            service=tenant.service,
            policy=None if service is None else service.policy,
            service_class=call.service_class,
            weight=call.weight,
            budget=program.budget,
            deadline_s=program.deadline_s,
            tool_pause_s=program.tool_pause_s,
            problems=_collect_problems(active_policies, tenant, service, documents.policies),
        )

    def _parse_numbers(self) -> dict[str, int]:
        numbers: dict[str, int] = {}
        for name in NUMBER_OPTIONS:
            text = self.option(name)
            if not text.isdecimal():
                raise PasslaneError(
                    ErrorCode.BAD_REQUEST, f"--{name} must be a whole number, not {text!r}"
                )
            numbers[name.replace("-", "_")] = int(text)
        return numbers


async def _fetch_document(
    client: OperatorClient, documents: TenantDocuments, kind: DocumentKind, name: str
) -> DocumentBody | None:
    """Add the newest version of a document, if there is one, and return its body."""
    view = await client.read_document(kind, name)
    if view is None:
        return None
    body = parse_body(kind, bytes(view.body).decode())
    documents.add(name, body)
    return body


def _collect_problems(
    active_policies: Any,
    tenant: TenantBody,
    service: ServiceBody | None,
    policies: Mapping[str, PolicyBody],
) -> tuple[str, ...]:
    if service is None:
        return (f"there is no service {tenant.service!r}",)
    if service.policy is not None and service.policy not in policies:
        return (f"there is no policy {service.policy!r}",)
    return tuple(
        f"{report.policy}: {report.message}" for report in active_policies.collect_problems()
    )


def _format_explanation(explanation: PolicyExplanation) -> list[str]:
    policy = explanation.policy
    policy_text = "no policy: defaults hold" if policy is None else f"policy {policy}"
    budget = explanation.budget
    lines = [
        f"tenant {explanation.tenant}, service {explanation.service}, {policy_text}",
        f"call: class {explanation.service_class}, weight {explanation.weight:g}",
        f"new program: {budget.tokens} tokens, {budget.calls} calls, "
        f"{budget.money_micros} money_micros, deadline {_format_seconds(explanation.deadline_s)}, "
        f"tool pause {_format_seconds(explanation.tool_pause_s)}",
    ]
    return lines + [f"problem: {problem}" for problem in explanation.problems]


def _format_seconds(value: float | None) -> str:
    return "not set" if value is None else f"{value:g} s"
