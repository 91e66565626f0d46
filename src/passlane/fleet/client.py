"""Sends this process's heartbeats and applies the views of the fleet in the answers.

For: a process starts with some seed addresses; everything else arrives in the answers (message
``FleetView``) to its heartbeats (message ``Announce``).
Owns: the heartbeat loop, the search for the control group's leader, and the cached state of the
fleet: ``view``, ``configuration``, ``backends``.
Relies on: a caller that reaches control replicas.
"""

import random as random_module
from collections.abc import Callable, Sequence

import anyio
import msgspec

from passlane.errors import PasslaneError
from passlane.fleet.backends_reporter import BackendsReporter
from passlane.fleet.cached_backends import CachedBackends
from passlane.fleet.cached_configuration import CachedConfiguration
from passlane.fleet.cached_view import CachedView
from passlane.fleet.control_leader import ControlLeader
from passlane.messages.common import Address
from passlane.messages.fleet import Announce, FleetView
from passlane.transport.interfaces import Caller
from passlane.transport.replica_search import ReplicaSearch, RetryIntervals

HEARTBEAT_WAIT_S = 0.8
"""Time for which the leader delays the answer to a heartbeat while there is no update; below
``cached_view.STALE_AFTER_S`` and ``directory.EXPIRE_AFTER_S``."""
ANSWER_MARGIN_S = 0.5
"""Time beyond ``HEARTBEAT_WAIT_S`` for the answer to arrive."""
SEARCH_BACKOFF = RetryIntervals(first_s=0.04, longest_s=0.25, growth=1.3)
"""Backoff of the search for the leader; an election takes some tenths of a second, even after all
processes were lost."""
MIN_HEARTBEAT_INTERVAL_S = 0.05
"""Minimum interval between two heartbeats when updates arrive in quick succession."""


class FleetClient:
    """Keeps this process's cached state of the fleet up to date.

    Parameters
    ----------
    heartbeat
        Returns this process's current heartbeat, without the versions of the cached state and
        the wait, which are filled in here.
    seeds
        Internal addresses of some control replicas, valid at startup.

    Attributes
    ----------
    view
        Machines of the fleet, from the last view.
    configuration
        The configuration applied in this process.
    backends
        The list of backends.
    leader
        The leader of the control group.
    reporter
        Reports the list of backends, if this process reads it for all nodes.
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
        self.view = CachedView()
        self.configuration = CachedConfiguration()
        self.backends = CachedBackends()
        self.leader = ControlLeader(seeds, self.view, random)
        self.reporter = BackendsReporter(lambda: heartbeat().name, self.leader, caller)
        self._search = ReplicaSearch(
            self.leader.candidates,
            self._exchange_heartbeat,
            self.leader.is_known,
            SEARCH_BACKOFF,
            random,
        )

    async def run(self) -> None:
        """Send heartbeats and apply the answers until cancelled."""
        while True:
            if self.leader.address is None:
                await self._search.run()
                continue
            started = anyio.current_time()
            if await self._exchange_heartbeat(self.leader.address):
                min_end = started + MIN_HEARTBEAT_INTERVAL_S
                await anyio.sleep(max(0.0, min_end - anyio.current_time()))

    async def _exchange_heartbeat(self, address: Address) -> bool:
        """Send a heartbeat to a replica and apply its view; return whether it answered."""
        try:
            view = await self._send_heartbeat(address)
        except PasslaneError as error:
            self.leader.record_failure(address, error)
            return False
        self.leader.record_answer(address)
        self._apply_view(view)
        return True

    async def _send_heartbeat(self, address: Address) -> FleetView:
        heartbeat = msgspec.structs.replace(
            self._heartbeat(),
            configuration_version=self.configuration.version,
            view_number=self.view.number,
            backends_number=self.backends.number,
            reads_backends=self.view.is_assigned_reader,
            wait_s=HEARTBEAT_WAIT_S,
        )
        return await self._caller.call(
            address, heartbeat, FleetView, timeout_s=HEARTBEAT_WAIT_S + ANSWER_MARGIN_S
        )

    def _apply_view(self, view: FleetView) -> None:
        """Apply all parts of a view, then notify the tasks that wait for a change."""
        has_changed = self.view.apply(view)
        self.backends.apply(view)
        if view.configuration is not None:
            self.configuration.apply(view.configuration)
        if has_changed:
            self.view.publish_change()
