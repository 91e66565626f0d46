"""Finds the leader of the store group and detects when it changes.

It is for ``TurnStoreClient``. It owns the address of the current leader and the time since which
it is unconfirmed; one search serves all requests of the process. It relies on ``ReplicaSearch``
to probe all replicas, and on terms to tell a newer leader from an older one.

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
from passlane.transport.replica_search import ReplicaSearch, RetryIntervals

UNAVAILABLE_AFTER_S = 1.0
"""Time with an unconfirmed leader after which the store group counts as unavailable."""
PROBE_TIMEOUT_S = 0.3
"""Timeout of a probe of one replica."""
SEARCH_BACKOFF = RetryIntervals(first_s=0.04, longest_s=0.18, growth=2.0)
"""The maximum together with a probe that times out stays below half a second."""
RECENT_ANSWER_S = 0.15
"""Time after an answer during which the leader is not suspected."""

_log = get_logger(__name__)


class StoreLeaderFinder:
    """Probes all replicas in parallel for the leader while it is unconfirmed.

    All requests of the process share one search. A leader of an older term never replaces
    one of a newer term while the group is available, so that a partitioned replica that
    still believes it leads receives no requests.

    Parameters
    ----------
    addresses
        Returns the replicas' internal addresses as currently known.
    on_leader_changed
        Called when another replica becomes the leader.
    """

    def __init__(
        self,
        caller: Caller,
        addresses: Callable[[], Sequence[Address]],
        random: random_module.Random,
        on_leader_changed: Callable[[], None],
    ) -> None:
        self._caller = caller
        self._addresses = addresses
        self._on_leader_changed = on_leader_changed
        self._term = 0
        self._hint: Address | None = None
        self._unconfirmed_since: float | None = None
        self._last_answer_at = -math.inf
        self._search_requested = anyio.Event()
        self._found = anyio.Event()
        self.leader: Address | None = None
        self._search = ReplicaSearch(
            self._candidates, self._probe, self._is_confirmed, SEARCH_BACKOFF, random
        )

    @property
    def is_unavailable(self) -> bool:
        """Whether the leader has been unconfirmed for so long that the group is unavailable."""
        return self.unconfirmed_s >= UNAVAILABLE_AFTER_S

    @property
    def unconfirmed_s(self) -> float:
        """Seconds for which the leader has been unconfirmed; 0 while it is confirmed."""
        since = self._unconfirmed_since
        return anyio.current_time() - since if since is not None else 0.0

    async def wait_for_leader(self, deadline: float) -> Address:
        """Return the leader's address.

        Raises
        ------
        PasslaneError
            ``UNAVAILABLE`` when none is found in time.
        """
        while self.leader is None:
            self._mark_unconfirmed()
            found = self._found
            with anyio.move_on_at(deadline) as scope:
                await found.wait()
            if scope.cancelled_caught:
                raise PasslaneError(ErrorCode.UNAVAILABLE, "no leader of the store group found")
        return self.leader

    def suspect(self, address: Address) -> None:
        """Mark the leader as unconfirmed, because an answer of it is overdue.

        It remains the leader until another replica confirms that it leads.
        """
        has_answered_recently = anyio.current_time() - self._last_answer_at < RECENT_ANSWER_S
        if address == self.leader and not has_answered_recently:
            self._mark_unconfirmed()

    def mark_failed(self, address: Address, hint: Address | None, reason: str) -> None:
        """Record that a replica doesn't lead or can't be reached; ``hint`` may lead instead.

        Only the loss of the current leader is logged; of other replicas this is expected.
        """
        self._hint = hint
        if address != self.leader:
            return
        _log.info("store_leader_lost", address=str(address), reason=reason)
        self.leader = None
        self._found = anyio.Event()
        self._mark_unconfirmed()

    def confirm(self, address: Address) -> None:
        """Record that a replica answered as the leader."""
        if address == self.leader:
            self._last_answer_at = anyio.current_time()
            self._unconfirmed_since = None

    async def run(self) -> None:
        """Search at the start and whenever the leader is unconfirmed, until cancelled."""
        self._mark_unconfirmed()
        while True:
            await self._search_requested.wait()
            self._search_requested = anyio.Event()
            if self._unconfirmed_since is not None:
                await self._search.run()

    def _mark_unconfirmed(self) -> None:
        if self._unconfirmed_since is None:
            self._unconfirmed_since = anyio.current_time()
            self._search_requested.set()

    def _candidates(self) -> list[Address]:
        hints = [self._hint] if self._hint is not None else []
        return list(dict.fromkeys([*self._addresses(), *hints]))

    async def _probe(self, address: Address) -> bool:
        """Probe one replica; return whether the leader is now confirmed."""
        try:
            answer = await self._caller.call(
                address, FindTurnStore(), TurnStoreFound, timeout_s=PROBE_TIMEOUT_S
            )
        except PasslaneError as error:
            _log.debug("no_store_leader", address=str(address), code=error.code.value)
        else:
            self._accept_leader(address, answer.term)
        return self._is_confirmed()

    def _is_confirmed(self) -> bool:
        return self._unconfirmed_since is None

    def _accept_leader(self, address: Address, term: int) -> None:
        """Accept a replica that claims to lead, unless a leader of a later term is known."""
        since = self._unconfirmed_since
        if since is None or (term < self._term and not self.is_unavailable):
            return
        if address != self.leader:
            lost_s = round(anyio.current_time() - since, 3)
            _log.info("store_leader_found", address=str(address), term=term, lost_s=lost_s)
        is_new_leader = address != self.leader
        self.leader = address
        self._term = term
        self._last_answer_at = anyio.current_time()
        self._unconfirmed_since = None
        self._found.set()
        if is_new_leader:
            self._on_leader_changed()
