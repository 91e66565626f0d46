"""Cross references between documents: what a document needs and what it provides."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from passlane.configuration.documents import (
    ApplicationBody,
    DocumentBody,
    DocumentKind,
    DrainBody,
    DrainKind,
    EngineBody,
    ServiceBody,
    TenantBody,
)
from passlane.configuration.ledger import DocumentKey
from passlane.configuration.parsing import parse_body
from passlane.messages.control import Document


class Reference(NamedTuple):
    """A thing that documents name: a service, a policy, a model or a tool."""

    kind: str
    name: str


MODEL = "model"
TOOL = "tool"

# Engines and applications are machines that may vanish anyway, so taking the last one
# away from a model or tool is allowed; a service or policy in use is only ever an error.
KEPT_WHILE_IN_USE = frozenset({DocumentKind.SERVICE.value, DocumentKind.POLICY.value})


# Nothing refers to these, and tenants are by far the most numerous documents.
NEVER_REFERRED_TO = frozenset({DocumentKind.TENANT, DocumentKind.DRAIN})

NOTHING: frozenset[Reference] = frozenset()


def needs_of(body: DocumentBody) -> frozenset[Reference]:
    """Return what a document refers to."""
    if isinstance(body, TenantBody):
        return frozenset({Reference(DocumentKind.SERVICE.value, body.service)})
    if isinstance(body, ServiceBody):
        needs = {Reference(MODEL, model) for model in body.models}
        needs |= {Reference(TOOL, tool) for tool in body.tools}
        if body.policy is not None:
            needs.add(Reference(DocumentKind.POLICY.value, body.policy))
        return frozenset(needs)
    if isinstance(body, DrainBody) and body.target_kind is not DrainKind.NODE:
        return frozenset({Reference(body.target_kind.value, body.target)})
    return NOTHING


def provisions_of(kind: DocumentKind, name: str, body: DocumentBody) -> frozenset[Reference]:
    """Return what a document lets others refer to."""
    if kind in NEVER_REFERRED_TO:
        return NOTHING
    provisions = {Reference(kind.value, name)}
    if isinstance(body, EngineBody):
        provisions |= {Reference(MODEL, model) for model in body.models}
    if isinstance(body, ApplicationBody):
        provisions |= {Reference(TOOL, tool.name) for tool in body.tools}
    return frozenset(provisions)


class ReferenceIndex:
    """Counts needs and provisions over the newest version of each document."""

    def __init__(self) -> None:
        self._needs: dict[DocumentKey, frozenset[Reference]] = {}
        self._provisions: dict[DocumentKey, frozenset[Reference]] = {}
        self._needed: Counter[Reference] = Counter()
        self._provided: Counter[Reference] = Counter()
        self._shared: dict[frozenset[Reference], frozenset[Reference]] = {}

    @classmethod
    def of(cls, documents: Iterable[Document]) -> "ReferenceIndex":
        """Return the index of the newest versions of all documents."""
        index = cls()
        for document in documents:
            if document.body is not None:
                kind = DocumentKind(document.kind)
                index.put(document.kind, document.name, parse_body(kind, document.body))
        return index

    def problem_with(self, kind: str, name: str, body: DocumentBody | None) -> str | None:
        """Return why a change would break a reference, or ``None`` if it breaks none."""
        needs = NOTHING if body is None else needs_of(body)
        missing = [reference for reference in needs if self._provided[reference] == 0]
        if missing:
            return f"there is no {_names(missing)}"
        kept = NOTHING if body is None else provisions_of(DocumentKind(kind), name, body)
        lost = self._provisions.get((kind, name), NOTHING) - kept
        in_use = [
            reference
            for reference in lost
            if reference.kind in KEPT_WHILE_IN_USE and self._needed[reference] > 0
        ]
        return f"other documents use {_names(in_use)}" if in_use else None

    def put(self, kind: str, name: str, body: DocumentBody | None) -> None:
        """Record a change; ``None`` deletes the document."""
        key = (kind, name)
        _take_off(self._needed, self._needs.pop(key, NOTHING))
        _take_off(self._provided, self._provisions.pop(key, NOTHING))
        if body is None:
            return
        self._add(self._needs, self._needed, key, needs_of(body))
        provisions = provisions_of(DocumentKind(kind), name, body)
        self._add(self._provisions, self._provided, key, provisions)

    def _add(
        self,
        references_of: dict[DocumentKey, frozenset[Reference]],
        counts: Counter[Reference],
        key: DocumentKey,
        references: frozenset[Reference],
    ) -> None:
        if not references:
            return
        # Thousands of tenants need the same service: they share one set.
        references_of[key] = self._shared.setdefault(references, references)
        counts.update(references)


def _take_off(counts: Counter[Reference], references: Iterable[Reference]) -> None:
    for reference in references:
        counts[reference] -= 1
        if counts[reference] == 0:
            del counts[reference]


def _names(references: Iterable[Reference]) -> str:
    return ", ".join(sorted(f"{reference.kind} {reference.name!r}" for reference in references))
