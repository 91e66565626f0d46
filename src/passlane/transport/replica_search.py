"""Asks all replicas of a group at once, again and again, until one gives what is wanted."""

import random as random_module
from collections.abc import Awaitable, Callable, Iterable

import anyio
import msgspec

from passlane.messages.common import Address

CANDIDATES_PERIOD_S = 0.05
"""How often it is looked whether further replicas became known."""
SHORTEST_JITTER = 0.5
"""A pause is drawn between this share of its bound and the whole."""


class SearchPauses(msgspec.Struct, frozen=True):
    """Pauses between two questions to one replica, in seconds; each is longer than the last."""

    first_s: float
    longest_s: float
    growth: float


class ReplicaSearch:
    """One search; it may be run again and again.

    Parameters
    ----------
    candidates
        Returns the replicas' internal addresses as now known.
    ask
        Asks one replica; returns whether it gave what is wanted. Must raise no error.
    is_over
        Returns whether the search has an end for another reason.
    """

    def __init__(
        self,
        candidates: Callable[[], Iterable[Address]],
        ask: Callable[[Address], Awaitable[bool]],
        is_over: Callable[[], bool],
        pauses: SearchPauses,
        random: random_module.Random,
    ) -> None:
        self._candidates = candidates
        self._ask = ask
        self._is_over = is_over
        self._pauses = pauses
        self._random = random

    async def run(self) -> None:
        """Ask until one replica gave what is wanted, or the search is over."""
        asked: set[Address] = set()
        async with anyio.create_task_group() as search:
            while not self._is_over():
                for address in self._candidates():
                    if address not in asked:
                        asked.add(address)
                        search.start_soon(self._ask_repeatedly, address, search.cancel_scope)
                await anyio.sleep(CANDIDATES_PERIOD_S)
            search.cancel_scope.cancel()

    async def _ask_repeatedly(self, address: Address, search: anyio.CancelScope) -> None:
        pause_s = self._pauses.first_s
        while not self._is_over() and not await self._ask(address):
            await anyio.sleep(self._random.uniform(SHORTEST_JITTER, 1.0) * pause_s)
            pause_s = min(self._pauses.longest_s, self._pauses.growth * pause_s)
        search.cancel()
