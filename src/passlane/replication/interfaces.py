"""What a replicated group offers to the service on top of it, and what it asks of it."""

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

    def take_snapshot(self) -> bytes:
        """Return the whole state, encoded, with a format version."""
        ...

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
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

    async def propose(self, command: bytes) -> bytes:
        """Replicate a command and return its result.

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
