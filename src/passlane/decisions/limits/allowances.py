"""Tracks the requests that one node may send for each tenant without asking the leader.

Relaying nodes use it; it is a state machine without I/O or clock. It owns the unspent advance
grants by tenant and the mean number of calls that follow a turn. Advance grants expire after a
short time on the node's own clock, so a node that was suspended or partitioned does not spend
stale ones. Times are local monotonic seconds, amounts are requests.
"""

from collections import deque

import msgspec

ADVANCE_GRANT_TTL_S = 0.4
"""Seconds after which an advance grant expires; tool calls follow their turn within 0.1 s. The
bound over all nodes leaves room for at least half a second of the rate."""
PRIOR_CALLS_PER_TURN = 2.0
"""Tool calls per turn that are assumed at the start."""
PRIOR_TURNS = 20.0
"""Weight of ``PRIOR_CALLS_PER_TURN``, in turns."""
DECAY_FACTOR = 0.99
"""Factor by which the counts decay with each turn."""


class _Grant(msgspec.Struct):
    """Unspent requests of one advance grant, and the local time at which it expires."""

    left: int
    ends_at: float


class Allowances:
    """Advance grants of this node by tenant, and an estimate of how many it needs."""

    def __init__(self) -> None:
        self._granted: dict[str, deque[_Grant]] = {}
        self._turns = PRIOR_TURNS
        self._calls = PRIOR_TURNS * PRIOR_CALLS_PER_TURN

    def add_grant(self, tenant: str, count: int, requested_at: float) -> None:
        """Add an advance grant; its lifetime starts at ``requested_at``, not at its receipt."""
        if count > 0:
            grants = self._granted.setdefault(tenant, deque())
            grants.append(_Grant(count, requested_at + ADVANCE_GRANT_TTL_S))

    def spend(self, tenant: str, now: float) -> bool:
        """Spend one granted request; return whether one was available."""
        self._calls += 1
        grants = self._valid(tenant, now)
        if not grants:
            return False
        grants[0].left -= 1
        if grants[0].left == 0:
            grants.popleft()
        return True

    def available(self, tenant: str, now: float) -> int:
        """Return how many requests may be sent for a tenant without asking the leader."""
        return sum(grant.left for grant in self._valid(tenant, now))

    def prefetch_count(self, tenant: str, now: float) -> int:
        """Record the end of a turn; return how many requests to obtain for its tool calls."""
        self._turns = self._turns * DECAY_FACTOR + 1
        self._calls *= DECAY_FACTOR
        return max(0, round(self._calls / self._turns) - self.available(tenant, now))

    def _valid(self, tenant: str, now: float) -> deque[_Grant]:
        """Return the valid grants of a tenant, after removing the expired ones."""
        grants = self._granted.get(tenant)
        if grants is None:
            return deque()
        while grants and grants[0].ends_at <= now:
            grants.popleft()
        if not grants:
            del self._granted[tenant]
        return grants
