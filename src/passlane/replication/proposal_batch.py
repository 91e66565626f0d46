"""Gathers proposals, so that all that come in during one turn of the loop go together."""

from collections.abc import Callable

import anyio

from passlane.errors import ErrorCode, Verdict
from passlane.raft.events import CommandsProposed
from passlane.replication.pending import PendingRequests


class ProposalBatch:
    """Proposals that wait to be handed to the replica, and callers that wait for results.

    Parameters
    ----------
    pending
        Callers by token; the driver completes them.
    timeout_s
        A caller waits for so long at most.
    """

    def __init__(self, pending: PendingRequests, timeout_s: float) -> None:
        self._pending = pending
        self._timeout_s = timeout_s
        self._waiting: list[tuple[int, bytes]] = []
        self._arrived = anyio.Event()

    async def propose(self, command: bytes) -> bytes:
        """Return the result of ``command`` once it is applied.

        Raises
        ------
        PasslaneError
            As the driver answers; the time-out error of ``pending``.
        """
        token = self._pending.add()
        self._waiting.append((token, command))
        self._arrived.set()
        return await self._pending.wait(token, self._timeout_s)

    async def run(self, step: Callable[[CommandsProposed], None]) -> None:
        """Hand proposals to ``step`` until cancelled."""
        while True:
            await self._arrived.wait()
            self._arrived = anyio.Event()
            batch, self._waiting = self._waiting, []
            if batch:
                tokens, commands = zip(*batch, strict=True)
                step(CommandsProposed(tokens=tokens, commands=commands))

    def fail_all(self) -> None:
        """Answer those who wait: the replica no longer runs."""
        self._waiting = []
        self._pending.fail_all(ErrorCode.LEASE_LOST, "the replica stopped", Verdict.MAY_HAVE_RUN)
