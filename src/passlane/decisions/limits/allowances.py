"""Answers whether one node may send a request for a tenant without asking.

It is for the nodes that relay requests, a state machine without I/O or clock. It owns what the
node holds for each tenant and how many calls follow a turn; it relies on ``quota_ledger`` for
what is granted ahead. Times are local monotonic seconds, amounts are requests.

Requests that were granted ahead end after a short time by the node's own clock. So a node that
was frozen, or is cut off from whoever grants, spends nothing that was granted long ago, and
what all nodes may still hold is bounded by the rate times that time.
"""

from collections import deque

import msgspec

AHEAD_VALID_S = 0.4
"""Seconds for which requests granted ahead may be sent. The bound over all nodes leaves half a
second's worth of the rate and more; calls follow their turn within 0.1 s. Not measured; chosen."""
EXPECTED_CALLS_PER_TURN = 2.0
"""Calls without a turn for each turn, before any were seen. Not measured; chosen."""
EXPECTED_TURNS = 20.0
"""Weight of that expectation, in turns. Not measured; chosen."""
FORGET_SHARE = 0.99
"""Share of what was seen that still counts after one more turn. Not measured; chosen."""


class _Granted(msgspec.Struct):
    """Requests granted ahead, and the local time at which they end."""

    left: int
    ends_at: float


class Allowances:
    """Requests that this node holds for tenants, and how many it is going to need."""

    def __init__(self) -> None:
        self._granted: dict[str, deque[_Granted]] = {}
        self._turns = EXPECTED_TURNS
        self._calls = EXPECTED_TURNS * EXPECTED_CALLS_PER_TURN

    def hold(self, tenant: str, count: int, asked_at: float) -> None:
        """Note requests that were granted ahead to a question of ``asked_at``."""
        if count > 0:
            grants = self._granted.setdefault(tenant, deque())
            grants.append(_Granted(count, asked_at + AHEAD_VALID_S))

    def take(self, tenant: str, now: float) -> bool:
        """Spend one request that is held; return whether there was one."""
        self._calls += 1
        grants = self._valid(tenant, now)
        if not grants:
            return False
        grants[0].left -= 1
        if grants[0].left == 0:
            grants.popleft()
        return True

    def held(self, tenant: str, now: float) -> int:
        """Return the requests that may be sent for a tenant without asking."""
        return sum(granted.left for granted in self._valid(tenant, now))

    def wanted_after_turn(self, tenant: str, now: float) -> int:
        """Note a turn that ended; return the requests to ask for ahead of its tool calls."""
        self._turns = self._turns * FORGET_SHARE + 1
        self._calls *= FORGET_SHARE
        return max(0, round(self._calls / self._turns) - self.held(tenant, now))

    def _valid(self, tenant: str, now: float) -> deque[_Granted]:
        """Return what is held for a tenant; what has ended is forgotten."""
        grants = self._granted.get(tenant)
        if grants is None:
            return deque()
        while grants and grants[0].ends_at <= now:
            grants.popleft()
        if not grants:
            del self._granted[tenant]
        return grants
