"""A tenant's window passes while leaders are lost in series, neither early nor never.

Guards against a tenant that is refused for ever: each new leader took the newest replicated grants
for granted just now, and nothing told the replicas of time that passed without a grant.
"""

import unittest

import anyio
import anyio.lowlevel

from passlane.errors import PasslaneError
from passlane.messages.quotas import (
    DrawQuota,
    QuotaGranted,
    QuotaLimit,
    QuotaPurpose,
    QuotaRequest,
)
from turns.store_group import run_with_group
from turns.test_state_age import repeat

WINDOW_S = 5.0
CAPACITY = 20
"""Requests that the limit allows in a window."""
DRAW = DrawQuota(
    draw=QuotaRequest(
        limit=QuotaLimit(tenant="t", rate_per_s=2.0, burst=10.0, version=1),
        use=QuotaPurpose.STANDALONE,
    )
)
DRAW_INTERVAL_S = 0.2
RUN_S = 60.0
LEAST_GRANTED = RUN_S / WINDOW_S * CAPACITY / 4
"""A quarter of what the limit allows in the run."""


async def draw(group):
    """Draw once at the leader; return the time for which the request was granted, else ``None``."""
    leader = group.leader
    if leader is None:
        return None
    try:
        answer = await leader.service.draw_quota(DRAW)
    except PasslaneError:
        return None
    if not isinstance(answer, QuotaGranted):
        return None
    return anyio.current_time() + answer.start_after_s


class LostLeadersTest(unittest.TestCase):
    def granted_while(self, disrupt, every_s):
        """Return the times for which a tenant's requests are granted."""

        async def body(group):
            group.tasks.start_soon(repeat, every_s, lambda: disrupt(group))
            granted = []
            while anyio.current_time() < RUN_S:
                at = await draw(group)
                if at is not None:
                    granted.append(at)
                await anyio.sleep(DRAW_INTERVAL_S if at is None else 0.0)
            return granted

        return sorted(run_with_group(body))

    def assert_limited(self, granted):
        for first in granted:
            in_window = sum(first <= at < first + WINDOW_S for at in granted)
            self.assertLessEqual(in_window, CAPACITY + 1)
        self.assertGreaterEqual(len(granted), LEAST_GRANTED)

    def test_without_a_disruption(self):
        self.assert_limited(self.granted_while(lambda group: anyio.lowlevel.checkpoint(), 1.0))

    def test_a_new_leader_each_second(self):
        self.assert_limited(self.granted_while(lambda group: group.hand_over(), 0.6))

    def test_the_leader_is_restarted_each_second(self):
        self.assert_limited(self.granted_while(lambda group: group.restart_leader(0.3), 0.7))

    def test_all_are_killed_every_two_seconds(self):
        self.assert_limited(self.granted_while(lambda group: group.restart_all(0.3), 1.3))


if __name__ == "__main__":
    unittest.main()
