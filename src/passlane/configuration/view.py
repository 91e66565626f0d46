"""The configuration that a node acts on: immutable, parsed, with lookups.

A view also has the changes that are not accepted yet. The node reports their revision,
``held_revision``, as prepared. They take effect together once their revision is accepted. A
view never returns to an older revision.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from passlane.configuration.catch_up import is_applicable, requires_reset
from passlane.configuration.documents import (
    ApplicationBody,
    DocumentBody,
    DocumentKind,
    DrainBody,
    DrainKind,
    EngineBody,
    PolicyBody,
    ServiceBody,
    TenantBody,
    ToolBody,
)
from passlane.configuration.parsing import parse_body, parse_kind
from passlane.errors import PasslaneError
from passlane.identifiers import ApplicationId, EngineId, NodeId, Revision, TenantId
from passlane.messages.control import NO_REVISION, ConfigurationDelta, Document


@dataclass(frozen=True)
class ToolOffer:
    """A tool of one application."""

    application_id: ApplicationId
    application: ApplicationBody
    tool: ToolBody


@dataclass(frozen=True)
class DrainTarget:
    """An engine, application or node that receives no new work; identified by its name."""

    kind: DrainKind
    name: str


@dataclass(frozen=True)
class ConfigurationView:
    """Bodies of the accepted documents by name, and the pending changes.

    Attributes
    ----------
    held_revision
        Newest revision received, pending or accepted; a node reports it as prepared.
    revision_in_force
        The accepted revision that the mappings represent.
    accepted_revision
        Newest revision reported as accepted; ahead of ``revision_in_force`` only while parts
        of a delta are missing.
    floor_revision
        Floor revision of the snapshot that the view is based on; returned when requesting
        the next part.
    unreadable
        Documents that this build cannot parse, as ``kind/name``.
    """

    held_revision: Revision = NO_REVISION
    revision_in_force: Revision = NO_REVISION
    accepted_revision: Revision = NO_REVISION
    floor_revision: Revision = NO_REVISION
    engines: Mapping[EngineId, EngineBody] = field(default_factory=dict)
    applications: Mapping[ApplicationId, ApplicationBody] = field(default_factory=dict)
    tenants: Mapping[TenantId, TenantBody] = field(default_factory=dict)
    services: Mapping[str, ServiceBody] = field(default_factory=dict)
    policies: Mapping[str, PolicyBody] = field(default_factory=dict)
    drains: Mapping[str, DrainBody] = field(default_factory=dict)
    tools: Mapping[str, tuple[ToolOffer, ...]] = field(default_factory=dict)
    draining: frozenset[DrainTarget] = frozenset()
    unreadable: frozenset[str] = frozenset()
    _pending: tuple[Document, ...] = ()
    _is_resetting: bool = False

    def apply_delta(self, delta: ConfigurationDelta) -> "ConfigurationView":
        """Return the view with a delta applied.

        A delta that is stale, leaves a gap or mixes snapshots changes nothing.
        """
        view = self
        if requires_reset(self.held_revision, self.floor_revision, delta):
            view = replace(
                view,
                held_revision=NO_REVISION,
                floor_revision=delta.floor_revision,
                _pending=(),
                _is_resetting=True,
            )
        if not is_applicable(view.held_revision, view.floor_revision, delta):
            return self
        new_documents = tuple(
            document for document in delta.documents if document.revision > view.held_revision
        )
        view = replace(
            view,
            held_revision=max(view.held_revision, delta.to_revision),
            _pending=view._pending + new_documents,
        )
        return view.accept(delta.accepted_revision)

    def accept(self, revision: Revision) -> "ConfigurationView":
        """Return the view that acts on ``revision`` if it is newer and completely received."""
        newest = max(self.accepted_revision, revision)
        view = self if newest == self.accepted_revision else replace(self, accepted_revision=newest)
        if newest <= self.revision_in_force or self.held_revision < newest:
            return view
        accepted = [change for change in self._pending if change.revision <= newest]
        pending = tuple(change for change in self._pending if change.revision > newest)
        view = replace(view, revision_in_force=newest, _pending=pending, _is_resetting=False)
        return _with_documents(view, accepted, reset=self._is_resetting)

    def tool_offers(self, tool_name: str) -> tuple[ToolOffer, ...]:
        """Return the applications that offer a tool, sorted by name."""
        return self.tools.get(tool_name, ())

    def engines_with(self, model: str) -> dict[EngineId, EngineBody]:
        """Return the engines that serve a model and are not being drained."""
        return {
            engine_id: body
            for engine_id, body in self.engines.items()
            if model in body.models and not self.is_draining(DrainKind.ENGINE, engine_id)
        }

    def service_of(self, tenant_id: TenantId) -> ServiceBody | None:
        """Return the service of a tenant; ``None`` if either does not exist."""
        tenant = self.tenants.get(tenant_id)
        return None if tenant is None else self.services.get(tenant.service)

    def is_draining(self, target_kind: DrainKind, target: str) -> bool:
        """Return whether an engine, application or node receives no new work."""
        return DrainTarget(target_kind, target) in self.draining

    def draining_nodes(self) -> frozenset[NodeId]:
        """Return the nodes that are being drained."""
        return frozenset(
            NodeId(target.name) for target in self.draining if target.kind is DrainKind.NODE
        )


@dataclass(frozen=True)
class _Changes:
    """Parsed changes by kind and name (``None``: deleted), and which could not be parsed."""

    bodies: Mapping[DocumentKind, Mapping[str, DocumentBody | None]]
    unreadable: frozenset[str]
    readable: frozenset[str]


def _with_documents(
    view: ConfigurationView, documents: Iterable[Document], *, reset: bool
) -> ConfigurationView:
    changes = _parse_all(documents)

    def merged(kind: DocumentKind, mapping: Mapping[Any, Any]) -> Mapping[Any, Any]:
        return _merge(mapping, changes.bodies[kind], reset=reset)

    applications = merged(DocumentKind.APPLICATION, view.applications)
    drains = merged(DocumentKind.DRAIN, view.drains)
    unreadable = frozenset() if reset else view.unreadable
    return replace(
        view,
        engines=merged(DocumentKind.ENGINE, view.engines),
        applications=applications,
        tenants=merged(DocumentKind.TENANT, view.tenants),
        services=merged(DocumentKind.SERVICE, view.services),
        policies=merged(DocumentKind.POLICY, view.policies),
        drains=drains,
        tools=_collect_tools(applications),
        draining=frozenset(DrainTarget(body.target_kind, body.target) for body in drains.values()),
        unreadable=(unreadable - changes.readable) | changes.unreadable,
    )


def _parse_all(documents: Iterable[Document]) -> _Changes:
    bodies: dict[DocumentKind, dict[str, DocumentBody | None]] = {kind: {} for kind in DocumentKind}
    unreadable: set[str] = set()
    readable: set[str] = set()
    for document in documents:
        label = f"{document.kind}/{document.name}"
        try:
            kind = parse_kind(document.kind)
            body = None if document.body is None else parse_body(kind, document.body)
        except PasslaneError:
            unreadable.add(label)
            continue
        bodies[kind][document.name] = body
        readable.add(label)
        unreadable.discard(label)
    return _Changes(bodies, frozenset(unreadable), frozenset(readable))


def _merge(
    mapping: Mapping[Any, Any], changed: Mapping[str, DocumentBody | None], *, reset: bool
) -> Mapping[Any, Any]:
    if not changed and not reset:
        return mapping
    merged = {} if reset else dict(mapping)
    for name, body in changed.items():
        if body is None:
            merged.pop(name, None)
        else:
            merged[name] = body
    return merged


def _collect_tools(
    applications: Mapping[ApplicationId, ApplicationBody],
) -> dict[str, tuple[ToolOffer, ...]]:
    tools: dict[str, tuple[ToolOffer, ...]] = {}
    for application_id in sorted(applications):
        application = applications[application_id]
        for tool in application.tools:
            offer = ToolOffer(application_id, application, tool)
            tools[tool.name] = (*tools.get(tool.name, ()), offer)
    return tools
