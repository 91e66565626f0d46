"""Response bodies (JSON) of the operators' HTTP interface."""

import msgspec

from passlane.identifiers import Revision
from passlane.messages.common import Address
from passlane.messages.control import ControlStatus, Document, PendingChange, RegionProgress
from passlane.messages.membership import NodeView


class DocumentView(msgspec.Struct, frozen=True):
    """A document's newest version; ``is_accepted`` is false while it is pending."""

    kind: str
    name: str
    version: int
    revision: Revision
    is_accepted: bool
    body: msgspec.Raw


class DocumentList(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/documents``."""

    documents: tuple[DocumentView, ...]
    newest_revision: Revision
    accepted_revision: Revision


class ChangeView(msgspec.Struct, frozen=True):
    """A recorded change; ``revision`` is the number whose progress can be read."""

    kind: str
    name: str
    version: int
    revision: Revision
    is_deletion: bool


class ReplicaView(msgspec.Struct, frozen=True):
    """A replica of a group, by its address in the settings."""

    address: Address
    is_leader: bool


class SystemStatus(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/status``.

    ``nodes`` are those of the process's region. ``calls_in_flight`` is always ``null``; the
    field remains for existing clients. ``problems`` has an error for each group that did not
    answer; the fields from that group are empty then.
    """

    process: str
    region: str
    zone: str
    control_members: tuple[ReplicaView, ...]
    store_members: tuple[Address, ...]
    control_term: int
    newest_revision: Revision
    accepted_revision: Revision
    pending_count: int
    pending: tuple[PendingChange, ...]
    regions: tuple[RegionProgress, ...]
    nodes: tuple[NodeView, ...]
    calls_in_flight: int | None
    problems: tuple[str, ...] = ()


def document_view(document: Document, accepted_revision: Revision) -> DocumentView:
    """Return the operators' view of a document."""
    return DocumentView(
        kind=document.kind,
        name=document.name,
        version=document.version,
        revision=document.revision,
        is_accepted=document.revision <= accepted_revision,
        body=msgspec.Raw((document.body or "null").encode()),
    )


def change_view(document: Document) -> ChangeView:
    """Return the operators' view of the change that wrote ``document``."""
    return ChangeView(
        kind=document.kind,
        name=document.name,
        version=document.version,
        revision=document.revision,
        is_deletion=document.body is None,
    )


def replica_views(
    addresses: tuple[Address, ...], status: ControlStatus | None
) -> tuple[ReplicaView, ...]:
    """Return the control replicas; none is marked as leader without a ``status``."""
    leader = None if status is None else status.leader
    return tuple(ReplicaView(address, address == leader) for address in addresses)
