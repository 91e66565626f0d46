"""What the leader of the control group does unasked, again and again.

For: the store group is formed, retired replicas leave it, and some node reads the list of back
ends, whoever leads and whenever leadership moves. Each duty is safe to repeat.
Owns: nothing.
Relies on: ``LeaderState`` for what there is to do, ``StoreRetirements`` to remove replicas.
"""

import anyio

from passlane.errors import PasslaneError
from passlane.fleet.leader_state import LeaderState
from passlane.fleet.store_retirements import StoreRetirements
from passlane.messages.fleet import FoundStoreGroup, StoreGroupFounded
from passlane.observability.logging import get_logger

DUTIES_PERIOD_S = 0.25
"""Seconds between two rounds of duties.

Not measured; chosen: well below the pauses that the duties wait for (1.5 s and 1.6 s).
"""

_log = get_logger(__name__)


class LeaderDuties:
    """Carries out the duties while this replica leads.

    Parameters
    ----------
    store_voters
        How many members the store group is formed with.
    """

    def __init__(
        self, leader: LeaderState, retirements: StoreRetirements, store_voters: int
    ) -> None:
        self._leader = leader
        self._retirements = retirements
        self._store_voters = store_voters

    async def run(self) -> None:
        """Carry out the duties until cancelled."""
        while True:
            await anyio.sleep(DUTIES_PERIOD_S)
            if not self._leader.is_leader:
                continue
            try:
                await self._do_round()
            except PasslaneError as error:
                # The next round tries again.
                _log.info("fleet_duty_failed", code=error.code.value, message=error.message)

    async def _do_round(self) -> None:
        self._leader.choose_reader()
        await self._form_store_group()
        await self._retirements.remove_retired()

    async def _form_store_group(self) -> None:
        """Settle the initial members of the store group, unless that is done already."""
        if self._leader.replicated.store_founders:
            return
        now = anyio.current_time()
        initial = self._leader.directory.founders_due(now, self._store_voters)
        if not initial:
            return
        await self._leader.propose(FoundStoreGroup(initial), StoreGroupFounded)
        _log.info("store_group_founded", members=[member.name for member in initial])
        self._leader.note_store_group_changed()
