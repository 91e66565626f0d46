"""Commands, queries and results of the control group (configuration).

A change is *pending* once the group has recorded it, and *accepted* when each
region has reported that all its members hold it or have lost their lease. Only an
accepted revision is acted on, so it is in force everywhere and never reverts.
"""

import msgspec

from passlane.identifiers import NodeId, Revision
from passlane.messages.base import Message
from passlane.messages.common import Address

NO_REVISION = Revision(0)
"""The revision of an empty configuration."""


class Document(msgspec.Struct, frozen=True):
    """One version of one configuration document.

    ``version`` grows by 1 with each change of this document; it starts at 1, or higher
    where a document of that name may have been deleted long ago. ``revision`` is the
    number of the change over all documents. ``body`` is JSON; ``None`` marks a deletion.
    """

    kind: str
    name: str
    version: int
    revision: Revision
    body: str | None


class PutDocument(Message, frozen=True):
    """Write a document if its version is still ``expected_version`` (0: must be new)."""

    kind: str
    name: str
    body: str | None
    expected_version: int
    idempotency_key: str


class WithdrawChange(Message, frozen=True):
    """Take back a change that is still pending."""

    revision: Revision
    idempotency_key: str


class AcceptRevision(Message, frozen=True):
    """Mark all changes up to ``revision`` as accepted; proposed by the control leader."""

    revision: Revision


class SetRegions(Message, frozen=True):
    """Record which regions must report before a change is accepted."""

    regions: tuple[str, ...]


class PutResult(Message, frozen=True):
    """The change was recorded (now, or when the same key was first sent)."""

    document: Document


class VersionConflict(Message, frozen=True):
    """Another change came first; ``current`` is the document as it stands.

    ``current`` is left out when the refused change is sent again: what the document was
    at the first time is not kept. ``accepted_revision`` is as of the first time.
    """

    kind: str
    name: str
    current_version: int
    current: Document | None
    accepted_revision: Revision = NO_REVISION


class ControlDone(Message, frozen=True):
    """The command took effect."""


class ControlRefusal(Message, frozen=True):
    """The command was refused and changed nothing."""

    code: str
    message: str


class ReadDocuments(Message, frozen=True):
    """Query: documents by kind and name (``None``: all); answered by ``Documents``."""

    kind: str | None = None
    name: str | None = None


class Documents(Message, frozen=True):
    """Answer to ``ReadDocuments``, with the newest and the accepted revision."""

    documents: tuple[Document, ...]
    newest_revision: Revision
    accepted_revision: Revision


class MemberVersion(msgspec.Struct, frozen=True):
    """How far one node has come with the configuration."""

    node_id: NodeId
    prepared_revision: Revision
    revision_in_force: Revision


class TargetInFlight(msgspec.Struct, frozen=True):
    """Calls in flight at something that is being drained (kinds as in drain documents)."""

    target_kind: str
    target: str
    calls: int


class RegionReport(Message, frozen=True):
    """Sent by each region's store leader to the control leader; answered by a delta.

    Attributes
    ----------
    prepared_revision
        Newest revision that every member with a lease holds.
    laggards
        Members that are behind ``prepared_revision`` of the others, at most a few.
    held_floor
        ``floor_revision`` of the snapshot that ``held_revision`` was built on.
    in_flight
        Calls in flight, summed over the members, at what is being drained; targets
        without any are left out.
    """

    region: str
    term: int
    held_revision: Revision
    prepared_revision: Revision
    revision_in_force: Revision
    member_count: int
    laggards: tuple[MemberVersion, ...] = ()
    held_floor: Revision = NO_REVISION
    in_flight: tuple[TargetInFlight, ...] = ()


class ConfigurationDelta(Message, frozen=True):
    """Changes after ``from_revision`` up to ``to_revision``, in the order of revisions.

    A long delta comes in parts: ``to_revision`` is then below the newest revision, and
    the holder asks again from there. A holder acts on ``accepted_revision`` only once it
    holds it. With ``is_snapshot`` the parts start over from nothing; the holder hands
    ``floor_revision`` back when it asks for the next part.
    """

    from_revision: Revision
    to_revision: Revision
    accepted_revision: Revision
    documents: tuple[Document, ...] = ()
    is_snapshot: bool = False
    floor_revision: Revision = NO_REVISION


class ReadProgress(Message, frozen=True):
    """Query: how far a revision has come; answered by ``Progress``."""

    revision: Revision


class RegionProgress(msgspec.Struct, frozen=True):
    """How far one region has come.

    ``report_age_s`` is the age of its last report in seconds; ``None`` before the first.
    """

    region: str
    prepared_revision: Revision
    revision_in_force: Revision
    member_count: int
    report_age_s: float | None
    laggards: tuple[MemberVersion, ...] = ()


class Progress(Message, frozen=True):
    """Answer to ``ReadProgress``; ``in_flight`` sums what the regions have reported."""

    accepted_revision: Revision
    in_force_everywhere: bool
    regions: tuple[RegionProgress, ...]
    in_flight: tuple[TargetInFlight, ...] = ()


class PendingChange(msgspec.Struct, frozen=True):
    """A change that is not accepted yet, as shown to operators."""

    kind: str
    name: str
    version: int
    revision: Revision
    is_deletion: bool


class ReadControlStatus(Message, frozen=True):
    """Query: the state of the control group; answered by ``ControlStatus``."""


class ControlStatus(Message, frozen=True):
    """Answer to ``ReadControlStatus``; ``pending`` holds the oldest pending changes."""

    leader: Address | None
    term: int
    newest_revision: Revision
    accepted_revision: Revision
    pending_count: int
    pending: tuple[PendingChange, ...]
    regions: tuple[RegionProgress, ...]


ControlCommand = PutDocument | WithdrawChange | AcceptRevision | SetRegions
ControlResult = (
    PutResult
    | VersionConflict
    | ControlDone
    | ControlRefusal
    | Documents
    | Progress
    | ControlStatus
    | ConfigurationDelta
)
