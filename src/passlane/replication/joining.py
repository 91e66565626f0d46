"""Founding and joining a group.

The first member in the settings determines the founders once all other members have
reported the identities of their empty folders; the others adopt its result. Any other
replica without membership (a new machine, a wiped disk, a damaged log) is added by the
leader under a new identity, as a learner that is promoted once it has caught up.
"""

import random as random_module
from collections.abc import Awaitable, Callable, Sequence

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import GroupMember, GroupMembership
from passlane.messages.replication import (
    GroupStatus,
    GroupStatusRequest,
    JoinReply,
    JoinRequest,
)
from passlane.observability.logging import get_logger
from passlane.raft.membership import member_of
from passlane.replication.backoff import Backoff
from passlane.replication.client import GroupClient
from passlane.settings.model import PeerSettings
from passlane.storage.formats import Identity
from passlane.storage.identity import IdentityFile, process_name_from_replica_id
from passlane.transport.interfaces import Caller

STATUS_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
JOIN_TIMEOUT_S = 5.0
MEMBER_SEARCH_INTERVAL_S = 0.5
"""Interval between two searches for members that can repair this replica."""

FindMembers = Callable[[], Sequence[PeerSettings]]
"""Returns replicas of a group that were discovered in addition to the settings."""

logger = get_logger(__name__)


def founders_from(
    members: Sequence[PeerSettings], statuses: dict[str, GroupStatus]
) -> tuple[GroupMember, ...]:
    """Return the founders; empty if a member has no status or may not found the group."""
    founders = []
    for member in members:
        status = statuses.get(member.name)
        if status is None or not status.may_found:
            return ()
        founder = GroupMember(status.replica_id, member.internal, is_voter=True, zone=status.zone)
        founders.append(founder)
    return tuple(founders)


def status_of(identity: Identity, zone: str) -> GroupStatus:
    """Return the status of a replica from its stored identity and its zone."""
    return GroupStatus(
        replica_id=identity.replica_id,
        is_member=identity.is_member,
        may_found=identity.may_found and not identity.is_member,
        founders=identity.founders,
        zone=zone,
    )


class GroupJoiner:
    """Lets one replica found or join its group.

    Parameters
    ----------
    own_name
        This replica's name among ``members``.
    zone
        Zone of this replica.
    find_members
        Returns replicas of the group that were discovered in addition to ``members``.
    may_join
        Whether this replica may currently request to join.
    """

    def __init__(
        self,
        group: str,
        own_name: str,
        members: Sequence[PeerSettings],
        caller: Caller,
        random: random_module.Random,
        identity_file: IdentityFile,
        zone: str,
        find_members: FindMembers | None,
        may_join: Callable[[], bool],
    ) -> None:
        self._group = group
        self._zone = zone
        self._may_join = may_join
        self._own_name = own_name
        self._members = members
        self._find_members = find_members
        self._caller = caller
        self._random = random
        self._identity_file = identity_file

    @property
    def _peers(self) -> list[PeerSettings]:
        """The other known replicas, from the settings or discovered."""
        found = self._find_members() if self._find_members is not None else ()
        known = {member.internal: member for member in (*self._members, *found)}
        return [member for member in known.values() if member.name != self._own_name]

    @property
    def has_peers(self) -> bool:
        """Whether any other replica is known."""
        return bool(self._peers)

    @property
    def can_discover(self) -> bool:
        """Whether replicas beyond those in the settings may be discovered."""
        return self._find_members is not None

    async def wait_for_members(self, count: int, timeout_s: float) -> bool:
        """Return whether ``count`` others report within ``timeout_s`` that they are members."""
        with anyio.move_on_after(timeout_s):
            while True:
                statuses = await self._request_statuses()
                members = sorted(name for name, status in statuses.items() if status.is_member)
                logger.info("members_counted", group=self._group, members=members, expected=count)
                if len(members) >= count:
                    return True
                await anyio.sleep(MEMBER_SEARCH_INTERVAL_S)
        return False

    @property
    def own_address(self) -> Address:
        """Address of this replica in the settings."""
        for member in self._members:
            if member.name == self._own_name:
                return member.internal
        raise PasslaneError(
            ErrorCode.INVALID_SETTINGS,
            f"{self._own_name} is not among the members of group {self._group}",
        )

    async def resolve_founding(self, identity: Identity) -> Identity:
        """Return the identity once it is a founder, or once a group to join exists."""
        backoff = Backoff(self._random, INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        while not identity.is_member:
            statuses = await self._request_statuses()
            founders = self._determine_founders(identity, statuses)
            if any(member.replica_id == identity.replica_id for member in founders):
                return await self._identity_file.record_founding(identity, founders)
            if any(status.is_member for status in statuses.values()):
                return identity
            logger.info(
                "waiting_for_members",
                group=self._group,
                replica=identity.replica_id,
                answered=sorted(statuses),
            )
            await backoff.pause()
        return identity

    def _determine_founders(
        self, identity: Identity, statuses: dict[str, GroupStatus]
    ) -> tuple[GroupMember, ...]:
        """Return the founders that the first member has determined; empty if there are none yet."""
        if not identity.may_found:
            return ()
        first = self._members[0].name
        if first != self._own_name:
            return statuses[first].founders if first in statuses else ()
        if any(status.is_member for status in statuses.values()):
            return ()
        own = status_of(identity, self._zone)
        return founders_from(self._members, {**statuses, self._own_name: own})

    async def _request_statuses(self) -> dict[str, GroupStatus]:
        """Return the status of each peer that responds, by name."""
        statuses: dict[str, GroupStatus] = {}

        async def request_status(peer: PeerSettings) -> None:
            request = GroupStatusRequest(group=self._group)
            try:
                statuses[peer.name] = await self._caller.call(
                    peer.internal, request, GroupStatus, timeout_s=STATUS_TIMEOUT_S
                )
            except PasslaneError as error:
                logger.debug(
                    "status_not_received", group=self._group, peer=peer.name, code=error.code
                )

        async with anyio.create_task_group() as tasks:
            for peer in self._peers:
                tasks.start_soon(request_status, peer)
        return statuses

    async def join(self, replica_id: ReplicaId, *, is_known: bool) -> None:
        """Request to join until this replica is a voter and its predecessors are removed.

        ``is_known`` is true if the replica kept its identity and may only have a new
        address. A standby in a group with bounded voters repeats the request until it is
        needed.
        """
        request = JoinRequest(
            self._group, replica_id, self.own_address, is_known=is_known, zone=self._zone
        )
        backoff = Backoff(self._random, INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        while True:
            if self._may_join() and await self._request_join(request):
                return
            await backoff.pause()

    async def _request_join(self, request: JoinRequest) -> bool:
        """Send one request; return whether the replica is a voter without predecessors."""
        # A new client for each attempt, because other replicas may have been discovered.
        addresses = [peer.internal for peer in self._peers]
        client = GroupClient(self._caller, addresses, self._random)
        try:
            reply = await client.execute(request, JoinReply, timeout_s=JOIN_TIMEOUT_S)
        except PasslaneError as error:
            logger.warning("join_request_not_accepted", group=self._group, code=error.code)
            return False
        return reply.is_voter and reply.is_replaced


async def handle_join(
    request: JoinRequest,
    membership: GroupMembership,
    add: Callable[[ReplicaId, Address], Awaitable[None]],
    remove: Callable[[ReplicaId], Awaitable[None]],
) -> JoinReply:
    """Handle a ``JoinRequest`` on the leader with at most one membership change.

    1. Remove the previous identities of the process and those at its address. Their files
       are lost, and voters that never respond would still count towards the quorum size.
    2. Add the replica as a learner, or update its address.
    """
    own = member_of(membership, request.replica_id)
    replaced = members_replaced_by(request, membership)
    if replaced:
        await remove(replaced[0].replica_id)
        replaced = replaced[1:]
    elif own is None or own.address != request.address:
        await add(request.replica_id, request.address)
    is_voter = own is not None and own.is_voter
    return JoinReply(is_voter=is_voter, is_replaced=not replaced)


def members_replaced_by(
    request: JoinRequest, membership: GroupMembership
) -> tuple[GroupMember, ...]:
    """Return the members that a replica with a new identity replaces."""
    if request.is_known:
        return ()
    name = process_name_from_replica_id(request.replica_id)
    return tuple(
        member
        for member in membership.members
        if member.replica_id != request.replica_id
        and (
            member.address == request.address
            or process_name_from_replica_id(member.replica_id) == name
        )
    )
