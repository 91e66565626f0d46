"""Synchronizes a region's configuration with the control group.

While this replica leads the store group, it reports the region's progress and fetches the
documents that the region lacks. The configuration itself is part of the replicated state.
"""

import anyio

from passlane.errors import PasslaneError
from passlane.identifiers import Revision
from passlane.membership.lease_table import LeaseTable
from passlane.membership.members import ConfigurationProgress
from passlane.messages.control import NO_REVISION, ConfigurationDelta, RegionReport
from passlane.messages.store import RecordConfiguration
from passlane.replication.client import GroupClient
from passlane.replication.interfaces import ReplicatedGroup
from passlane.store.machine import StoreStateMachine
from passlane.store.proposals import propose_until_decided

REPORT_TIMEOUT_S = 2.0
"""Timeout of one report to the control group."""


class ConfigurationRelay:
    """Reports to the control group and replicates its replies; runs on the store leader.

    Each reply is replicated in the region before any node gets it, so that a reported
    revision survives a change of the store leader. A report is sent only after a read
    barrier has confirmed that this replica led when the report was made. A replaced
    leader sees no valid leases, so its report would leave out the members of the region.
    """

    def __init__(
        self,
        *,
        region: str,
        interval_s: float,
        group: ReplicatedGroup,
        machine: StoreStateMachine,
        lease_table: LeaseTable,
        control: GroupClient,
    ) -> None:
        self._region = region
        self._interval_s = interval_s
        self._group = group
        self._machine = machine
        self._lease_table = lease_table
        self._control = control

    async def run(self) -> None:
        """Report and fetch periodically until cancelled."""
        while True:
            has_more = await self._exchange()
            if not has_more:
                await anyio.sleep(self._interval_s)

    async def _exchange(self) -> bool:
        """Send one report and replicate the reply; return whether there is more to fetch."""
        report = self._report()
        try:
            # Confirms that no other leader granted leases when the report was made.
            await self._group.read_barrier()
            delta = await self._control.execute(
                report, ConfigurationDelta, timeout_s=REPORT_TIMEOUT_S
            )
        except PasslaneError:
            # Not the leader, or control group unreachable: keep the current configuration.
            return False
        ledger = self._machine.configuration
        is_update = (
            delta.is_snapshot
            or delta.to_revision > ledger.held_revision
            or delta.accepted_revision > ledger.accepted_revision
        )
        if not is_update:
            return False
        await propose_until_decided(self._group, RecordConfiguration(delta=delta))
        return ledger.held_revision < delta.accepted_revision

    def _report(self) -> RegionReport:
        ledger = self._machine.configuration
        progress = self._lease_table.progress(ledger.held_revision, anyio.current_time())
        if progress is None:
            # Members may hold a lease of the previous store leader: report no progress.
            progress = ConfigurationProgress(0, NO_REVISION, NO_REVISION, ())
        return RegionReport(
            region=self._region,
            term=self._group.term,
            held_revision=ledger.held_revision,
            prepared_revision=_or_default(progress.prepared_revision, ledger.held_revision),
            revision_in_force=_or_default(progress.revision_in_force, ledger.accepted_revision),
            member_count=progress.member_count,
            laggards=progress.laggards,
            held_floor=ledger.floor_revision,
            in_flight=progress.in_flight,
        )


def _or_default(revision: Revision | None, default: Revision) -> Revision:
    """Return the members' revision, or ``default`` for a region without members."""
    return default if revision is None else revision
