"""Fetches the configuration for a region and reports how far the region has come."""

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
"""Seconds to wait for the control group's answer to a report."""


class ConfigurationRelay:
    """Runs on a region's store leader.

    Each answer of the control group is replicated in the region before any node gets
    it, so that what the region has reported as held survives its store leader. A report
    is sent only once a barrier has proved that this replica still led when it was made:
    in the table of a leader that was replaced unawares the members' leases have ended,
    so it would report for none of them.
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
        """Report and fetch, again and again, until cancelled."""
        while True:
            has_more = await self._exchange()
            if not has_more:
                await anyio.sleep(self._interval_s)

    async def _exchange(self) -> bool:
        """Send one report and keep the answer; return whether more is to be fetched."""
        report = self._report()
        try:
            # Proves that nobody else gave leases when the report was made.
            await self._group.read_barrier()
            delta = await self._control.execute(
                report, ConfigurationDelta, timeout_s=REPORT_TIMEOUT_S
            )
        except PasslaneError:
            # Deposed, or cut off from the control group: the region goes on with what it holds.
            return False
        held = self._machine.configuration
        is_news = (
            delta.is_snapshot
            or delta.to_revision > held.held_revision
            or delta.accepted_revision > held.accepted_revision
        )
        if not is_news:
            return False
        await propose_until_decided(self._group, RecordConfiguration(delta=delta))
        return held.held_revision < delta.accepted_revision

    def _report(self) -> RegionReport:
        held = self._machine.configuration
        progress = self._lease_table.progress(held.held_revision, anyio.current_time())
        if progress is None:
            # Members may hold a lease of the previous store leader: claim nothing for them.
            progress = ConfigurationProgress(0, NO_REVISION, NO_REVISION, ())
        return RegionReport(
            region=self._region,
            term=self._group.term,
            held_revision=held.held_revision,
            prepared_revision=_or_else(progress.prepared_revision, held.held_revision),
            revision_in_force=_or_else(progress.revision_in_force, held.accepted_revision),
            member_count=progress.member_count,
            laggards=progress.laggards,
            held_floor=held.floor_revision,
            in_flight=progress.in_flight,
        )


def _or_else(revision: Revision | None, without_members: Revision) -> Revision:
    """Return the members' revision, or the given one for a region without members."""
    return without_members if revision is None else revision
