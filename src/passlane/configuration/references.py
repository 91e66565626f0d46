"""References between documents: what a document requires and what it provides.

The index of references decides whether a change would break a reference.
"""

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
    """Target of a reference: a model, a tool, or a document by its kind and name."""

    kind: str
    name: str


MODEL = "model"
TOOL = "tool"

# Engines and applications may fail at any time, so deleting the last one with a model or tool
# is allowed. Deleting a service or policy in use is an error.
PROTECTED_KINDS = frozenset({DocumentKind.SERVICE.value, DocumentKind.POLICY.value})


# No document refers to these. Skipping them saves memory, because there are many tenants.
UNREFERENCED_KINDS = frozenset({DocumentKind.TENANT, DocumentKind.DRAIN})

NO_REFERENCES: frozenset[Reference] = frozenset()


def required_references(body: DocumentBody) -> frozenset[Reference]:
    """Return what a document refers to."""
    if isinstance(body, TenantBody):
        return frozenset({Reference(DocumentKind.SERVICE.value, body.service)})
    if isinstance(body, ServiceBody):
        required = {Reference(MODEL, model) for model in body.models}
        required |= {Reference(TOOL, tool) for tool in body.tools}
        if body.policy is not None:
            required.add(Reference(DocumentKind.POLICY.value, body.policy))
        return frozenset(required)
    if isinstance(body, DrainBody) and body.target_kind is not DrainKind.NODE:
        return frozenset({Reference(body.target_kind.value, body.target)})
    return NO_REFERENCES


def provided_references(kind: DocumentKind, name: str, body: DocumentBody) -> frozenset[Reference]:
    """Return what other documents may refer to if this document exists."""
    if kind in UNREFERENCED_KINDS:
        return NO_REFERENCES
    provided = {Reference(kind.value, name)}
    if isinstance(body, EngineBody):
        provided |= {Reference(MODEL, model) for model in body.models}
    if isinstance(body, ApplicationBody):
        provided |= {Reference(TOOL, tool.name) for tool in body.tools}
    return frozenset(provided)


class ReferenceIndex:
    """Counts required and provided references over the newest version of each document."""

    def __init__(self) -> None:
        self._required_by_document: dict[DocumentKey, frozenset[Reference]] = {}
        self._provided_by_document: dict[DocumentKey, frozenset[Reference]] = {}
        self._required_counts: Counter[Reference] = Counter()
        self._provided_counts: Counter[Reference] = Counter()
        self._interned: dict[frozenset[Reference], frozenset[Reference]] = {}

    @classmethod
    def of(cls, documents: Iterable[Document]) -> "ReferenceIndex":
        """Return the index of the newest versions of all documents."""
        index = cls()
        for document in documents:
            if document.body is not None:
                kind = DocumentKind(document.kind)
                index.put(document.kind, document.name, parse_body(kind, document.body))
        return index

    def broken_reference(self, kind: str, name: str, body: DocumentBody | None) -> str | None:
        """Return why a change would break a reference; ``None`` if it breaks none.

        1. Every required reference must be provided by some document.
        2. A service or policy that other documents require must still be provided.
        """
        required = NO_REFERENCES if body is None else required_references(body)
        missing = [reference for reference in required if self._provided_counts[reference] == 0]
        if missing:
            return f"there is no {_describe(missing)}"
        still_provided = (
            NO_REFERENCES if body is None else provided_references(DocumentKind(kind), name, body)
        )
        removed = self._provided_by_document.get((kind, name), NO_REFERENCES) - still_provided
        in_use = [
            reference
            for reference in removed
            if reference.kind in PROTECTED_KINDS and self._required_counts[reference] > 0
        ]
        return f"other documents use {_describe(in_use)}" if in_use else None

    def put(self, kind: str, name: str, body: DocumentBody | None) -> None:
        """Record a change; ``None`` deletes the document."""
        key = (kind, name)
        _subtract(self._required_counts, self._required_by_document.pop(key, NO_REFERENCES))
        _subtract(self._provided_counts, self._provided_by_document.pop(key, NO_REFERENCES))
        if body is None:
            return
        self._add(self._required_by_document, self._required_counts, key, required_references(body))
        provided = provided_references(DocumentKind(kind), name, body)
        self._add(self._provided_by_document, self._provided_counts, key, provided)

    def _add(
        self,
        references_by_document: dict[DocumentKey, frozenset[Reference]],
        counts: Counter[Reference],
        key: DocumentKey,
        references: frozenset[Reference],
    ) -> None:
        if not references:
            return
        # Tenants of the same service share one set, to save memory.
        references_by_document[key] = self._interned.setdefault(references, references)
        counts.update(references)


def _subtract(counts: Counter[Reference], references: Iterable[Reference]) -> None:
    for reference in references:
        counts[reference] -= 1
        if counts[reference] == 0:
            del counts[reference]


def _describe(references: Iterable[Reference]) -> str:
    return ", ".join(sorted(f"{reference.kind} {reference.name!r}" for reference in references))
