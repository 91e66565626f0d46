"""What a replicated group offers to the service on top of it, and what it asks of it."""

from collections.abc import Iterable, Iterator
from typing import Protocol

from passlane.messages.common import Address


class StateMachine(Protocol):
    """A deterministic state machine whose commands are replicated.

    ``apply`` must depend on nothing but the state and the command: no clock, no
    random numbers, no iteration over unordered sets.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its encoded result; never raise."""
        ...

    def snapshot_parts(self) -> Iterator[bytes]:
        """Return the whole state as of this call, encoded, in parts.

        Commands are applied between two parts and must not show in those that follow.
        A part should take no more than milliseconds to encode: the loop stands still.
        An iterator that is dropped half-way ends that snapshot; there is one at a time.
        """
        ...

    def restore_parts(self, parts: Iterable[bytes]) -> Iterator[None]:
        """Replace the state by that of a snapshot; yields whenever the loop may go on.

        The old state stays in place until the last part was taken.
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
        """Address of the leader as far as known."""
        ...

    @property
    def term(self) -> int:
        """Current term; serves as fencing token for what the leader orders."""
        ...

    async def propose(self, command: bytes, *, may_be_deferred: bool = False) -> bytes:
        """Replicate a command and return its result.

        One that may be deferred waits for a moment for others to be replicated with. It is
        never applied after a command that was proposed later.

        Raises
        ------
        PasslaneError
            ``NOT_LEADER`` or ``DISK_FULL`` with verdict ``not_run``; ``TIMEOUT`` or
            ``LEASE_LOST`` with ``may_have_run`` when it may still be committed.
        """
        ...

    async def read_barrier(self) -> None:
        """Return once local state holds all that was committed before the call.

        Raises
        ------
        PasslaneError
            ``NOT_LEADER`` with verdict ``not_run``.
        """
        ...
