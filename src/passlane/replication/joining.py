"""How a replica finds out whether it founds its group, belongs to it, or must join it.

The first member that the settings name settles who the founders are, once all the
others have told it the identities of their empty folders; the others take its word.
Any other replica without membership (a new machine, a wiped disk, a damaged log) is
added by the leader under a new identity, as a learner that votes once it has caught up.
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
from passlane.storage.identity import IdentityFile, process_name_of
from passlane.transport.interfaces import Caller

STATUS_TIMEOUT_S = 1.0
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 1.0
JOIN_TIMEOUT_S = 5.0

FindMembers = Callable[[], Sequence[PeerSettings]]
"""Returns replicas of a group that a process has heard of."""

logger = get_logger(__name__)


def founder_statuses(
    members: Sequence[PeerSettings], statuses: dict[str, GroupStatus]
) -> tuple[GroupMember, ...]:
    """Return the founders, or none while a member is silent or may not found."""
    founders = []
    for member in members:
        status = statuses.get(member.name)
        if status is None or not status.may_found:
            return ()
        founder = GroupMember(status.replica_id, member.internal, is_voter=True, zone=status.zone)
        founders.append(founder)
    return tuple(founders)


def status_of(identity: Identity, zone: str) -> GroupStatus:
    """Return what a replica's disk says about its group, and where the replica runs."""
    return GroupStatus(
        replica_id=identity.replica_id,
        is_member=identity.is_member,
        may_found=identity.may_found and not identity.is_member,
        founders=identity.founders,
        zone=zone,
    )


class GroupEntry:
    """Brings one replica into its group; made anew for each start.

    Parameters
    ----------
    own_name
        This replica's name among ``members``.
    zone
        Where this replica runs.
    find_members
        Returns further replicas of the group that this process has heard of.
    may_join
        Whether this replica may ask to be taken in now.
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
        """The other replicas that are known, by the settings or by hearsay."""
        found = self._find_members() if self._find_members is not None else ()
        known = {member.internal: member for member in (*self._members, *found)}
        return [member for member in known.values() if member.name != self._own_name]

    @property
    def has_peers(self) -> bool:
        """Whether any other replica is known."""
        return bool(self._peers)

    @property
    def own_address(self) -> Address:
        """Address of this replica, by the settings."""
        for member in self._members:
            if member.name == self._own_name:
                return member.internal
        raise PasslaneError(
            ErrorCode.INVALID_SETTINGS,
            f"{self._own_name} is not among the members of group {self._group}",
        )

    async def settle(self, identity: Identity) -> Identity:
        """Return once this replica is a founder, or knows that it has a group to join."""
        backoff = Backoff(self._random, FIRST_PAUSE_S, LONGEST_PAUSE_S)
        while not identity.is_member:
            statuses = await self._ask_peers()
            founders = self._settled_founders(identity, statuses)
            if any(member.replica_id == identity.replica_id for member in founders):
                return await self._identity_file.mark_founder(identity, founders)
            if any(status.is_member for status in statuses.values()):
                return identity
            logger.info(
                "waiting for members",
                group=self._group,
                replica=identity.replica_id,
                answered=sorted(statuses),
            )
            await backoff.pause()
        return identity

    def _settled_founders(
        self, identity: Identity, statuses: dict[str, GroupStatus]
    ) -> tuple[GroupMember, ...]:
        """Return the founders as the first member has settled or now settles them."""
        if not identity.may_found:
            return ()
        first = self._members[0].name
        if first != self._own_name:
            return statuses[first].founders if first in statuses else ()
        if any(status.is_member for status in statuses.values()):
            return ()
        own = status_of(identity, self._zone)
        return founder_statuses(self._members, {**statuses, self._own_name: own})

    async def _ask_peers(self) -> dict[str, GroupStatus]:
        """Return the status of each peer that answers, by name."""
        statuses: dict[str, GroupStatus] = {}

        async def ask(peer: PeerSettings) -> None:
            request = GroupStatusRequest(group=self._group)
            try:
                statuses[peer.name] = await self._caller.call(
                    peer.internal, request, GroupStatus, timeout_s=STATUS_TIMEOUT_S
                )
            except PasslaneError as error:
                logger.debug("no status", group=self._group, peer=peer.name, code=error.code)

        async with anyio.create_task_group() as tasks:
            for peer in self._peers:
                tasks.start_soon(ask, peer)
        return statuses

    async def join(self, replica_id: ReplicaId, *, is_known: bool) -> None:
        """Ask the leader to take this replica in, until it votes and none is left of old.

        ``is_known`` tells that the replica kept its identity and only has a new address. A
        spare of a group with bounded voters goes on asking until it is needed.
        """
        request = JoinRequest(
            self._group, replica_id, self.own_address, is_known=is_known, zone=self._zone
        )
        backoff = Backoff(self._random, FIRST_PAUSE_S, LONGEST_PAUSE_S)
        while True:
            if self._may_join() and await self._ask_to_join(request):
                return
            await backoff.pause()

    async def _ask_to_join(self, request: JoinRequest) -> bool:
        """Ask once; return whether this replica votes and none is left of old."""
        # Made anew for each try: other replicas may have become known since.
        addresses = [peer.internal for peer in self._peers]
        client = GroupClient(self._caller, addresses, self._random)
        try:
            reply = await client.execute(request, JoinReply, timeout_s=JOIN_TIMEOUT_S)
        except PasslaneError as error:
            logger.warning("not taken in yet", group=self._group, code=error.code)
            return False
        return reply.is_voter and reply.is_replaced


async def take_in(
    request: JoinRequest,
    membership: GroupMembership,
    add: Callable[[ReplicaId, Address], Awaitable[None]],
    remove: Callable[[ReplicaId], Awaitable[None]],
) -> JoinReply:
    """Answer a ``JoinRequest`` as the leader, one change of membership at a time.

    The former identities of the process, and those at its address, go first: their files
    are gone, and voters that are counted but never answer make majorities harder to
    reach. Then the replica is added as a learner, which votes once it has caught up.
    """
    own = member_of(membership, request.replica_id)
    older = replaced_by(request, membership)
    if older:
        await remove(older[0].replica_id)
        older = older[1:]
    elif own is None or own.address != request.address:
        await add(request.replica_id, request.address)
    is_voter = own is not None and own.is_voter
    return JoinReply(is_voter=is_voter, is_replaced=not older)


def replaced_by(request: JoinRequest, membership: GroupMembership) -> tuple[GroupMember, ...]:
    """Return the members whose place a replica with a new identity takes."""
    if request.is_known:
        return ()
    name = process_name_of(request.replica_id)
    return tuple(
        member
        for member in membership.members
        if member.replica_id != request.replica_id
        and (member.address == request.address or process_name_of(member.replica_id) == name)
    )
