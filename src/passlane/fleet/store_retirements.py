"""Retires store machines on operators' requests.

For: returning a machine without loss of data. Its replica is permanently forbidden (replicated
state); the store group's leader replaces and removes it; then the retirement is completed.
Owns: nothing; the retired machines are part of the replicated state, and the members of the store
group come from the heartbeats of its leader.
Relies on: ``LeaderState``, and the store group to carry out ``RemoveReplica``.
"""

from passlane.errors import ErrorCode, PasslaneError
from passlane.fleet.leader_state import LeaderState
from passlane.messages.fleet import (
    Announce,
    FleetRole,
    ForbidReplica,
    ReadRetirement,
    RemoveReplica,
    ReplicaForbidden,
    ReplicaRemoved,
    RetirementState,
    RetireStore,
    StoreRetirement,
)
from passlane.observability.logging import get_logger
from passlane.transport.interfaces import Caller

REMOVE_TIMEOUT_S = 1.0
"""Timeout of ``RemoveReplica`` at one member; the request only begins the removal, and the leader
repeats it periodically."""

_log = get_logger(__name__)


class StoreRetirements:
    """Begins, carries out and reports retirements on the leader.

    Parameters
    ----------
    caller
        Reaches the store group to remove retired replicas.
    store_voters
        Number of voters of the store group, which determines how many failures it tolerates.
        A store machine is retired only if at least as many machines are left.
    """

    def __init__(self, leader: LeaderState, caller: Caller, store_voters: int) -> None:
        self._leader = leader
        self._caller = caller
        self._store_voters = store_voters

    async def retire_store(self, request: RetireStore) -> StoreRetirement:
        """Begin to retire a store machine; idempotent.

        Raises
        ------
        PasslaneError
            ``NOT_FOUND`` if no such machine sends heartbeats, ``VERSION_CONFLICT`` if too few
            machines would be left, ``NOT_LEADER`` on other replicas.
        """
        self._leader.require_leadership()
        if request.name in self._leader.replicated.retired:
            return self._retirement_of(request.name)
        heartbeat = self._heartbeat_of_store(request.name)
        self._require_enough_machines_without(request.name)
        command = ForbidReplica(request.name, heartbeat.replica_name)
        await self._leader.propose(command, ReplicaForbidden)
        self._leader.publish_store_group_change()
        _log.info("store_retirement_began", name=request.name)
        return self._retirement_of(request.name)

    async def read_retirement(self, request: ReadRetirement) -> StoreRetirement:
        """Return the state of a store machine's retirement.

        Raises
        ------
        PasslaneError
            ``NOT_FOUND`` if its retirement was never requested, ``NOT_LEADER`` on other replicas.
        """
        self._leader.require_leadership()
        await self._leader.read_barrier()
        if request.name not in self._leader.replicated.retired:
            raise PasslaneError(ErrorCode.NOT_FOUND, f"{request.name} is not being emptied")
        return self._retirement_of(request.name)

    async def remove_retired(self) -> None:
        """Request the removal of retired machines' replicas that are still members."""
        retired = self._leader.replicated.retired
        for name, replica_name in retired.items():
            if self._retirement_of(name).state is RetirementState.RUNNING:
                await self._remove_replica(replica_name)

    def _heartbeat_of_store(self, name: str) -> Announce:
        heartbeat = self._leader.directory.heartbeat_of(name)
        if heartbeat is None or heartbeat.role is not FleetRole.STORE:
            raise PasslaneError(ErrorCode.NOT_FOUND, f"no store machine {name}")
        return heartbeat

    def _require_enough_machines_without(self, name: str) -> None:
        retired = self._leader.replicated.retired
        left = set(self._leader.directory.store_names()) - {*retired, name}
        if len(left) < self._store_voters:
            raise PasslaneError(ErrorCode.VERSION_CONFLICT, "too few store machines would be left")

    async def _remove_replica(self, replica_name: str) -> None:
        """Send the request to each member in turn until the leader accepts it."""
        request = RemoveReplica(replica_name)
        for member in self._leader.directory.stores():
            try:
                await self._caller.call(
                    member.address, request, ReplicaRemoved, timeout_s=REMOVE_TIMEOUT_S
                )
            except PasslaneError as error:
                _log.debug("replica_not_removed", at=member.name, code=error.code.value)
            else:
                return

    def _retirement_of(self, name: str) -> StoreRetirement:
        replica_name = self._leader.replicated.retired[name]
        members = self._leader.directory.stores()
        # A new leader of the control group doesn't know the members before the first heartbeat
        # of the store group's leader.
        is_known = bool(members)
        is_member = replica_name in {member.name for member in members}
        is_done = is_known and not is_member
        state = RetirementState.COMPLETED if is_done else RetirementState.RUNNING
        return StoreRetirement(name=name, state=state)
