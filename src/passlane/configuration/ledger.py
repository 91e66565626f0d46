"""The documents that a process holds: accepted ones, and changes still pending.

The control group keeps its configuration in a ledger and each region's store leader
holds a copy. A ledger answers "what has changed since revision N". It keeps the newest
accepted version of each document and every pending change, so an answer never grows
beyond the configuration itself, however many changes were missed.

Deletions stay as documents without a body, so that a holder learns of them. Only the
newest ``MAX_TOMBSTONES`` of them are kept. A holder older than the newest deletion that
was dropped (``floor_revision``) is given everything from the start instead.
"""

from collections.abc import Iterable, Iterator

from passlane.configuration.catch_up import continues, starts_over
from passlane.identifiers import Revision
from passlane.messages.control import NO_REVISION, ConfigurationDelta, Document

MAX_TOMBSTONES = 10_000
MAX_DELTA_BYTES = 250_000
DOCUMENT_OVERHEAD_BYTES = 64

DocumentKey = tuple[str, str]
"""Kind and name of a document."""


def key_of(document: Document) -> DocumentKey:
    """Return the kind and name of a document."""
    return document.kind, document.name


class ConfigurationLedger:
    """Accepted documents and pending changes, in the order of their revisions."""

    def __init__(self, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self._max_tombstones = max_tombstones
        # In the order of revisions: a document that changes moves to the end.
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
        """Return the newest version, pending or not; a deletion has no body."""
        key = (kind, name)
        return self._newest_pending.get(key) or self._accepted.get(key)

    def newest_documents(self, kind: str | None = None, name: str | None = None) -> list[Document]:
        """Return the newest versions that are not deletions, by kind and name."""
        newest = {**self._accepted, **self._newest_pending}
        found = [
            document
            for document in newest.values()
            if document.body is not None
            and kind in (None, document.kind)
            and name in (None, document.name)
        ]
        return sorted(found, key=key_of)

    def pending_change(self, revision: Revision) -> Document | None:
        """Return the pending change of that number, if it is pending."""
        return self._pending.get(revision)

    def pending_changes(self) -> list[Document]:
        """Return all pending changes, oldest first."""
        return list(self._pending.values())

    def pending_changes_of(self, kind: str, name: str) -> list[Document]:
        """Return the pending changes of one document, oldest first."""
        return [change for change in self._pending.values() if key_of(change) == (kind, name)]

    def accepted_version(self, kind: str, name: str) -> Document | None:
        """Return the accepted version of a document; a deletion has no body."""
        return self._accepted.get((kind, name))

    def accepted_of(self, kind: str) -> Iterator[Document]:
        """Yield the accepted documents of a kind, deletions too."""
        return (document for document in self._accepted.values() if document.kind == kind)

    def append(self, change: Document) -> None:
        """Add the next pending change; its revision must be the next one."""
        if change.revision != self.held_revision + 1:
            raise ValueError("revisions are consecutive")
        self._hold(change)
        self.held_revision = change.revision

    def accept(self, revision: Revision) -> None:
        """Mark the changes up to ``revision`` as accepted; an older one does nothing."""
        if revision <= self.accepted_revision:
            return
        self.accepted_revision = revision
        for number in [number for number in self._pending if number <= revision]:
            self._store_accepted(self._pending.pop(number))
        self._drop_old_tombstones()

    def delta_since(
        self,
        held_revision: Revision,
        held_floor: Revision = NO_REVISION,
        max_bytes: int = MAX_DELTA_BYTES,
    ) -> ConfigurationDelta:
        """Return what a holder of ``held_revision`` lacks, or the first part of it.

        Parameters
        ----------
        held_floor
            The ``floor_revision`` of the snapshot that the holder began with; it may
            still be in the middle of receiving it.
        max_bytes
            Rough size at which the answer is cut; the holder asks again for the rest.
        """
        if self.accepted_revision < held_floor:
            return self._nothing_for(held_revision, held_floor)
        restart = max(held_revision, held_floor) < self.floor_revision
        since = NO_REVISION if restart else held_revision
        documents = self._first_documents(self._after(since), max_bytes)
        whole = not documents or documents[-1].revision >= self._last_revision()
        reached = self.held_revision if whole else documents[-1].revision
        return ConfigurationDelta(
            from_revision=since,
            to_revision=max(since, reached),
            accepted_revision=self.accepted_revision,
            documents=tuple(documents),
            is_snapshot=restart,
            floor_revision=self.floor_revision if restart else held_floor,
        )

    def _nothing_for(self, held_revision: Revision, held_floor: Revision) -> ConfigurationDelta:
        """Return the answer to a holder whose snapshot is newer than this ledger."""
        return ConfigurationDelta(
            from_revision=held_revision,
            to_revision=held_revision,
            accepted_revision=self.accepted_revision,
            floor_revision=held_floor,
        )

    def apply_delta(self, delta: ConfigurationDelta) -> None:
        """Take in a delta; one that is old, leaves a gap or mixes snapshots changes nothing.

        A snapshot starts over, except for the accepted revision, which never goes back.
        """
        if starts_over(self.held_revision, self.floor_revision, delta):
            self._clear(delta.floor_revision)
        if not continues(self.held_revision, self.floor_revision, delta):
            return
        for document in delta.documents:
            if document.revision > self.held_revision:
                self._take_in(document)
        self.held_revision = max(self.held_revision, delta.to_revision)
        self.accept(delta.accepted_revision)

    def dump(self) -> tuple[tuple[Document, ...], tuple[Document, ...]]:
        """Return accepted documents (deletions too) and pending changes, for a snapshot."""
        return tuple(self._accepted.values()), tuple(self._pending.values())

    def load(
        self,
        accepted: Iterable[Document],
        pending: Iterable[Document],
        held_revision: Revision,
        accepted_revision: Revision,
        floor_revision: Revision,
    ) -> None:
        """Replace everything by what ``dump`` returned."""
        self._clear(floor_revision)
        for document in accepted:
            self._store_accepted(document)
        for change in pending:
            self._hold(change)
        self.held_revision = held_revision
        self.accepted_revision = accepted_revision

    def _clear(self, floor_revision: Revision) -> None:
        self._accepted.clear()
        self._tombstones.clear()
        self._pending.clear()
        self._newest_pending.clear()
        self.held_revision = NO_REVISION
        self.floor_revision = floor_revision

    def _take_in(self, document: Document) -> None:
        if document.revision <= self.accepted_revision:
            self._store_accepted(document)
        else:
            self._hold(document)

    def _hold(self, change: Document) -> None:
        self._pending[change.revision] = change
        self._newest_pending[key_of(change)] = change

    def _store_accepted(self, document: Document) -> None:
        key = key_of(document)
        self._accepted.pop(key, None)
        self._tombstones.pop(key, None)
        self._accepted[key] = document
        if document.body is None:
            self._tombstones[key] = document.revision
        newest = self._newest_pending.get(key)
        if newest is not None and newest.revision <= document.revision:
            del self._newest_pending[key]

    def _drop_old_tombstones(self) -> None:
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

    def _after(self, revision: Revision) -> Iterator[Document]:
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
    def _first_documents(documents: Iterable[Document], max_bytes: int) -> list[Document]:
        chosen: list[Document] = []
        size = 0
        for document in documents:
            size += len(document.body or "") + len(document.name) + DOCUMENT_OVERHEAD_BYTES
            if chosen and size > max_bytes:
                break
            chosen.append(document)
        return chosen
