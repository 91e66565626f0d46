"""Clients of the simulated Raft group: they append commands and read, and try again."""

import random as random_module
from collections.abc import Callable

from passlane.messages.common import Address
from passlane.simulation.raft_cluster import RaftCluster
from passlane.simulation.raft_host import ProposalOutcome, ReadOutcome, SimulatedReplicaHost

_ATTEMPT_TIMEOUT_S = 0.6
_RETRY_PAUSE_S = 0.03
_READ_FRACTION = 0.4
_GIVE_UP_FRACTION = 0.3


class SimulatedClient:
    """Does one operation after the other.

    Parameters
    ----------
    cluster
        The group and the network to it.
    name
        Prefix of its commands.
    pause_s
        Mean pause between two operations.
    """

    def __init__(self, cluster: RaftCluster, name: str, pause_s: float) -> None:
        self._cluster = cluster
        self._name = name
        self._pause_s = pause_s
        self._random = random_module.Random(cluster.random.random())
        self._number = 0
        self._leader: Address | None = None
        self._attempt = 0
        self._may_have_run = False
        self.commands_done = 0
        self.reads_done = 0
        self.is_stopped = False

    def start_operation(self) -> None:
        """Begin the next operation."""
        if self.is_stopped:
            return
        self._may_have_run = False
        if self._random.random() < _READ_FRACTION:
            self._try_read()
            return
        self._number += 1
        self._try_command()

    @property
    def _command(self) -> bytes:
        return f"{self._name}-{self._number}".encode()

    def _try_command(self) -> None:
        attempt = self._begin_attempt(self._time_out_command)
        command = self._command
        host = self._pick_host()

        def reply(outcome: ProposalOutcome) -> None:
            self._later(attempt, lambda: self._finish_command(outcome))

        self._send(lambda: host.propose(command, reply))

    def _finish_command(self, outcome: ProposalOutcome) -> None:
        if outcome.committed:
            self.commands_done += 1
            self._next_operation()
            return
        self._leader = outcome.leader
        self._may_have_run = self._may_have_run or outcome.may_have_run
        if not self._may_have_run and self._random.random() < _GIVE_UP_FRACTION:
            self._cluster.invariants.note_refused(self._command)
            self._next_operation()
            return
        self._pause(_RETRY_PAUSE_S, self._try_command)

    def _time_out_command(self) -> None:
        self._leader = None
        self._may_have_run = True
        self._try_command()

    def _try_read(self) -> None:
        attempt = self._begin_attempt(self._time_out_read)
        invoked_at = self._cluster.now
        host = self._pick_host()

        def reply(outcome: ReadOutcome) -> None:
            if outcome.applied_index is not None:
                now = self._cluster.now
                self._cluster.invariants.note_read(invoked_at, outcome.applied_index, now)
            self._later(attempt, lambda: self._finish_read(outcome))

        self._send(lambda: host.read(reply))

    def _finish_read(self, outcome: ReadOutcome) -> None:
        if outcome.applied_index is not None:
            self.reads_done += 1
            self._next_operation()
            return
        self._leader = outcome.leader
        self._pause(_RETRY_PAUSE_S, self._try_read)

    def _time_out_read(self) -> None:
        self._leader = None
        self._try_read()

    def _begin_attempt(self, on_timeout: Callable[[], None]) -> int:
        self._attempt += 1
        attempt = self._attempt

        def time_out() -> None:
            if self._attempt == attempt and not self.is_stopped:
                on_timeout()

        self._cluster.schedule(self._cluster.now + _ATTEMPT_TIMEOUT_S, time_out)
        return attempt

    def _later(self, attempt: int, action: Callable[[], None]) -> None:
        """Act on an answer after the network's delay, unless the attempt was given up."""

        def run() -> None:
            if self._attempt == attempt and not self.is_stopped:
                self._attempt += 1
                action()

        self._cluster.schedule(self._cluster.now + self._cluster.network_delay(), run)

    def _send(self, action: Callable[[], None]) -> None:
        self._cluster.schedule(self._cluster.now + self._cluster.network_delay(), action)

    def _pause(self, mean_s: float, action: Callable[[], None]) -> None:
        attempt = self._attempt

        def run() -> None:
            if self._attempt == attempt and not self.is_stopped:
                action()

        pause = self._random.expovariate(1.0 / mean_s)
        self._cluster.schedule(self._cluster.now + pause, run)

    def _next_operation(self) -> None:
        self._pause(self._pause_s, self.start_operation)

    def _pick_host(self) -> SimulatedReplicaHost:
        if self._leader is not None:
            return self._cluster.hosts_by_address[self._leader]
        return self._random.choice(self._cluster.hosts)
