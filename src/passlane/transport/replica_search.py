"""Queries all replicas of a group concurrently until one of them succeeds.

Each replica is retried on its own, with a growing interval between attempts.
"""

import random as random_module
from collections.abc import Awaitable, Callable, Iterable

import anyio
import msgspec

from passlane.messages.common import Address

CANDIDATES_PERIOD_S = 0.05
"""Interval between checks for new replicas."""
MIN_JITTER_SHARE = 0.5
"""Minimum wait as a share of the interval between two attempts."""


class RetryIntervals(msgspec.Struct, frozen=True):
    """Intervals between two attempts on one replica: first, maximum, and factor of growth."""

    first_s: float
    longest_s: float
    growth: float


class ReplicaSearch:
    """Queries replicas until one succeeds; may be run repeatedly.

    Parameters
    ----------
    candidates
        Returns the current internal addresses of the replicas.
    query
        Queries one replica; returns whether it succeeded. Must not raise errors.
    is_over
        Returns whether the search has ended for another reason.
    """

    def __init__(
        self,
        candidates: Callable[[], Iterable[Address]],
        query: Callable[[Address], Awaitable[bool]],
        is_over: Callable[[], bool],
        intervals: RetryIntervals,
        random: random_module.Random,
    ) -> None:
        self._candidates = candidates
        self._query = query
        self._is_over = is_over
        self._intervals = intervals
        self._random = random

    async def run(self) -> None:
        """Query until one replica succeeds or the search is over."""
        queried: set[Address] = set()
        async with anyio.create_task_group() as search:
            while not self._is_over():
                for address in self._candidates():
                    if address not in queried:
                        queried.add(address)
                        search.start_soon(self._query_repeatedly, address, search.cancel_scope)
                await anyio.sleep(CANDIDATES_PERIOD_S)
            search.cancel_scope.cancel()

    async def _query_repeatedly(self, address: Address, search: anyio.CancelScope) -> None:
        interval_s = self._intervals.first_s
        while not self._is_over() and not await self._query(address):
            await anyio.sleep(self._random.uniform(MIN_JITTER_SHARE, 1.0) * interval_s)
            interval_s = min(self._intervals.longest_s, self._intervals.growth * interval_s)
        search.cancel()
