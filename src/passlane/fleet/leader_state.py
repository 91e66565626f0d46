"""State of the control group's leader that its services share.

For: the services check leadership, propose commands, and notify waiting heartbeats here.
Owns: the directory of processes and the list of backends of the current term. Both are soft
state: a new leader starts with empty ones and rebuilds them from heartbeats and reports.
Relies on: the replicated group and the state machine that this replica applies.
"""

from typing import TypeVar

import anyio

from passlane.fleet.state.backend_listing import BackendListing
from passlane.fleet.state.directory import FleetDirectory
from passlane.fleet.state.machine import FleetState, FleetStateMachine
from passlane.messages.base import Message, encode_message, message_decoder
from passlane.messages.common import NotLeaderError
from passlane.messages.fleet import ReplicaForbidden, StoreGroupFounded
from passlane.messages.routes import ConfigurationReplaced
from passlane.observability.logging import get_logger
from passlane.replication.interfaces import ReplicatedGroup

COUNTER_BITS_PER_TERM = 24
"""Low bits of a number, which count changes within one term; the term is in the bits above them.
16 million changes in one term are never reached."""

ResultType = TypeVar("ResultType", bound=Message)
_result_decoder = message_decoder(ConfigurationReplaced | StoreGroupFounded | ReplicaForbidden)
_log = get_logger(__name__)


class LeaderState:
    """Soft state of one term of leadership, and access to the replicated state."""

    def __init__(self, group: ReplicatedGroup, machine: FleetStateMachine) -> None:
        self._group = group
        self._machine = machine
        self._term = 0
        self._directory = FleetDirectory(0)
        self._listing = BackendListing(0)
        self._changed = anyio.Event()

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads the control group."""
        return self._group.is_leader

    @property
    def replicated(self) -> FleetState:
        """The replicated state as this replica has applied it."""
        return self._machine.state

    @property
    def directory(self) -> FleetDirectory:
        """The directory of the current term."""
        self._reset_in_new_term()
        return self._directory

    @property
    def listing(self) -> BackendListing:
        """The list of backends of the current term."""
        self._reset_in_new_term()
        return self._listing

    def _reset_in_new_term(self) -> None:
        """Reset the soft state in a new term."""
        if self._term != self._group.term:
            self._term = self._group.term
            # Numbers of a later leader's views must be higher than those of earlier leaders.
            first_number = self._term << COUNTER_BITS_PER_TERM
            self._directory = FleetDirectory(first_number)
            self._listing = BackendListing(first_number)

    def require_leadership(self) -> None:
        """Raise ``NotLeaderError``, with the known leader's address, unless this replica leads."""
        if not self._group.is_leader:
            leader = self._group.leader_address
            raise NotLeaderError("not the leader of the control group", leader)

    async def read_barrier(self) -> None:
        """Wait until ``replicated`` includes all commands that were committed before the call.

        Raises
        ------
        PasslaneError
            ``NOT_LEADER`` with verdict ``not_run``.
        """
        await self._group.read_barrier()

    async def propose(self, command: Message, result: type[ResultType]) -> ResultType:
        """Replicate a command and return its result, which must be of type ``result``.

        Raises
        ------
        PasslaneError
            As raised by ``ReplicatedGroup.propose``.
        """
        data = await self._group.propose(encode_message(command))
        answer = _result_decoder.decode(data)
        assert isinstance(answer, result)
        return answer

    def choose_reader(self) -> None:
        """Replace the node that reads the list of backends if its reports are overdue."""
        nodes = self.directory.node_names()
        if self.listing.choose_reader(nodes, anyio.current_time()):
            _log.info("backends_reader_chosen", name=self.listing.reader)
            self.notify_changed()

    def publish_store_group_change(self) -> None:
        """Increment the view's number, so that all processes receive the store group's state."""
        self.directory.number += 1
        self.notify_changed()

    def notify_changed(self) -> None:
        """Notify the waiting heartbeats, which check again for updates."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self) -> None:
        """Wait for the next ``notify_changed``."""
        await self._changed.wait()
