"""Changes to the members of a group that the local replica leads.

In a group without bounded voters, callers wait until their change is committed. With
bounded voters (``raft.voter_selection``) a call only records the request with the leader.
"""

from collections.abc import Callable

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address, NotLeaderError
from passlane.messages.replication import JoinReply, JoinRequest
from passlane.raft.events import MemberAdded, MemberRemoved, ReplicaDecommissioned, ReplicaOffered
from passlane.raft.membership import member_of
from passlane.replication.driver import ReplicaDriver
from passlane.replication.joining import handle_join, members_replaced_by
from passlane.replication.pending import PendingRequests
from passlane.storage.identity import process_name_from_replica_id


class MembershipChanges:
    """Adds replicas to a group and removes the members that they replace.

    Parameters
    ----------
    ready_driver
        Returns the driver of the local replica; raises ``NotLeaderError`` while there is
        none.
    proposals
        Callers that wait for a proposal by the local replica.
    has_bounded_voters
        Whether the number of voters is bounded.
    """

    def __init__(
        self,
        ready_driver: Callable[[], ReplicaDriver],
        proposals: PendingRequests,
        *,
        has_bounded_voters: bool,
    ) -> None:
        self._has_bounded_voters = has_bounded_voters
        self._ready_driver = ready_driver
        self._proposals = proposals

    async def answer_join_request(self, request: JoinRequest) -> JoinReply:
        """Add a replica if the local one leads.

        Raises
        ------
        NotLeaderError
            When the local replica does not lead.
        PasslaneError
            ``TIMEOUT`` when a change was not committed in time.
        """
        driver = self._leading_driver()
        if self._has_bounded_voters:
            return self._record_offer(request, driver)
        return await handle_join(request, driver.replica.membership, self._add, self._remove)

    @staticmethod
    def _record_offer(request: JoinRequest, driver: ReplicaDriver) -> JoinReply:
        """Record the offer of a replica; return whether it is a voter already."""
        membership = driver.replica.membership
        replaces = tuple(member.replica_id for member in members_replaced_by(request, membership))
        own = member_of(membership, request.replica_id)
        is_voter = own is not None and own.is_voter and own.address == request.address
        if replaces or not is_voter:
            driver.step(ReplicaOffered(request.replica_id, request.address, request.zone, replaces))
        return JoinReply(is_voter=is_voter, is_replaced=not replaces)

    async def remove(self, process_name: str) -> None:
        """Remove the replicas of a process if the local replica leads.

        With bounded voters this returns immediately; a voter is removed after its
        replacement is promoted.

        Raises
        ------
        NotLeaderError
            When the local replica does not lead.
        PasslaneError
            ``TIMEOUT`` when a change was not committed in time.
        """
        driver = self._leading_driver()
        for member in driver.replica.membership.members:
            if process_name_from_replica_id(member.replica_id) != process_name:
                continue
            if self._has_bounded_voters:
                driver.step(ReplicaDecommissioned(member.replica_id))
            else:
                await self._remove(member.replica_id)

    def _leading_driver(self) -> ReplicaDriver:
        """Return the driver if the local replica leads; raise otherwise."""
        driver = self._ready_driver()
        if not driver.is_leader:
            raise NotLeaderError("not the leader of the group", driver.leader_address)
        return driver

    async def _add(self, replica_id: ReplicaId, address: Address) -> None:
        """Add a learner; return once the change is committed."""
        token = self._proposals.add()
        await self._propose(MemberAdded(token=token, replica_id=replica_id, address=address))

    async def _remove(self, replica_id: ReplicaId) -> None:
        """Remove a member; return once the change is committed."""
        token = self._proposals.add()
        await self._propose(MemberRemoved(token=token, replica_id=replica_id))

    async def _propose(self, change: MemberAdded | MemberRemoved) -> None:
        self._ready_driver().step(change)
        await self._proposals.wait(change.token)
