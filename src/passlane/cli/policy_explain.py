"""Command ``policy explain``: what a tenant's policy decides about a call and a program."""

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

EXPLAINED_PROGRAM = ProgramId("explained")
NUMBER_OPTIONS = {
    "sequence": "Number of the call in its program.",
    "prompt-tokens": "Tokens of the prompt.",
    "max-tokens": "Most tokens to generate.",
    "spent-tokens": "What the program has spent.",
    "budget-tokens": "What the program may spend.",
}


class PolicyExplanation(msgspec.Struct, frozen=True):
    """What governs a tenant and what it decides; ``policy`` is ``None`` if nothing does.

    Class 0 is served first; ``weight`` shares within a class. ``budget``,
    ``deadline_s`` and ``tool_pause_s`` are those of a new program that asks for nothing.
    ``problems`` says where a default stands in for a policy that failed.
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
class Documents:
    """The tenant's documents, as the policies of a node take them (``PolicySource``)."""

    tenants: dict[TenantId, TenantBody] = field(default_factory=dict)
    services: dict[str, ServiceBody] = field(default_factory=dict)
    policies: dict[str, PolicyBody] = field(default_factory=dict)

    def add(self, name: str, body: DocumentBody) -> None:
        """Take in one document; kinds that no policy needs are left out."""
        match body:
            case TenantBody():
                self.tenants[TenantId(name)] = body
            case ServiceBody():
                self.services[name] = body
            case PolicyBody():
                self.policies[name] = body


class PolicyExplainCommand(OperatorCommand):
    """Explains what the policy that governs a tenant decides."""

    name = "policy explain"
    description = "Shows which policy governs a tenant and what it decides about a call."
    arguments: ClassVar[list[Argument]] = [argument("tenant", "Name of the tenant.")]
    extra_options: ClassVar[list[Option]] = [
        option("file", "f", "Document file to explain instead of what is recorded.", flag=False),
        option("model", None, "Model of the call.", flag=False, default="agent"),
        option("sub-agent", None, "The program was started by another.", flag=True),
        *(
            option(name, None, text, flag=False, default="0")
            for name, text in NUMBER_OPTIONS.items()
        ),
    ]

    def execute_command(self) -> ExitCode:
        """Explain a file's documents without a server, or else the recorded ones."""
        path = self.option("file")
        if path is None:
            return super().execute_command()
        documents = Documents()
        for draft in load_document_files(Path(path)):
            documents.add(draft.name, parse_body(draft.kind, draft.body))
        return self._explain(documents)

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Read the tenant, its service and its policy, in their newest versions."""
        documents = Documents()
        tenant = await _read(client, documents, DocumentKind.TENANT, self.argument("tenant"))
        if isinstance(tenant, TenantBody):
            service = await _read(client, documents, DocumentKind.SERVICE, tenant.service)
            if isinstance(service, ServiceBody) and service.policy is not None:
                await _read(client, documents, DocumentKind.POLICY, service.policy)
        return self._explain(documents)

    def _explain(self, documents: Documents) -> ExitCode:
        tenant_id = TenantId(self.argument("tenant"))
        tenant = documents.tenants.get(tenant_id)
        if tenant is None:
            raise PasslaneError(ErrorCode.NOT_FOUND, f"there is no tenant {tenant_id!r}")
        service = documents.services.get(tenant.service)
        explanation = self._decide(documents, tenant_id, tenant, service)
        if self.wants_json:
            self.show_json(explanation)
        else:
            self.show_lines(_describe(explanation))
        return ExitCode.INVALID if explanation.problems else ExitCode.OK

    def _decide(
        self,
        documents: Documents,
        tenant_id: TenantId,
        tenant: TenantBody,
        service: ServiceBody | None,
    ) -> PolicyExplanation:
        facts = importlib.import_module("passlane.policy.facts")
        governor = importlib.import_module("passlane.policy.active_policies").ActivePolicies()
        governor.update(documents)
        is_sub_agent = bool(self.option("sub-agent"))
        call = governor.classify(
            facts.CallFacts(
                tenant=tenant_id,
                program=EXPLAINED_PROGRAM,
                model=self.option("model"),
                is_sub_agent=is_sub_agent,
                **self._numbers(),
            )
        )
        program = governor.budget(
            facts.ProgramFacts(
                tenant=tenant_id, program=EXPLAINED_PROGRAM, is_sub_agent=is_sub_agent
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
            problems=_problems(governor, tenant, service, documents.policies),
        )

    def _numbers(self) -> dict[str, int]:
        numbers: dict[str, int] = {}
        for name in NUMBER_OPTIONS:
            text = self.option(name)
            if not text.isdecimal():
                raise PasslaneError(ErrorCode.BAD_REQUEST, f"--{name} is a whole number from 0")
            numbers[name.replace("-", "_")] = int(text)
        return numbers


async def _read(
    client: OperatorClient, documents: Documents, kind: DocumentKind, name: str
) -> DocumentBody | None:
    """Add the newest version of a document, if there is one, and return its body."""
    view = await client.read_document(kind, name)
    if view is None:
        return None
    body = parse_body(kind, bytes(view.body).decode())
    documents.add(name, body)
    return body


def _problems(
    governor: Any,
    tenant: TenantBody,
    service: ServiceBody | None,
    policies: Mapping[str, PolicyBody],
) -> tuple[str, ...]:
    if service is None:
        return (f"there is no service {tenant.service!r}",)
    if service.policy is not None and service.policy not in policies:
        return (f"there is no policy {service.policy!r}",)
    return tuple(f"{report.policy}: {report.message}" for report in governor.collect_problems())


def _describe(explanation: PolicyExplanation) -> list[str]:
    policy = explanation.policy
    governed = "no policy: defaults hold" if policy is None else f"policy {policy}"
    budget = explanation.budget
    lines = [
        f"tenant {explanation.tenant}, service {explanation.service}, {governed}",
        f"call: class {explanation.service_class}, weight {explanation.weight:g}",
        f"new program: {budget.tokens} tokens, {budget.calls} calls, "
        f"{budget.money_micros} money_micros, deadline {_seconds(explanation.deadline_s)}, "
        f"tool pause {_seconds(explanation.tool_pause_s)}",
    ]
    return lines + [f"problem: {problem}" for problem in explanation.problems]


def _seconds(value: float | None) -> str:
    return "not set" if value is None else f"{value:g} s"
