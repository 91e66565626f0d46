"""Runs one replica of a Raft group in this process: files, peers, state machine.

A replica does not continue on damaged files. It creates a new identity in a new folder and
is repaired from the other replicas, like a replaced machine. The damaged files are retained
until the repair has succeeded.
"""

from collections.abc import Callable

import anyio

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import ReplicaId
from passlane.messages.common import Address, NotLeaderError
from passlane.messages.raft import GroupMember, RaftMessage
from passlane.messages.replication import (
    GroupStatus,
    GroupStatusRequest,
)
from passlane.observability.logging import get_logger
from passlane.raft.config import ReplicaConfig
from passlane.raft.events import (
    MessageReceived,
    ReadRequested,
    TransferRequested,
)
from passlane.raft.membership import member_of
from passlane.replication.driver import ReplicaDriver
from passlane.replication.interfaces import StateMachine
from passlane.replication.joining import FindMembers, GroupJoiner, status_of
from passlane.replication.membership_changes import MembershipChanges
from passlane.replication.message_dispatch import GroupHandlers, dispatch_for
from passlane.replication.peer_sender import PeerSender
from passlane.replication.pending import PendingRequests
from passlane.replication.proposal_batch import ProposalBatch
from passlane.replication.replica_files import ReplicaFiles, build_replica, open_files
from passlane.replication.snapshot_manager import SnapshotManager, restore_state
from passlane.replication.snapshot_policy import SnapshotPolicy
from passlane.runtime.interfaces import Environment
from passlane.settings.model import GroupSettings
from passlane.storage.formats import Identity, corruption_error_in
from passlane.storage.identity import IdentityFile
from passlane.transport.interfaces import Caller, Router

DISK_FULL_RETRY_AFTER_S = 2.0
NOT_READY_RETRY_AFTER_S = 0.5
MAX_REPAIR_PAUSE_S = 1.0
"""Maximum pause between detecting damage and starting the repair."""
MAX_COMMAND_BYTES = 15_900_000
"""Largest command; with what is sent beside an entry it fits a frame, also of older builds."""
REPAIR_SEARCH_S = 10.0
"""Time for which a damaged replica searches for members that can repair it; a process learns the
others' addresses some seconds after its start."""
REQUEST_TIMEOUT_IN_ELECTION_TIMEOUTS = 10
"""Timeout of a proposal or read, in election timeouts."""

REJOIN_CHECK_INTERVAL_S = 0.5
REJOIN_AFTER_ELECTION_TIMEOUTS = 4
"""A member without a known leader for this many election timeouts requests to rejoin."""

logger = get_logger(__name__)


def _always() -> bool:
    """Allow the replica to join at any time."""
    return True


class ReplicaHost:
    """One replica of ``group``; implements ``ReplicatedGroup``.

    Parameters
    ----------
    group
        Name of the Raft group.
    own_name
        Name of this replica among ``settings.members``.
    state_machine
        Must be empty; ``run`` restores the replica's state into it.
    folder
        Folder of the group in the data folder.
    may_found
        Whether this replica may be one of the group's founders.
    find_members
        Returns replicas of the group that were discovered in addition to the settings.
    may_join
        Whether this replica may request to join, including after its removal.
    zone
        Zone of this replica; voters are spread over zones if their number is bounded.
    """

    def __init__(
        self,
        group: str,
        own_name: str,
        settings: GroupSettings,
        state_machine: StateMachine,
        environment: Environment,
        caller: Caller,
        router: Router,
        folder: str,
        *,
        may_found: bool = True,
        find_members: FindMembers | None = None,
        may_join: Callable[[], bool] = _always,
        zone: str = "",
    ) -> None:
        self._group = group
        self._zone = zone
        self._may_found = may_found
        self._may_join = may_join
        self._settings = settings
        self._state_machine = state_machine
        self._empty_state = tuple(state_machine.snapshot_parts())
        self._environment = environment
        self._caller = caller
        self._identity_file = IdentityFile(environment.disk, folder, group, own_name)
        self._joiner = GroupJoiner(
            group,
            own_name,
            settings.members,
            caller,
            environment.random,
            self._identity_file,
            zone,
            find_members,
            may_join,
        )
        self._identity: Identity | None = None
        self._driver: ReplicaDriver | None = None
        timeout_s = REQUEST_TIMEOUT_IN_ELECTION_TIMEOUTS * settings.election_timeout_s
        self._proposals = self._new_pending(ErrorCode.TIMEOUT, Verdict.MAY_HAVE_RUN, timeout_s)
        self._reads = self._new_pending(ErrorCode.UNAVAILABLE, Verdict.NOT_RUN, timeout_s)
        self._batch = ProposalBatch(self._proposals)
        self._changes = MembershipChanges(
            self._ready_driver,
            self._proposals,
            has_bounded_voters=settings.places is not None,
        )
        self._register_handlers(router)

    def _register_handlers(self, router: Router) -> None:
        """Register the handlers for messages of the group."""
        handlers = GroupHandlers(
            on_raft_message=self._deliver_raft_message,
            on_status_request=self._report_status,
            on_join_request=self._changes.answer_join_request,
        )
        dispatch_for(router).add_group(self._group, handlers)

    @staticmethod
    def _new_pending(code: ErrorCode, verdict: Verdict, timeout_s: float) -> PendingRequests:
        """Return an empty table whose callers get this error when they time out."""
        error = PasslaneError(
            code,
            f"no majority of replicas responded within {timeout_s:g} s",
            verdict=verdict,
            retry_after_s=NOT_READY_RETRY_AFTER_S,
        )
        return PendingRequests(error, timeout_s)

    # Interface of ``ReplicatedGroup``.

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and has applied an entry of its own term."""
        return self._driver is not None and self._driver.is_leader

    @property
    def leader_address(self) -> Address | None:
        """Address of the leader, if known."""
        return self._driver.leader_address if self._driver is not None else None

    @property
    def term(self) -> int:
        """Current term; serves as the fencing token of the leader's orders."""
        return self._driver.replica.term if self._driver is not None else 0

    @property
    def replica_id(self) -> ReplicaId | None:
        """Identity of this replica; ``None`` until its files are open."""
        return self._identity.replica_id if self._identity is not None else None

    @property
    def members(self) -> tuple[GroupMember, ...]:
        """Members of the group in this replica's newest membership."""
        return self._driver.replica.membership.members if self._driver is not None else ()

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter in its newest membership."""
        return self._driver is not None and self._driver.replica.is_voter

    @property
    def is_ready(self) -> bool:
        """Whether this replica is a voter and knows a leader.

        A replica under repair knows the leader before it is a voter. Until it is one, no
        other replica of a group of three may be stopped.
        """
        return self.leader_address is not None and self.is_voter

    @property
    def is_disk_full(self) -> bool:
        """Whether new work is rejected because the disk is full."""
        return self._driver is not None and self._driver.log.is_full

    @property
    def applied_index(self) -> int:
        """Index of the last entry that the state machine has applied."""
        return self._driver.applied.index if self._driver is not None else 0

    async def propose(self, command: bytes, *, may_be_deferred: bool = False) -> bytes:
        """Replicate a command and return its result; see ``ReplicatedGroup``."""
        driver = self._ready_driver()
        if len(command) > MAX_COMMAND_BYTES:
            raise PasslaneError(
                ErrorCode.BODY_TOO_LARGE,
                f"a command of {len(command)} bytes exceeds {MAX_COMMAND_BYTES} bytes",
            )
        if driver.log.is_full:
            raise PasslaneError(
                ErrorCode.DISK_FULL,
                f"the disk of group {self._group} is full",
                retry_after_s=DISK_FULL_RETRY_AFTER_S,
            )
        return await self._batch.propose(command, may_be_deferred=may_be_deferred)

    async def read_barrier(self) -> None:
        """Return once the local state includes everything committed before the call."""
        driver = self._ready_driver()
        token = self._reads.add()
        driver.step(ReadRequested(token=token))
        await self._reads.wait(token)

    async def remove_member(self, process_name: str) -> None:
        """Remove the replicas of a process as the leader; see ``MembershipChanges.remove``."""
        await self._changes.remove(process_name)

    def transfer_leadership(self) -> None:
        """Transfer leadership to another replica, for example before a planned stop."""
        if self._driver is not None:
            self._driver.step(TransferRequested())

    def _ready_driver(self) -> ReplicaDriver:
        """Return the driver; raise while the replica is not running."""
        if self._driver is None:
            raise NotLeaderError(f"the replica of group {self._group} is not running", None)
        return self._driver

    # Running.

    async def run(self) -> None:
        """Run the replica until cancelled; repair it from the other replicas after damage.

        Raises
        ------
        PasslaneError
            ``STORAGE_CORRUPT`` when the files are damaged and no other replicas can repair them.
        """
        while True:
            try:
                await self._run_on_files()
            except* (PasslaneError, OSError) as group:
                error = corruption_error_in(group)
                if error is None:
                    raise
                # Others must not count this replica among those that can repair them.
                self._identity = None
                await self._abandon_files(error)
            # A permanently failing disk must not cause a busy loop.
            await anyio.sleep(self._environment.random.uniform(0.5, 1.0) * MAX_REPAIR_PAUSE_S)

    async def _run_on_files(self) -> None:
        """Open the files, found or join the group if necessary, and run the replica."""
        identity = await self._load_identity()
        files = await self._open_files(identity)
        self._identity = identity
        try:
            identity = await self._joiner.resolve_founding(identity)
            self._identity = identity
            await self._run_replica(identity, files)
        finally:
            files.log.close()
            self._stop_serving()

    def _stop_serving(self) -> None:
        """Fail all waiting callers because this replica has stopped."""
        self._driver = None
        self._batch.fail_all()
        self._reads.fail_all(ErrorCode.UNAVAILABLE, "the replica stopped", Verdict.NOT_RUN)

    async def _load_identity(self) -> Identity:
        """Return the identity on disk, or a new one for an empty folder."""
        identity = self._identity_file.load()
        if identity is None:
            identity = await self._identity_file.create(
                self._environment.random, may_found=self._may_found
            )
        return identity

    async def _abandon_files(self, error: PasslaneError) -> None:
        """Create a new identity in a new folder, to be repaired from the other replicas."""
        logger.error("storage_damaged", group=self._group, message=error.message)
        if not await self._can_be_repaired():
            logger.error("repair_not_possible", group=self._group, message=error.message)
            raise error
        identity = await self._identity_file.create(self._environment.random, may_found=False)
        logger.warning("repair_under_new_identity", group=self._group, replica=identity.replica_id)

    async def _can_be_repaired(self) -> bool:
        """Return whether other replicas can repair this one.

        A replica whose settings don't name the others waits until it has discovered a majority of
        members. With fewer, a new identity would only hide what is left of the group's data.
        """
        if len(self._settings.members) > 1:
            return True
        if not self._joiner.can_discover:
            return False
        voters = self._settings.places
        majority = voters // 2 + 1 if voters is not None else 1
        return await self._joiner.wait_for_members(majority, REPAIR_SEARCH_S)

    async def _open_files(self, identity: Identity) -> ReplicaFiles:
        """Read snapshot and log."""
        return await open_files(
            self._environment.disk,
            self._identity_file.generation_folder(identity.generation),
            self._group,
            identity,
            self._settings.segment_bytes,
        )

    async def _run_replica(self, identity: Identity, files: ReplicaFiles) -> None:
        """Run the driver and the tasks that serve callers."""
        async with anyio.create_task_group() as tasks:
            driver = await self._build_driver(identity, files, PeerSender(self._caller, tasks))
            self._driver = driver
            tasks.start_soon(driver.run)
            tasks.start_soon(self._batch.run, driver.step)
            tasks.start_soon(self._proposals.run)
            tasks.start_soon(self._reads.run)
            tasks.start_soon(self._finish_joining, identity)

    async def _build_driver(
        self, identity: Identity, files: ReplicaFiles, sender: PeerSender
    ) -> ReplicaDriver:
        """Return the driver of a replica restored from its files."""
        snapshot = files.snapshot
        parts = snapshot.parts() if snapshot is not None else self._empty_state
        await restore_state(self._state_machine, parts)
        policy = SnapshotPolicy(
            self._settings.snapshot_every_entries, large_log_bytes=self._settings.large_log_bytes
        )
        policy.record_snapshot_size(files.snapshot_bytes)
        return ReplicaDriver(
            replica=build_replica(
                self._replica_config(identity), self._environment.random, identity, files
            ),
            log=files.log,
            snapshots=SnapshotManager(files.store, self._state_machine, policy),
            state_machine=self._state_machine,
            sender=sender,
            proposals=self._proposals,
            reads=self._reads,
            snapshot_policy=policy,
            applied=files.snapshot_last,
        )

    def _replica_config(self, identity: Identity) -> ReplicaConfig:
        """Return the Raft replica's configuration."""
        return ReplicaConfig(
            group=self._group,
            replica_id=identity.replica_id,
            address=self._joiner.own_address,
            heartbeat_s=self._settings.heartbeat_s,
            election_timeout_s=self._settings.election_timeout_s,
            first_election_share=self._settings.first_election_share,
            places=self._settings.places,
            max_batch_bytes=self._settings.max_batch_bytes,
            trailing_bytes=self._settings.large_log_bytes,
        )

    async def _finish_joining(self, identity: Identity) -> None:
        """Join the group, then remove damaged files of earlier identities."""
        if identity.is_member:
            await self._report_new_address(identity)
            await self._identity_file.remove_older_generations(identity)
            await self._rejoin_without_leader(identity)
        else:
            await self._joiner.join(identity.replica_id, is_known=False)
            identity = await self._identity_file.record_joining(identity)
            self._identity = identity
        await self._identity_file.remove_older_generations(identity)
        await self._rejoin_without_leader(identity)

    async def _rejoin_without_leader(self, identity: Identity) -> None:
        """Request to rejoin whenever no leader has been known for too long.

        The group may have removed this replica while it was unavailable. Its files are
        intact, so it keeps its identity. If it is still a member, the leader makes no
        change.
        """
        limit_s = REJOIN_AFTER_ELECTION_TIMEOUTS * self._settings.election_timeout_s
        leader_known_at = anyio.current_time()
        while True:
            await anyio.sleep(REJOIN_CHECK_INTERVAL_S)
            if self.leader_address is not None or not self._may_join():
                leader_known_at = anyio.current_time()
            elif anyio.current_time() - leader_known_at > limit_s and self._joiner.has_peers:
                logger.warning("leader_unknown_rejoining", group=self._group)
                await self._joiner.join(identity.replica_id, is_known=True)
                leader_known_at = anyio.current_time()

    async def _report_new_address(self, identity: Identity) -> None:
        """Report a new address to the leader if this replica moved with its files."""
        membership = self._ready_driver().replica.membership
        own = member_of(membership, identity.replica_id)
        if own is not None and own.address != self._joiner.own_address:
            await self._joiner.join(identity.replica_id, is_known=True)

    # Messages from other replicas.

    def _deliver_raft_message(self, message: RaftMessage) -> None:
        """Pass a message to the driver if it is addressed to this identity."""
        if self._driver is not None and message.receiver == self.replica_id:
            self._driver.step(MessageReceived(message))  # type: ignore[arg-type]

    async def _report_status(self, request: GroupStatusRequest) -> GroupStatus:
        """Return the status of this replica's identity in the group."""
        if self._identity is None:
            raise PasslaneError(
                ErrorCode.UNAVAILABLE,
                f"the files of group {request.group} are not open yet",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        return status_of(self._identity, self._zone)
