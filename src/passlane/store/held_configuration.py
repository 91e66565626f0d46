"""The configuration that a region holds for its nodes."""

from passlane.errors import ErrorCode
from passlane.identifiers import Revision
from passlane.messages.control import ConfigurationDelta, Document
from passlane.store.refusal import CommandRefusedError


class HeldConfiguration:
    """The newest version of each document, deleted ones included.

    Because each document knows the revision of its last change, the changes since any
    revision are found without a log of deltas.
    """

    def __init__(self) -> None:
        self._documents: dict[tuple[str, str], Document] = {}
        self._deltas_from = Revision(0)
        self.revision = Revision(0)
        self.accepted_revision = Revision(0)

    def documents(self) -> tuple[Document, ...]:
        """Return all documents by kind and name."""
        return tuple(self._documents[key] for key in sorted(self._documents))

    def record(self, delta: ConfigurationDelta) -> None:
        """Take in changes; those already held change nothing.

        Raises
        ------
        CommandRefusedError
            ``VERSION_CONFLICT`` when changes between the held revision and the delta
            are missing.
        """
        if not delta.is_snapshot and delta.from_revision > self.revision:
            raise CommandRefusedError(
                ErrorCode.VERSION_CONFLICT,
                f"changes after revision {self.revision} are missing",
            )
        if delta.to_revision > self.revision:
            if delta.is_snapshot:
                self._documents.clear()
                # A snapshot may leave out deletions, so older revisions get no delta.
                self._deltas_from = delta.to_revision
            for document in delta.documents:
                self._put(document)
            self.revision = delta.to_revision
        self.accepted_revision = max(self.accepted_revision, delta.accepted_revision)

    def _put(self, document: Document) -> None:
        key = (document.kind, document.name)
        held = self._documents.get(key)
        if held is None or held.revision < document.revision:
            self._documents[key] = document

    def delta_since(self, revision: Revision) -> ConfigurationDelta:
        """Return the changes after ``revision``, or a snapshot where they are not known."""
        is_snapshot = revision == 0 or revision < self._deltas_from
        changed = tuple(
            document for document in self.documents() if is_snapshot or document.revision > revision
        )
        return ConfigurationDelta(
            from_revision=revision,
            to_revision=self.revision,
            accepted_revision=self.accepted_revision,
            documents=changed,
            is_snapshot=is_snapshot,
        )

    def to_snapshot(self) -> ConfigurationDelta:
        """Return all that is held, as one snapshot delta."""
        return ConfigurationDelta(
            from_revision=self._deltas_from,
            to_revision=self.revision,
            accepted_revision=self.accepted_revision,
            documents=self.documents(),
            is_snapshot=True,
        )

    def restore(self, snapshot: ConfigurationDelta) -> None:
        """Replace what is held by that of ``to_snapshot``."""
        self._documents = {
            (document.kind, document.name): document for document in snapshot.documents
        }
        self._deltas_from = snapshot.from_revision
        self.revision = snapshot.to_revision
        self.accepted_revision = snapshot.accepted_revision
