"""Contents of the records in the log, the snapshot and the identity file.

Also creates the errors for damaged files.
"""

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
    """The log was emptied; its next entry follows ``last_index`` of an installed snapshot."""

    last_index: int
    last_term: int


class SyncedMark(msgspec.Struct, frozen=True, array_like=True):
    """Records that the log was durable up to ``offset`` of ``segment``.

    A damaged record before a mark is data loss on the disk. One after the last mark may
    be a write that a crash interrupted.
    """

    segment: int
    offset: int


class Identity(msgspec.Struct, frozen=True):
    """Binds a replica to its data folder.

    Attributes
    ----------
    generation
        Number of the subfolder with log and snapshot; each repair increments it.
    may_found
        Whether this replica may be one of the founders of its group; true only if its
        folder has never held data.
    is_member
        Whether this identity has joined or founded its group.
    founders
        The first members of the group if this replica is one of them; empty otherwise.
    """

    format_version: int
    group: str
    replica_id: ReplicaId
    generation: int
    may_found: bool
    is_member: bool = False
    founders: tuple[GroupMember, ...] = ()


class SnapshotHeader(msgspec.Struct, frozen=True):
    """First record of a snapshot file."""

    format_version: int
    group: str
    last_index: int
    last_term: int
    membership: GroupMembership


class SnapshotEnd(msgspec.Struct, frozen=True, array_like=True):
    """Last record of a snapshot file; its count reveals missing parts."""

    parts: int


StructType = TypeVar("StructType", bound=msgspec.Struct)


def storage_corrupt(message: str) -> PasslaneError:
    """Return a ``STORAGE_CORRUPT`` error; ``message`` names the damaged file."""
    return PasslaneError(ErrorCode.STORAGE_CORRUPT, message)


def corruption_from_os_error(error: OSError) -> PasslaneError | None:
    """Return a ``STORAGE_CORRUPT`` error for a disk I/O error; ``None`` for other errors."""
    if error.errno != errno.EIO:
        return None
    return storage_corrupt(f"disk I/O error: {error}")


def corruption_error_in(group: BaseExceptionGroup[PasslaneError | OSError]) -> PasslaneError | None:
    """Return the ``STORAGE_CORRUPT`` error for a group of errors; ``None`` for other errors.

    Only the first error of the group is considered.
    """
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    if isinstance(error, OSError):
        return corruption_from_os_error(error)
    if isinstance(error, PasslaneError) and error.code is ErrorCode.STORAGE_CORRUPT:
        return error
    return None


def decode_payload(kind: type[StructType], payload: bytes | memoryview, where: str) -> StructType:
    """Return the payload decoded as ``kind``; ``where`` names the record in the error.

    Raises
    ------
    PasslaneError
        ``STORAGE_CORRUPT`` when the payload is not a valid ``kind``.
    """
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise storage_corrupt(f"{where}: {error}") from error
