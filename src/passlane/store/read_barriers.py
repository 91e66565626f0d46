"""Read barriers shared by concurrent requests.

The cost of one barrier is spread over all heartbeats and queries that arrive during a
round trip.
"""

import anyio

from passlane.errors import PasslaneError
from passlane.replication.interfaces import ReplicatedGroup


class _Barrier:
    """One barrier, shared by all requests that arrived before it started."""

    def __init__(self) -> None:
        self.is_done = False
        self.error: PasslaneError | None = None


class SharedReadBarrier:
    """Batches requests so that one barrier serves all that arrived before it started.

    Requests that arrive while a barrier runs wait for the next one, because the running
    barrier does not cover anything after its start.
    """

    def __init__(self, group: ReplicatedGroup) -> None:
        self._group = group
        self._lock = anyio.Lock()
        self._next_barrier = _Barrier()

    async def wait(self) -> None:
        """Return once the local state includes everything committed before the call.

        Raises
        ------
        PasslaneError
            ``NOT_LEADER`` with verdict ``not_run``.
        """
        barrier = self._next_barrier
        async with self._lock:
            if not barrier.is_done:
                await self._run(barrier)
        if barrier.error is not None:
            raise barrier.error

    async def _run(self, barrier: _Barrier) -> None:
        if self._next_barrier is barrier:
            self._next_barrier = _Barrier()
        try:
            await self._group.read_barrier()
        except PasslaneError as error:
            barrier.error = error
        barrier.is_done = True
