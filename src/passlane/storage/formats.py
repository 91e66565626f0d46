"""What the records of the log, the snapshot and the identity file hold."""

import errno
from typing import TypeVar

import msgspec

from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import ReplicaId
from passlane.messages.raft import GroupMember, GroupMembership


class LogPosition(msgspec.Struct, frozen=True, order=True):
    """Index and term of a log entry; ``(0, 0)`` is before the first."""

    index: int
    term: int


START_OF_LOG = LogPosition(index=0, term=0)


class SegmentStart(msgspec.Struct, frozen=True, array_like=True):
    """First record of each segment."""

    format_version: int
    group: str
    segment: int


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Raft's term and vote, which must survive a restart."""

    term: int = 0
    voted_for: ReplicaId | None = None


class LogReset(msgspec.Struct, frozen=True, array_like=True):
    """The log was emptied; it goes on after ``last_index`` of an installed snapshot."""

    last_index: int
    last_term: int


class SyncedMark(msgspec.Struct, frozen=True, array_like=True):
    """All before ``offset`` of ``segment`` was durable when this was written.

    A damaged record before a mark was lost by the disk; one after the last mark may
    just be a write that a crash interrupted.
    """

    segment: int
    offset: int


class Identity(msgspec.Struct, frozen=True):
    """Binds a replica to its data folder.

    Attributes
    ----------
    generation
        Number of the sub-folder with log and snapshot; grows with each repair.
    may_found
        Whether this folder may take part in founding its group: only one that has
        never held anything.
    is_member
        Whether this identity has joined or founded its group.
    founders
        The first members of the group if this replica is one of them, else empty.
    """

    format_version: int
    group: str
    replica_id: ReplicaId
    generation: int
    may_found: bool
    is_member: bool = False
    founders: tuple[GroupMember, ...] = ()


class SnapshotHeader(msgspec.Struct, frozen=True):
    """Stands before a snapshot's parts."""

    format_version: int
    group: str
    last_index: int
    last_term: int
    membership: GroupMembership


class SnapshotEnd(msgspec.Struct, frozen=True, array_like=True):
    """Stands after a snapshot's parts, so that a missing one is noticed."""

    parts: int


StructType = TypeVar("StructType", bound=msgspec.Struct)


def storage_corrupt(message: str) -> PasslaneError:
    """Return the error that refuses damaged files; it names what is damaged."""
    return PasslaneError(ErrorCode.STORAGE_CORRUPT, message)


def damage_of(error: OSError) -> PasslaneError | None:
    """Return the error for a disk that failed to read or write; ``None`` for other causes."""
    if error.errno != errno.EIO:
        return None
    return storage_corrupt(f"the disk failed: {error}")


def damage_in(group: BaseExceptionGroup[PasslaneError | OSError]) -> PasslaneError | None:
    """Return the damage that a group of errors stands for; ``None`` for other causes.

    Only the first error of the group counts.
    """
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    if isinstance(error, OSError):
        return damage_of(error)
    if isinstance(error, PasslaneError) and error.code is ErrorCode.STORAGE_CORRUPT:
        return error
    return None


def decode_payload(kind: type[StructType], payload: bytes | memoryview, where: str) -> StructType:
    """Return the decoded payload.

    Raises
    ------
    PasslaneError
        ``STORAGE_CORRUPT`` when a record with a good checksum holds something else.
    """
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise storage_corrupt(f"{where}: {error}") from error
