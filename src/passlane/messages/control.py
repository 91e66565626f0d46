"""Commands, queries and results of the control group (configuration).

A change is *pending* once the group has recorded it. It is *accepted* once each region has
reported that each of its members has the change or has lost its lease. Nodes act on
accepted revisions only, so a revision that is in force never reverts.
"""

import msgspec

from passlane.identifiers import NodeId, Revision
from passlane.messages.base import Message
from passlane.messages.common import Address

NO_REVISION = Revision(0)
"""The revision of an empty configuration."""


class Document(msgspec.Struct, frozen=True):
    """One version of one configuration document.

    ``version`` increases by 1 with each change of this document. It starts at 1, or higher
    if a document of that name may have been deleted before. ``revision`` numbers the changes
    of all documents. ``body`` is JSON; ``None`` marks a deletion.
    """

    kind: str
    name: str
    version: int
    revision: Revision
    body: str | None


class PutDocument(Message, frozen=True):
    """Writes a document if its version is ``expected_version`` (0: it must not exist)."""

    kind: str
    name: str
    body: str | None
    expected_version: int
    idempotency_key: str


class WithdrawChange(Message, frozen=True):
    """Withdraws a pending change."""

    revision: Revision
    idempotency_key: str


class AcceptRevision(Message, frozen=True):
    """Marks all changes up to ``revision`` as accepted; proposed by the control leader."""

    revision: Revision


class SetRegions(Message, frozen=True):
    """Records which regions must report before a change is accepted."""

    regions: tuple[str, ...]


class PutResult(Message, frozen=True):
    """The change is recorded, by this command or by an earlier one with the same key."""

    document: Document


class VersionConflict(Message, frozen=True):
    """The document has another version than expected; ``current`` is its newest version.

    When a refused change is sent again, ``current`` is ``None``, because the document as of
    the first refusal is not stored. ``accepted_revision`` is as of the first refusal.
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
    """Query for documents by kind and name (``None``: any); answered by ``Documents``."""

    kind: str | None = None
    name: str | None = None


class Documents(Message, frozen=True):
    """Answer to ``ReadDocuments``, with the newest and the accepted revision."""

    documents: tuple[Document, ...]
    newest_revision: Revision
    accepted_revision: Revision


class MemberVersion(msgspec.Struct, frozen=True):
    """The newest configuration revisions that one node has prepared and put in force."""

    node_id: NodeId
    prepared_revision: Revision
    revision_in_force: Revision


class TargetInFlight(msgspec.Struct, frozen=True):
    """Number of calls in flight at a drained target; kinds as in drain documents."""

    target_kind: str
    target: str
    calls: int


class RegionReport(Message, frozen=True):
    """Sent by each region's store leader to the control leader.

    The answer is a ``ConfigurationDelta``.

    Attributes
    ----------
    held_revision
        Newest revision that the store leader has.
    prepared_revision
        Newest revision that every member with a lease has.
    laggards
        A few of the members whose prepared revision is behind that of the others.
    held_floor
        ``floor_revision`` of the snapshot that ``held_revision`` is based on.
    in_flight
        Calls in flight at drained targets, summed over the members; targets without calls
        are left out.
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

    A large delta is sent in parts: ``to_revision`` is then below the newest revision, and
    the receiver requests the next part from there. The receiver acts on
    ``accepted_revision`` once it has all changes up to it. With ``is_snapshot`` the parts
    replace the whole configuration; the receiver returns ``floor_revision`` with its request
    for the next part.
    """

    from_revision: Revision
    to_revision: Revision
    accepted_revision: Revision
    documents: tuple[Document, ...] = ()
    is_snapshot: bool = False
    floor_revision: Revision = NO_REVISION


class ReadProgress(Message, frozen=True):
    """Query for the progress of a revision; answered by ``Progress``."""

    revision: Revision


class RegionProgress(msgspec.Struct, frozen=True):
    """Progress of one region.

    ``report_age_s`` is the age of its last report in seconds, ``None`` if there is none.
    """

    region: str
    prepared_revision: Revision
    revision_in_force: Revision
    member_count: int
    report_age_s: float | None
    laggards: tuple[MemberVersion, ...] = ()


class Progress(Message, frozen=True):
    """Answer to ``ReadProgress``; ``in_flight`` is summed over the reports of the regions."""

    accepted_revision: Revision
    in_force_everywhere: bool
    regions: tuple[RegionProgress, ...]
    in_flight: tuple[TargetInFlight, ...] = ()


class PendingChange(msgspec.Struct, frozen=True):
    """A change that is not accepted yet, as operators see it."""

    kind: str
    name: str
    version: int
    revision: Revision
    is_deletion: bool


class ReadControlStatus(Message, frozen=True):
    """Query for the state of the control group; answered by ``ControlStatus``."""


class ControlStatus(Message, frozen=True):
    """Answer to ``ReadControlStatus``; ``pending`` lists the oldest pending changes."""

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
