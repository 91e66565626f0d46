"""The accepted documents and the pending changes of the configuration.

The control group stores its configuration in a ledger, and each region's store leader has a
copy. A ledger has only the newest accepted version of each document and the pending changes,
which bounds the size of a delta. Deletions are stored as documents without a body
(tombstones), at most ``MAX_TOMBSTONES``. A copy older than the newest removed tombstone
(``floor_revision``) gets a full snapshot.
"""

from collections.abc import Iterable, Iterator

from passlane.configuration.catch_up import is_applicable, requires_reset
from passlane.identifiers import Revision
from passlane.messages.control import NO_REVISION, ConfigurationDelta, Document

MAX_TOMBSTONES = 10_000
MAX_DELTA_BYTES = 250_000
DOCUMENT_OVERHEAD_BYTES = 64

DocumentKey = tuple[str, str]
"""Kind and name of a document."""


def document_key(document: Document) -> DocumentKey:
    """Return the kind and name of a document."""
    return document.kind, document.name


class ConfigurationLedger:
    """Accepted documents and pending changes, in the order of their revisions."""

    def __init__(self, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self._max_tombstones = max_tombstones
        # In the order of revisions: a changed document moves to the end.
        self._accepted: dict[DocumentKey, Document] = {}
        self._tombstones: dict[DocumentKey, Revision] = {}
        self._pending: dict[Revision, Document] = {}
        self._newest_pending: dict[DocumentKey, Document] = {}
        self.held_revision = NO_REVISION
        self.accepted_revision = NO_REVISION
        self.floor_revision = NO_REVISION

    @property
    def pending_count(self) -> int:
        """Number of changes that are not accepted yet."""
        return len(self._pending)

    def newest(self, kind: str, name: str) -> Document | None:
        """Return a document's newest version, pending or accepted; a deletion has no body."""
        key = (kind, name)
        return self._newest_pending.get(key) or self._accepted.get(key)

    def newest_documents(self, kind: str | None = None, name: str | None = None) -> list[Document]:
        """Return the newest versions that are not deletions, sorted by kind and name."""
        newest = {**self._accepted, **self._newest_pending}
        found = [
            document
            for document in newest.values()
            if document.body is not None
            and kind in (None, document.kind)
            and name in (None, document.name)
        ]
        return sorted(found, key=document_key)

    def pending_change(self, revision: Revision) -> Document | None:
        """Return the pending change with this revision; ``None`` if it is not pending."""
        return self._pending.get(revision)

    def pending_changes(self) -> list[Document]:
        """Return all pending changes, oldest first."""
        return list(self._pending.values())

    def pending_changes_of(self, kind: str, name: str) -> list[Document]:
        """Return the pending changes of one document, oldest first."""
        return [change for change in self._pending.values() if document_key(change) == (kind, name)]

    def accepted_version(self, kind: str, name: str) -> Document | None:
        """Return the accepted version of a document; a deletion has no body."""
        return self._accepted.get((kind, name))

    def accepted_documents(self, kind: str) -> Iterator[Document]:
        """Yield the accepted documents of a kind, including deletions."""
        return (document for document in self._accepted.values() if document.kind == kind)

    def append(self, change: Document) -> None:
        """Add a pending change; its revision must follow ``held_revision``."""
        if change.revision != self.held_revision + 1:
            raise ValueError("the revision must be 1 above the newest revision")
        self._store_pending(change)
        self.held_revision = change.revision

    def accept(self, revision: Revision) -> None:
        """Mark the changes up to ``revision`` as accepted; an older revision has no effect."""
        if revision <= self.accepted_revision:
            return
        self.accepted_revision = revision
        for number in [number for number in self._pending if number <= revision]:
            self._store_accepted(self._pending.pop(number))
        self._remove_excess_tombstones()

    def delta_since(
        self,
        held_revision: Revision,
        held_floor: Revision = NO_REVISION,
        max_bytes: int = MAX_DELTA_BYTES,
    ) -> ConfigurationDelta:
        """Return the changes after ``held_revision``, or the first part of them.

        Parameters
        ----------
        held_revision
            Newest revision of the receiver's copy.
        held_floor
            ``floor_revision`` of the snapshot that the copy is based on; the receiver may
            not have received all parts of that snapshot yet.
        max_bytes
            Approximate maximum size of the delta; the receiver requests the rest.
        """
        if self.accepted_revision < held_floor:
            return self._empty_delta(held_revision, held_floor)
        is_snapshot = max(held_revision, held_floor) < self.floor_revision
        since = NO_REVISION if is_snapshot else held_revision
        documents = self._limit_size(self._documents_after(since), max_bytes)
        is_complete = not documents or documents[-1].revision >= self._last_revision()
        last_sent = self.held_revision if is_complete else documents[-1].revision
        return ConfigurationDelta(
            from_revision=since,
            to_revision=max(since, last_sent),
            accepted_revision=self.accepted_revision,
            documents=tuple(documents),
            is_snapshot=is_snapshot,
            floor_revision=self.floor_revision if is_snapshot else held_floor,
        )

    def _empty_delta(self, held_revision: Revision, held_floor: Revision) -> ConfigurationDelta:
        """Return the delta for a copy that is based on a snapshot newer than this ledger."""
        return ConfigurationDelta(
            from_revision=held_revision,
            to_revision=held_revision,
            accepted_revision=self.accepted_revision,
            floor_revision=held_floor,
        )

    def apply_delta(self, delta: ConfigurationDelta) -> None:
        """Apply a delta; one that is stale, leaves a gap or mixes snapshots changes nothing.

        A snapshot replaces everything except the accepted revision, which never decreases.
        """
        if requires_reset(self.held_revision, self.floor_revision, delta):
            self._clear(delta.floor_revision)
        if not is_applicable(self.held_revision, self.floor_revision, delta):
            return
        for document in delta.documents:
            if document.revision > self.held_revision:
                self._store(document)
        self.held_revision = max(self.held_revision, delta.to_revision)
        self.accept(delta.accepted_revision)

    def dump(self) -> tuple[tuple[Document, ...], tuple[Document, ...]]:
        """Return the accepted documents, including deletions, and the pending changes."""
        return tuple(self._accepted.values()), tuple(self._pending.values())

    def load(
        self,
        accepted: Iterable[Document],
        pending: Iterable[Document],
        held_revision: Revision,
        accepted_revision: Revision,
        floor_revision: Revision,
    ) -> None:
        """Replace the whole ledger with the documents and changes that ``dump`` returned."""
        self._clear(floor_revision)
        for document in accepted:
            self._store_accepted(document)
        for change in pending:
            self._store_pending(change)
        self.held_revision = held_revision
        self.accepted_revision = accepted_revision

    def _clear(self, floor_revision: Revision) -> None:
        self._accepted.clear()
        self._tombstones.clear()
        self._pending.clear()
        self._newest_pending.clear()
        self.held_revision = NO_REVISION
        self.floor_revision = floor_revision

    def _store(self, document: Document) -> None:
        if document.revision <= self.accepted_revision:
            self._store_accepted(document)
        else:
            self._store_pending(document)

    def _store_pending(self, change: Document) -> None:
        self._pending[change.revision] = change
        self._newest_pending[document_key(change)] = change

    def _store_accepted(self, document: Document) -> None:
        key = document_key(document)
        self._accepted.pop(key, None)
        self._tombstones.pop(key, None)
        self._accepted[key] = document
        if document.body is None:
            self._tombstones[key] = document.revision
        newest = self._newest_pending.get(key)
        if newest is not None and newest.revision <= document.revision:
            del self._newest_pending[key]

    def _remove_excess_tombstones(self) -> None:
        while len(self._tombstones) > self._max_tombstones:
            key = next(iter(self._tombstones))
            self.floor_revision = max(self.floor_revision, self._tombstones.pop(key))
            del self._accepted[key]

    def _last_revision(self) -> Revision:
        if self._pending:
            return next(reversed(self._pending))
        if self._accepted:
            return next(reversed(self._accepted.values())).revision
        return NO_REVISION

    def _documents_after(self, revision: Revision) -> Iterator[Document]:
        recent: list[Document] = []
        for document in reversed(self._accepted.values()):
            if document.revision <= revision:
                break
            recent.append(document)
        yield from reversed(recent)
        for change in self._pending.values():
            if change.revision > revision:
                yield change

    @staticmethod
    def _limit_size(documents: Iterable[Document], max_bytes: int) -> list[Document]:
        selected: list[Document] = []
        size = 0
        for document in documents:
            size += len(document.body or "") + len(document.name) + DOCUMENT_OVERHEAD_BYTES
            if selected and size > max_bytes:
                break
            selected.append(document)
        return selected
