"""Answers which replica of the store group leads, and notes when another one does.

It is for ``TurnStoreClient``. It owns the leader as now believed and since when it is in doubt;
one search serves all requests of the process. It relies on ``ReplicaSearch`` for asking all
replicas, and on terms for telling a newer leader from an older one.

Times are in seconds.
"""

import math
import random as random_module
from collections.abc import Callable, Sequence

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address
from passlane.messages.turns import FindTurnStore, TurnStoreFound
from passlane.observability.logging import get_logger
from passlane.transport.interfaces import Caller
from passlane.transport.replica_search import ReplicaSearch, SearchPauses

LOST_AFTER_S = 1.0
"""Seconds without a word of its leader after which the store group counts as lost. Not measured;
chosen."""
PROBE_TIMEOUT_S = 0.3
"""Seconds that one replica has to say whether it leads. Not measured; chosen."""
SEARCH_PAUSES = SearchPauses(first_s=0.04, longest_s=0.18, growth=2.0)
"""The longest, together with a question that nobody answers, stays below half a second. Not
measured; chosen."""
TRUST_S = 0.15
"""Seconds for which a leader that has just answered is not put in doubt again. Not measured;
chosen."""

_log = get_logger(__name__)


class StoreLeaderFinder:
    """Asks all replicas at once which of them leads, as long as that is in doubt.

    All requests of the process share one search. A leader of an older term never takes
    the place of a newer one, so that a cut-off replica that still believes it leads
    draws no requests.

    Parameters
    ----------
    addresses
        Returns the replicas' internal addresses as now known.
    on_moved
        Called when another replica turns out to lead.
    """

    def __init__(
        self,
        caller: Caller,
        addresses: Callable[[], Sequence[Address]],
        random: random_module.Random,
        on_moved: Callable[[], None],
    ) -> None:
        self._caller = caller
        self._addresses = addresses
        self._on_moved = on_moved
        self._term = 0
        self._hint: Address | None = None
        self._in_doubt_since: float | None = None
        self._heard_at = -math.inf
        self._search_wanted = anyio.Event()
        self._found = anyio.Event()
        self.leader: Address | None = None
        self._search = ReplicaSearch(
            self._candidates, self._ask, self._is_sure, SEARCH_PAUSES, random
        )

    @property
    def is_lost(self) -> bool:
        """Whether the leader has been in doubt for so long that the group counts as lost."""
        return self.doubt_s >= LOST_AFTER_S

    @property
    def doubt_s(self) -> float:
        """For how long the leader has been in doubt; 0 while it is not."""
        since = self._in_doubt_since
        return anyio.current_time() - since if since is not None else 0.0

    async def wait_for_leader(self, deadline: float) -> Address:
        """Return the leader's address.

        Raises
        ------
        PasslaneError
            ``UNAVAILABLE`` when none is found in time.
        """
        while self.leader is None:
            self._doubt()
            found = self._found
            with anyio.move_on_at(deadline) as scope:
                await found.wait()
            if scope.cancelled_caught:
                raise PasslaneError(ErrorCode.UNAVAILABLE, "no leader of the store group found")
        return self.leader

    def suspect(self, address: Address) -> None:
        """Note that an answer of the leader is overdue; it stays unless another one leads."""
        is_trusted = anyio.current_time() - self._heard_at < TRUST_S
        if address == self.leader and not is_trusted:
            self._doubt()

    def reject(self, address: Address, hint: Address | None, reason: str) -> None:
        """Note that a replica doesn't lead, or can't be reached; ``hint`` may lead instead.

        Of a replica that is not taken to lead that is no news, so it is logged of the leader only.
        """
        self._hint = hint
        if address != self.leader:
            return
        _log.info("store_leader_lost", address=str(address), reason=reason)
        self.leader = None
        self._found = anyio.Event()
        self._doubt()

    def confirm(self, address: Address) -> None:
        """Note that a replica answered as the leader."""
        if address == self.leader:
            self._heard_at = anyio.current_time()
            self._in_doubt_since = None

    async def run(self) -> None:
        """Search at the start and whenever the leader is in doubt, until cancelled."""
        self._doubt()
        while True:
            await self._search_wanted.wait()
            self._search_wanted = anyio.Event()
            if self._in_doubt_since is not None:
                await self._search.run()

    def _doubt(self) -> None:
        if self._in_doubt_since is None:
            self._in_doubt_since = anyio.current_time()
            self._search_wanted.set()

    def _candidates(self) -> list[Address]:
        hints = [self._hint] if self._hint is not None else []
        return list(dict.fromkeys([*self._addresses(), *hints]))

    async def _ask(self, address: Address) -> bool:
        """Ask one replica whether it leads; return whether the doubt is over."""
        try:
            answer = await self._caller.call(
                address, FindTurnStore(), TurnStoreFound, timeout_s=PROBE_TIMEOUT_S
            )
        except PasslaneError as error:
            _log.debug("no_store_leader", address=str(address), code=error.code.value)
        else:
            self._take_over(address, answer.term)
        return self._is_sure()

    def _is_sure(self) -> bool:
        return self._in_doubt_since is None

    def _take_over(self, address: Address, term: int) -> None:
        """Believe a replica that says it leads, unless a later leader is known."""
        since = self._in_doubt_since
        if since is None or (term < self._term and not self.is_lost):
            return
        if address != self.leader:
            lost_s = round(anyio.current_time() - since, 3)
            _log.info("store_leader_found", address=str(address), term=term, lost_s=lost_s)
        has_moved = address != self.leader
        self.leader = address
        self._term = term
        self._heard_at = anyio.current_time()
        self._in_doubt_since = None
        self._found.set()
        if has_moved:
            self._on_moved()
