"""Periodic tasks of the control group's leader.

For: forming the store group, removing retired replicas from it, and choosing the node that reads
the list of backends. Each task is idempotent, so that any new leader can repeat it.
Owns: nothing.
Relies on: ``LeaderState`` for the state to act on, ``StoreRetirements`` to remove replicas.
"""

import anyio

from passlane.errors import PasslaneError
from passlane.fleet.leader_state import LeaderState
from passlane.fleet.store_retirements import StoreRetirements
from passlane.messages.fleet import FoundStoreGroup, StoreGroupFounded
from passlane.observability.logging import get_logger

ROUND_INTERVAL_S = 0.25
"""Interval between two rounds; well below the timeouts that the tasks check
(``directory.FORMATION_QUIET_S`` and ``backend_listing.REPORT_OVERDUE_S``)."""

_log = get_logger(__name__)


class LeaderTasks:
    """Runs the periodic tasks while this replica leads.

    Parameters
    ----------
    store_voters
        Number of members with which the store group is formed.
    """

    def __init__(
        self, leader: LeaderState, retirements: StoreRetirements, store_voters: int
    ) -> None:
        self._leader = leader
        self._retirements = retirements
        self._store_voters = store_voters

    async def run(self) -> None:
        """Run the tasks until cancelled."""
        while True:
            await anyio.sleep(ROUND_INTERVAL_S)
            if not self._leader.is_leader:
                continue
            try:
                await self._run_round()
            except PasslaneError as error:
                # The next round retries.
                _log.info("fleet_duty_failed", code=error.code.value, message=error.message)

    async def _run_round(self) -> None:
        self._leader.choose_reader()
        await self._form_store_group()
        await self._retirements.remove_retired()

    async def _form_store_group(self) -> None:
        """Replicate the initial members of the store group unless they exist already."""
        if self._leader.replicated.store_founders:
            return
        now = anyio.current_time()
        initial = self._leader.directory.initial_store_members(now, self._store_voters)
        if not initial:
            return
        await self._leader.propose(FoundStoreGroup(initial), StoreGroupFounded)
        _log.info("store_group_founded", members=[member.name for member in initial])
        self._leader.publish_store_group_change()
