"""The snapshot format of the control group.

The whole state is one MessagePack array.
"""

import msgspec

from passlane.control.state.idempotency import RetainedCommand
from passlane.control.state.withdrawals import Withdrawal
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import Revision
from passlane.messages.control import Document

FORMAT_VERSION = 1


class ControlSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All replicated state of the control group."""

    format_version: int
    newest_revision: Revision
    accepted_revision: Revision
    floor_revision: Revision
    regions: tuple[str, ...]
    accepted: tuple[Document, ...]
    pending: tuple[Document, ...]
    withdrawals: tuple[Withdrawal, ...]
    remembered: tuple[RetainedCommand, ...]


_decoder = msgspec.msgpack.Decoder(ControlSnapshot)


def encode_snapshot(snapshot: ControlSnapshot) -> bytes:
    """Return the encoded snapshot."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data: bytes) -> ControlSnapshot:
    """Return the snapshot that ``data`` encodes.

    Raises
    ------
    PasslaneError
        ``STORAGE_CORRUPT`` when the data is damaged or has an unknown format version.
    """
    try:
        snapshot = _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise PasslaneError(ErrorCode.STORAGE_CORRUPT, f"control snapshot: {error}") from error
    if snapshot.format_version != FORMAT_VERSION:
        raise PasslaneError(
            ErrorCode.STORAGE_CORRUPT,
            f"control snapshot has format {snapshot.format_version}, expected {FORMAT_VERSION}",
        )
    return snapshot
