"""Reads the recorded documents that ``apply`` compares with a file."""

from collections import Counter
from collections.abc import Iterable

from passlane.api.operator_views import DocumentView
from passlane.cli.client import OperatorClient
from passlane.configuration.documents import DocumentKind
from passlane.configuration.files import DocumentDraft

MAX_SINGLE_READS = 20
"""Documents of a kind that are read one by one; above it one request reads the whole kind."""


class CurrentDocuments:
    """Finds the recorded version of each document of a file.

    A document that was read with its whole kind may be stale if another operator has
    changed it since. The server rejects a change based on it as a conflict.

    Parameters
    ----------
    drafts
        The documents that will be looked up.
    """

    def __init__(self, client: OperatorClient, drafts: Iterable[DocumentDraft]) -> None:
        self._client = client
        self._counts_by_kind = Counter(draft.kind for draft in drafts)
        self._by_kind: dict[DocumentKind, dict[str, DocumentView]] = {}

    async def find(self, kind: DocumentKind, name: str) -> DocumentView | None:
        """Return the newest version of a document, or ``None`` if there is none."""
        if self._counts_by_kind[kind] <= MAX_SINGLE_READS:
            return await self._client.read_document(kind, name)
        if kind not in self._by_kind:
            found = await self._client.read_documents(kind)
            self._by_kind[kind] = {document.name: document for document in found.documents}
        return self._by_kind[kind].get(name)
