"""Interfaces between a replicated group and the service that runs on it."""

from collections.abc import Iterable, Iterator
from typing import Protocol

from passlane.messages.common import Address


class StateMachine(Protocol):
    """A deterministic state machine whose commands are replicated.

    ``apply`` must depend only on the state and the command: no clock, no random numbers,
    no iteration over unordered sets.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its encoded result; must not raise."""
        ...

    def snapshot_parts(self) -> Iterator[bytes]:
        """Return the whole encoded state as of this call, in parts.

        Commands may be applied between two parts and must not appear in later parts. A part
        should take at most a few milliseconds to encode, because it blocks the event loop.
        Dropping the iterator ends the snapshot; only one snapshot is taken at a time.
        """
        ...

    def restore_parts(self, parts: Iterable[bytes]) -> Iterator[None]:
        """Replace the state with that of a snapshot; yields to let the event loop run.

        The previous state stays in use until the last part is decoded.
        """
        ...


class ReplicatedGroup(Protocol):
    """A Raft group as seen by the service that runs on this replica."""

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and has applied an entry of its own term."""
        ...

    @property
    def leader_address(self) -> Address | None:
        """Address of the leader, if known."""
        ...

    @property
    def term(self) -> int:
        """Current term; serves as the fencing token of the leader's orders."""
        ...

    async def propose(self, command: bytes, *, may_be_deferred: bool = False) -> bytes:
        """Replicate a command and return its result.

        A command that may be deferred waits briefly for others to share a batch with. It is
        never applied after a command that was proposed later.

        Raises
        ------
        PasslaneError
            ``NOT_LEADER`` or ``DISK_FULL`` with verdict ``not_run``; ``TIMEOUT`` or
            ``LEASE_LOST`` with ``may_have_run`` when it may still be committed.
        """
        ...

    async def read_barrier(self) -> None:
        """Return once the local state includes everything committed before the call.

        Raises
        ------
        PasslaneError
            ``NOT_LEADER`` with verdict ``not_run``.
        """
        ...
