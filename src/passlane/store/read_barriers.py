"""Read barriers shared by the requests that wait for one."""

import anyio

from passlane.errors import PasslaneError
from passlane.replication.interfaces import ReplicatedGroup


class _Round:
    """One barrier, which all that asked before it began may share."""

    def __init__(self) -> None:
        self.is_done = False
        self.error: PasslaneError | None = None


class SharedReadBarrier:
    """Lets requests share a barrier that begins after all of them have come.

    While a barrier runs, later requests gather for the next one, because the running
    one proves nothing about what happened after it began. So the cost of a barrier is
    spread over all heartbeats and queries that arrive during one round trip.
    """

    def __init__(self, group: ReplicatedGroup) -> None:
        self._group = group
        self._lock = anyio.Lock()
        self._gathering = _Round()

    async def wait(self) -> None:
        """Return once local state holds all that was committed before the call.

        Raises
        ------
        PasslaneError
            ``NOT_LEADER`` with verdict ``not_run``.
        """
        own_round = self._gathering
        async with self._lock:
            if not own_round.is_done:
                await self._run(own_round)
        if own_round.error is not None:
            raise own_round.error

    async def _run(self, own_round: _Round) -> None:
        if self._gathering is own_round:
            self._gathering = _Round()
        try:
            await self._group.read_barrier()
        except PasslaneError as error:
            own_round.error = error
        own_round.is_done = True
