"""Gathers proposals, so that many share one append, one sync and one message to each follower."""

from collections.abc import Callable

import anyio

from passlane.errors import ErrorCode, Verdict
from passlane.raft.events import CommandsProposed
from passlane.replication.pending import PendingRequests

LONGEST_GATHERING_S = 0.004
"""While the last batch is not committed, the next one gathers for so long at most. A batch costs
a leader far more than a proposal in it (1.6 ms and 0.05 ms in docs/design/storage.md). With
12 ms the leader took 3 to 12% less processor time, and reservations were 3 to 12 ms longer
(docs/design/store-leader-cost.md)."""
LONGEST_DEFERRAL_S = 0.02
"""A proposal that may be deferred waits for so long at most for others to go with."""


class ProposalBatch:
    """Proposals that wait to be handed to the replica, and callers that wait for results.

    A proposal that comes while nothing is under way goes at once.

    Parameters
    ----------
    pending
        Callers by token; the driver completes them.
    """

    def __init__(self, pending: PendingRequests) -> None:
        self._pending = pending
        self._waiting: list[tuple[int, bytes]] = []
        self._arrived = anyio.Event()
        self._wanted = anyio.Event()

    async def propose(self, command: bytes, *, may_be_deferred: bool = False) -> bytes:
        """Return the result of ``command`` once it is applied.

        One that may be deferred goes with the next one that may not, in the order of the
        calls, or ``LONGEST_DEFERRAL_S`` later.

        Raises
        ------
        PasslaneError
            As the driver answers; the time-out error of ``pending``.
        """
        token = self._pending.add()
        self._waiting.append((token, command))
        self._arrived.set()
        if not may_be_deferred:
            self._wanted.set()
        return await self._pending.wait(token)

    async def run(self, step: Callable[[CommandsProposed], None]) -> None:
        """Hand proposals to ``step`` until cancelled."""
        while True:
            await self._arrived.wait()
            if not self._wanted.is_set():
                with anyio.move_on_after(LONGEST_DEFERRAL_S):
                    await self._wanted.wait()
            self._arrived = anyio.Event()
            self._wanted = anyio.Event()
            batch, self._waiting = self._waiting, []
            if batch:
                tokens, commands = zip(*batch, strict=True)
                step(CommandsProposed(tokens=tokens, commands=commands))
                await self._pending.wait_until_done(tokens[-1], LONGEST_GATHERING_S)

    def fail_all(self) -> None:
        """Answer those who wait: the replica no longer runs."""
        self._waiting = []
        self._pending.fail_all(ErrorCode.LEASE_LOST, "the replica stopped", Verdict.MAY_HAVE_RUN)
