"""Changes to the members of a group that the local replica leads."""

from collections.abc import Callable

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address, NotLeaderError
from passlane.messages.replication import JoinReply, JoinRequest
from passlane.raft.events import MemberAdded, MemberRemoved
from passlane.replication.driver import ReplicaDriver
from passlane.replication.joining import take_in
from passlane.replication.pending import PendingRequests
from passlane.storage.identity import process_name_of


class MembershipChanges:
    """Takes replicas into a group and removes those that they replace.

    Parameters
    ----------
    ready_driver
        Returns the driver of the local replica; raises ``NotLeaderError`` while there is
        none.
    proposals
        Callers that wait for a proposal of the local replica.
    timeout_s
        Seconds after which a change is given up; it may still come into force.
    """

    def __init__(
        self,
        ready_driver: Callable[[], ReplicaDriver],
        proposals: PendingRequests,
        timeout_s: float,
    ) -> None:
        self._ready_driver = ready_driver
        self._proposals = proposals
        self._timeout_s = timeout_s

    async def answer_join(self, request: JoinRequest) -> JoinReply:
        """Take in a replica, if the local one leads.

        Raises
        ------
        NotLeaderError
            When the local replica does not lead.
        PasslaneError
            ``TIMEOUT`` when a change was not committed in time.
        """
        driver = self._leading_driver()
        return await take_in(request, driver.replica.membership, self._add, self._remove)

    async def remove(self, process_name: str) -> None:
        """Remove the replicas of a process, if the local replica leads.

        Raises
        ------
        NotLeaderError
            When the local replica does not lead.
        PasslaneError
            ``TIMEOUT`` when a change was not committed in time.
        """
        for member in self._leading_driver().replica.membership.members:
            if process_name_of(member.replica_id) == process_name:
                await self._remove(member.replica_id)

    def _leading_driver(self) -> ReplicaDriver:
        """Return the driver of a replica that leads; refuse otherwise."""
        driver = self._ready_driver()
        if not driver.is_leader:
            raise NotLeaderError("not the leader of the group", driver.leader_address)
        return driver

    async def _add(self, replica_id: ReplicaId, address: Address) -> None:
        """Add a learner; return once that is committed."""
        token = self._proposals.add()
        await self._propose(MemberAdded(token=token, replica_id=replica_id, address=address))

    async def _remove(self, replica_id: ReplicaId) -> None:
        """Remove a member; return once that is committed."""
        token = self._proposals.add()
        await self._propose(MemberRemoved(token=token, replica_id=replica_id))

    async def _propose(self, change: MemberAdded | MemberRemoved) -> None:
        self._ready_driver().step(change)
        await self._proposals.wait(change.token, self._timeout_s)
