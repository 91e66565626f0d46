"""What the leader of the control group holds for the services that answer in its name.

For: the one place at which those services learn whether this replica leads, propose commands,
and wake processes whose heartbeats wait for news.
Owns: the directory of processes and the list of back ends of the current term. Both are soft
state: a new leader starts with empty ones and gathers them from heartbeats and reports.
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

NUMBERS_BITS_PER_TERM = 24
"""Bits of a number that count within one term; the term stands above them.

Not measured; chosen: 16 million changes in one term are never reached.
"""

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
        """The directory of this term."""
        self._follow_term()
        return self._directory

    @property
    def listing(self) -> BackendListing:
        """The list of back ends of this term."""
        self._follow_term()
        return self._listing

    def _follow_term(self) -> None:
        """Start with empty soft state in a new term."""
        if self._term != self._group.term:
            self._term = self._group.term
            # Views of a later leader must not look older to those that hold one.
            first_number = self._term << NUMBERS_BITS_PER_TERM
            self._directory = FleetDirectory(first_number)
            self._listing = BackendListing(first_number)

    def require_leadership(self) -> None:
        """Raise ``NotLeaderError``, with the leader if it is known, unless this replica leads."""
        if not self._group.is_leader:
            leader = self._group.leader_address
            raise NotLeaderError("not the leader of the control group", leader)

    async def read_barrier(self) -> None:
        """Return once ``replicated`` holds all that was committed before the call.

        Raises
        ------
        PasslaneError
            ``NOT_LEADER`` with verdict ``not_run``.
        """
        await self._group.read_barrier()

    async def propose(self, command: Message, result: type[ResultType]) -> ResultType:
        """Replicate a command and return its result, which the machine gives in this type.

        Raises
        ------
        PasslaneError
            As ``ReplicatedGroup.propose`` raises it.
        """
        data = await self._group.propose(encode_message(command))
        answer = _result_decoder.decode(data)
        assert isinstance(answer, result)
        return answer

    def choose_reader(self) -> None:
        """Replace the node that reads the list of back ends if its reports stay out."""
        nodes = self.directory.node_names()
        if self.listing.choose_reader(nodes, anyio.current_time()):
            _log.info("backends_reader_chosen", name=self.listing.reader)
            self.wake_waiting()

    def note_store_group_changed(self) -> None:
        """Make the store group's new state news to all processes."""
        self.directory.number += 1
        self.wake_waiting()

    def wake_waiting(self) -> None:
        """Let the heartbeats that wait look again whether there is news for them."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self) -> None:
        """Return at the next ``wake_waiting``."""
        await self._changed.wait()
