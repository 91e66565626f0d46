"""Serves a fleet's configuration and directory on one replica of the control group."""

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.fleet.state.backend_listing import BackendListing
from passlane.fleet.state.directory import FleetDirectory
from passlane.fleet.state.machine import FleetStateMachine
from passlane.fleet.state.packed_configuration import PackedConfigurations
from passlane.messages.base import Message, encode_message, message_decoder
from passlane.messages.common import NotLeaderError
from passlane.messages.fleet import (
    Announce,
    FleetAddresses,
    FleetRole,
    FleetView,
    ForbidReplica,
    FoundStoreGroup,
    ReadRetirement,
    RemoveReplica,
    ReplicaForbidden,
    ReplicaRemoved,
    RetirementState,
    RetireStore,
    StoreGroupFounded,
    StoreRetirement,
)
from passlane.messages.listing import BackendsReported, ReportBackends
from passlane.messages.routes import (
    ConfigurationReplaced,
    CurrentConfiguration,
    ReadConfiguration,
    ReplaceConfiguration,
)
from passlane.observability.logging import get_logger
from passlane.replication.interfaces import ReplicatedGroup
from passlane.routes.checks import check_configuration
from passlane.transport.interfaces import Caller, Router

DUTIES_PERIOD_S = 0.25
MAX_WAIT_S = 1.5
REMOVE_TIMEOUT_S = 1.0

_result_decoder = message_decoder(ConfigurationReplaced | StoreGroupFounded | ReplicaForbidden)
_log = get_logger(__name__)


class FleetService:
    """Answers announcements and operators' requests; only the leader does.

    Parameters
    ----------
    caller
        Reaches the store group to remove retired replicas.
    store_voters
        How many voters the store group is to have; a store machine is emptied only if as
        many are left, so that the loss of others can still be borne.
    """

    def __init__(
        self,
        group: ReplicatedGroup,
        machine: FleetStateMachine,
        router: Router,
        caller: Caller,
        store_voters: int,
    ) -> None:
        self._group = group
        self._store_voters = store_voters
        self._machine = machine
        self._caller = caller
        self._directory = FleetDirectory(0)
        self._listing = BackendListing(0)
        self._packed = PackedConfigurations()
        self._directory_term = 0
        self._changed = anyio.Event()
        router.add_unary(Announce, self.announce)
        router.add_unary(ReportBackends, self.report_backends)
        router.add_unary(ReplaceConfiguration, self.replace_configuration)
        router.add_unary(ReadConfiguration, self.read_configuration)
        router.add_unary(RetireStore, self.retire_store)
        router.add_unary(ReadRetirement, self.read_retirement)

    async def run(self) -> None:
        """Carry out the leader's duties until cancelled."""
        while True:
            await anyio.sleep(DUTIES_PERIOD_S)
            if not self._group.is_leader:
                continue
            try:
                self._choose_reader()
                await self._found_store_group()
                await self._remove_retired()
            except PasslaneError as error:
                _log.info("fleet_duty_failed", code=error.code.value, message=error.message)

    async def announce(self, request: Announce) -> FleetView:
        """Note a process and tell it of the fleet; held while there is nothing new for it."""
        self._require_leadership()
        now = anyio.current_time()
        if self._current_directory().note(request, now):
            self._wake_waiting()
        self._choose_reader()
        if not self._has_news_for(request):
            await self._wait_for_news(request, now + min(request.wait_s, MAX_WAIT_S))
        self._require_leadership()
        return self._view_for(request)

    async def report_backends(self, request: ReportBackends) -> BackendsReported:
        """Take over the list of back ends that a node has read."""
        self._require_leadership()
        self._current_directory()
        if self._listing.report(request, anyio.current_time()):
            _log.info("backends_reported", number=self._listing.number, by=request.name)
            self._wake_waiting()
        return BackendsReported(number=self._listing.number)

    async def replace_configuration(self, request: ReplaceConfiguration) -> Message:
        """Put a configuration in force; the reply means that it lasts."""
        self._require_leadership()
        check_configuration(request.configuration)
        reply = await self._propose(request)
        self._wake_waiting()
        _log.info(
            "configuration_replaced",
            sent_version=request.configuration.version,
            held_version=getattr(reply, "version", None),
            is_new=getattr(reply, "is_new", None),
        )
        return reply

    async def read_configuration(self, request: ReadConfiguration) -> CurrentConfiguration:
        """Return the newest configuration, which includes all acknowledged before the call."""
        self._require_leadership()
        await self._group.read_barrier()
        return CurrentConfiguration(configuration=self._machine.state.configuration)

    async def retire_store(self, request: RetireStore) -> StoreRetirement:
        """Begin to empty a store machine; the same order again is answered the same way."""
        self._require_leadership()
        if request.name in self._machine.state.retired:
            return self._retirement_of(request.name)
        directory = self._current_directory()
        announcement = directory.announcement_of(request.name)
        if announcement is None or announcement.role is not FleetRole.STORE:
            raise PasslaneError(ErrorCode.NOT_FOUND, f"no store machine {request.name}")
        left = set(directory.store_names()) - {*self._machine.state.retired, request.name}
        if len(left) < self._store_voters:
            raise PasslaneError(ErrorCode.VERSION_CONFLICT, "too few store machines would be left")
        await self._propose(ForbidReplica(request.name, announcement.replica_name))
        self._current_directory().number += 1
        self._wake_waiting()
        _log.info("store_retirement_began", name=request.name)
        return self._retirement_of(request.name)

    async def read_retirement(self, request: ReadRetirement) -> StoreRetirement:
        """Return how far a store machine has been emptied."""
        self._require_leadership()
        await self._group.read_barrier()
        if request.name not in self._machine.state.retired:
            raise PasslaneError(ErrorCode.NOT_FOUND, f"{request.name} is not being emptied")
        return self._retirement_of(request.name)

    # Announcements.

    def _current_directory(self) -> FleetDirectory:
        """Return the directory of this term of leadership."""
        if self._directory_term != self._group.term:
            self._directory_term = self._group.term
            # Views of a later leader must not look older to those that hold one.
            self._directory = FleetDirectory(self._group.term << 24)
            self._listing = BackendListing(self._group.term << 24)
        return self._directory

    def _has_news_for(self, request: Announce) -> bool:
        return (
            self._wants_configuration(request)
            or self._current_directory().number != request.view_number
            or self._has_listing_news_for(request)
        )

    def _has_listing_news_for(self, request: Announce) -> bool:
        return self._wants_list(request) or request.reads_backends != self._is_reader(request)

    def _is_reader(self, request: Announce) -> bool:
        return request.name == self._listing.reader

    def _choose_reader(self) -> None:
        """Replace the node that reads the list of back ends if its reports stay out."""
        nodes = self._current_directory().node_names()
        if self._listing.choose_reader(nodes, anyio.current_time()):
            _log.info("backends_reader_chosen", name=self._listing.reader)
            self._wake_waiting()

    async def _wait_for_news(self, request: Announce, deadline: float) -> None:
        while anyio.current_time() < deadline and not self._has_news_for(request):
            changed = self._changed
            with anyio.CancelScope(deadline=deadline):
                await changed.wait()

    def _wake_waiting(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _view_for(self, request: Announce) -> FleetView:
        directory = self._current_directory()
        state = self._machine.state
        wants_list = self._wants_list(request)
        updates = self._listing.updates
        since = updates.since(request.backends_number) if wants_list else 0
        return FleetView(
            number=directory.number,
            addresses=self._addresses_for(request),
            has_store_leader=bool(directory.stores()),
            node_count=directory.node_count(),
            configuration_version=state.configuration.version if state.configuration else 0,
            configuration=self._configuration_for(request),
            backends_number=self._listing.number,
            backends_since=since,
            backends_update=updates.update_since(since) if wants_list else None,
            backends_age_s=self._listing_age_s(),
            reads_backends=self._is_reader(request),
        )

    def _addresses_for(self, request: Announce) -> FleetAddresses | None:
        """Return the addresses for a process that holds others; most hold the newest."""
        directory = self._current_directory()
        if request.view_number == directory.number:
            return None
        state = self._machine.state
        return FleetAddresses(
            controls=directory.controls(),
            stores=directory.stores(),
            store_founders=state.store_founders,
            retired_replicas=tuple(sorted(state.retired.values())),
        )

    def _wants_list(self, request: Announce) -> bool:
        uses_backends = request.role in (FleetRole.NODE, FleetRole.STORE)
        return uses_backends and self._listing.number not in (0, request.backends_number)

    def _listing_age_s(self) -> float | None:
        read_at = self._listing.read_at
        return anyio.current_time() - read_at if read_at is not None else None

    def _configuration_for(self, request: Announce) -> bytes | None:
        """Return the configuration for a node that holds an older one."""
        configuration = self._machine.state.configuration
        if configuration is None or not self._wants_configuration(request):
            return None
        return self._packed.of(configuration)

    def _wants_configuration(self, request: Announce) -> bool:
        configuration = self._machine.state.configuration
        version = configuration.version if configuration is not None else 0
        return request.role is FleetRole.NODE and version > request.configuration_version

    # Duties.

    async def _found_store_group(self) -> None:
        if self._machine.state.store_founders:
            return
        founders = self._current_directory().founders_due(anyio.current_time(), self._store_voters)
        if founders:
            await self._propose(FoundStoreGroup(founders))
            _log.info("store_group_founded", members=[member.name for member in founders])
            self._current_directory().number += 1
            self._wake_waiting()

    async def _remove_retired(self) -> None:
        """Ask the store group to drop the replicas of retired machines."""
        retired = self._machine.state.retired
        for name, replica_name in retired.items():
            if self._retirement_of(name).state is RetirementState.RUNNING:
                await self._remove_replica(replica_name)

    async def _remove_replica(self, replica_name: str) -> None:
        request = RemoveReplica(replica_name)
        for member in self._current_directory().stores():
            try:
                await self._caller.call(
                    member.address, request, ReplicaRemoved, timeout_s=REMOVE_TIMEOUT_S
                )
            except PasslaneError as error:
                _log.debug("replica_not_removed", at=member.name, code=error.code.value)
            else:
                return

    def _retirement_of(self, name: str) -> StoreRetirement:
        replica_name = self._machine.state.retired[name]
        is_member = replica_name in {m.name for m in self._current_directory().stores()}
        # A new leader of the control group doesn't know the members before the store group's
        # leader has told them.
        is_known = bool(self._current_directory().stores())
        is_done = is_known and not is_member
        state = RetirementState.COMPLETED if is_done else RetirementState.RUNNING
        return StoreRetirement(name=name, state=state)

    def _require_leadership(self) -> None:
        if not self._group.is_leader:
            leader = self._group.leader_address
            raise NotLeaderError("not the leader of the control group", leader)

    async def _propose(self, command: Message) -> Message:
        result: Message = _result_decoder.decode(await self._group.propose(encode_message(command)))
        return result
