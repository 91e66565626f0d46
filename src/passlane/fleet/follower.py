"""Follows the fleet: sends this process's heartbeats and takes over what the answers tell.

For: a process knows some seeds when it starts; everything else comes in the answers (message
``FleetView``) to its heartbeats (message ``Announce``).
Owns: the loop of heartbeats, the search for the control group's leader, and what is held of
the fleet: ``view``, ``configuration``, ``backends``.
Relies on: a caller that reaches control replicas.
"""

import random as random_module
from collections.abc import Callable, Sequence

import anyio
import msgspec

from passlane.errors import PasslaneError
from passlane.fleet.backends_reporter import BackendsReporter
from passlane.fleet.control_leader import ControlLeader
from passlane.fleet.held_backends import HeldBackends
from passlane.fleet.held_configuration import HeldConfiguration
from passlane.fleet.held_view import HeldView
from passlane.messages.common import Address
from passlane.messages.fleet import Announce, FleetView
from passlane.transport.interfaces import Caller
from passlane.transport.replica_search import ReplicaSearch, SearchPauses

WAIT_S = 0.8
"""Seconds for which the leader holds a heartbeat when there is nothing new.

Not measured; chosen: below ``held_view.LOST_AFTER_S`` and ``directory.FORGET_AFTER_S``.
"""
ANSWER_MARGIN_S = 0.5
"""Seconds beyond ``WAIT_S`` for the answer to arrive. Not measured; chosen."""
SEARCH_PAUSES = SearchPauses(first_s=0.04, longest_s=0.25, growth=1.3)
"""Pauses while all control replicas are asked for the leader.

After a loss of all processes a leader is elected within some tenths of a second
(``docs/design/start-after-loss.md``). The growth is not measured; chosen.
"""
SHORTEST_PERIOD_S = 0.05
"""Least seconds between two heartbeats, however fast news come. Not measured; chosen."""


class FleetFollower:
    """Keeps what this process knows of the fleet up to date.

    Parameters
    ----------
    heartbeat
        Returns what this process tells of itself now; what it holds of the fleet, and the
        wait, are filled in.
    seeds
        Internal addresses of some control replicas, right at the time of the start.

    Attributes
    ----------
    view
        Machines of the fleet, as last told of.
    configuration
        The configuration in force here.
    backends
        The list of back ends.
    leader
        Which control replica leads.
    reporter
        Reports the list of back ends, if this process reads it for all.
    """

    def __init__(
        self,
        heartbeat: Callable[[], Announce],
        seeds: Sequence[Address],
        caller: Caller,
        random: random_module.Random,
    ) -> None:
        self._heartbeat = heartbeat
        self._caller = caller
        self.view = HeldView()
        self.configuration = HeldConfiguration()
        self.backends = HeldBackends()
        self.leader = ControlLeader(seeds, self.view, random)
        self.reporter = BackendsReporter(lambda: heartbeat().name, self.leader, caller)
        self._search = ReplicaSearch(
            self.leader.candidates,
            self._try_to_follow,
            self.leader.is_known,
            SEARCH_PAUSES,
            random,
        )

    async def run(self) -> None:
        """Send heartbeats and follow until cancelled."""
        while True:
            if self.leader.address is None:
                await self._search.run()
                continue
            started = anyio.current_time()
            if await self._try_to_follow(self.leader.address):
                shortest_end = started + SHORTEST_PERIOD_S
                await anyio.sleep(max(0.0, shortest_end - anyio.current_time()))

    async def _try_to_follow(self, address: Address) -> bool:
        """Send a heartbeat to a replica and take over its view; return whether there was one."""
        try:
            view = await self._send_heartbeat(address)
        except PasslaneError as error:
            self.leader.note_failure(address, error)
            return False
        self.leader.note_answer(address)
        self._take_over(view)
        return True

    async def _send_heartbeat(self, address: Address) -> FleetView:
        heartbeat = msgspec.structs.replace(
            self._heartbeat(),
            configuration_version=self.configuration.version,
            view_number=self.view.number,
            backends_number=self.backends.number,
            reads_backends=self.view.is_told_to_read_backends,
            wait_s=WAIT_S,
        )
        return await self._caller.call(
            address, heartbeat, FleetView, timeout_s=WAIT_S + ANSWER_MARGIN_S
        )

    def _take_over(self, view: FleetView) -> None:
        """Take over all that a view tells, then wake those who wait for a change."""
        has_changed = self.view.take_over(view)
        self.backends.take_over(view)
        if view.configuration is not None:
            self.configuration.take_over(view.configuration)
        if has_changed:
            self.view.note_change()
