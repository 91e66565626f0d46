"""A simulated Raft group: replicas driven by a heap of events on a virtual clock.

Everything that happens follows from the seed: network delays, loss, duplication and
reordering, one-way cuts, freezes, drifting clocks, crashes that lose unsynced writes.
"""

import hashlib
import heapq
import itertools
import random as random_module
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import AnyRaftMessage, EntryKind, GroupMember, GroupMembership
from passlane.raft.config import ReplicaConfig
from passlane.raft.events import ReplicaOffered
from passlane.raft.membership import decode_membership, member_of, voters_of
from passlane.raft.replica import Replica
from passlane.simulation.raft_disk import SimulatedRaftDisk
from passlane.simulation.raft_host import ReplicaFactory, SimulatedReplicaHost
from passlane.simulation.raft_invariants import RaftInvariants

GROUP = "simulated"
_PORT = 7001
_JOIN_EVERY_S = 0.3
_TRACE_LINES = 60


@dataclass(frozen=True, slots=True)
class NetworkConditions:
    """How the simulated network treats messages; times in seconds.

    A share ``slow_fraction`` of the messages takes up to ``slowest_s``, so that messages
    overtake each other.
    """

    shortest_s: float = 0.0005
    longest_s: float = 0.003
    slow_fraction: float = 0.02
    slowest_s: float = 0.1
    duplicate_fraction: float = 0.01
    loss_fraction: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ClusterOptions:
    """What a simulated cluster is made of.

    Attributes
    ----------
    hosts
        Machines that could hold a replica.
    first_voters
        How many of them make up the group at the start.
    replica_factory
        Class of the replicas; a deliberate fault puts another one here.
    host_factory
        Class of the shells around them; a deliberate fault puts another one here.
    keeps_identity_after_wipe
        A defect: a wiped disk comes back under its old identity, as a voter.
    network
        How the network treats messages when no fault is under way.
    max_batch_bytes
        Most bytes of entries in one message; small ones lose and reorder single entries.
    mean_fault_pause_s
        Mean seconds between two random faults.
    places
        How many voters the group keeps; all other hosts are spares. ``None`` lets each vote.
    """

    hosts: int = 5
    first_voters: int = 3
    replica_factory: ReplicaFactory = Replica
    host_factory: type[SimulatedReplicaHost] = SimulatedReplicaHost
    keeps_identity_after_wipe: bool = False
    heartbeat_s: float = 0.05
    election_timeout_s: float = 0.3
    network: NetworkConditions = NetworkConditions()
    max_batch_bytes: int = 2_000
    mean_fault_pause_s: float = 0.5
    places: int | None = None


class RaftCluster:
    """The machines, the network between them and the virtual clock.

    Parameters
    ----------
    seed
        Decides all that happens.
    options
        What the cluster is made of.
    """

    def __init__(self, seed: int, options: ClusterOptions) -> None:
        self.random = random_module.Random(seed)
        self.options = options
        self.invariants = RaftInvariants()
        self.network = options.network
        self.loss_fraction = 0.0
        self.cuts: set[tuple[Address, Address]] = set()
        self.heals = 0
        self.joining: set[Address] = set()
        self._lost_disks: dict[ReplicaId, int] = {}
        self.events_run = 0
        self._now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._trace: deque[str] = deque(maxlen=_TRACE_LINES)
        self._trace_hash = hashlib.blake2b(digest_size=8)
        self._wipes = 0
        self.hosts = [self._make_host(number) for number in range(options.hosts)]
        self.hosts_by_address = {host.address: host for host in self.hosts}

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._now

    @property
    def trace(self) -> list[str]:
        """The last lines of what happened."""
        return list(self._trace)

    @property
    def trace_digest(self) -> str:
        """Digest of all that happened; equal for two runs of one seed."""
        return self._trace_hash.hexdigest()

    @property
    def leaders(self) -> list[SimulatedReplicaHost]:
        """Hosts that believe to lead, the newest term last."""
        hosts = [host for host in self.hosts if host.is_leader]
        return sorted(hosts, key=lambda host: host.replica.term if host.replica else 0)

    def start(self) -> None:
        """Start the first members."""
        started = None if self.options.places else self.options.first_voters
        for host in self.hosts[:started]:
            host.start()
        self.schedule(_JOIN_EVERY_S, self._ask_to_join)

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        """Run an action at a virtual time."""
        heapq.heappush(self._queue, (time, next(self._order), action))

    def run_until(self, time: float) -> None:
        """Run all events up to a virtual time."""
        while self._queue and self._queue[0][0] <= time:
            self._now, _, action = heapq.heappop(self._queue)
            self.events_run += 1
            action()
        self._now = time

    def run_until_true(self, condition: Callable[[], bool], time: float) -> bool:
        """Run until a condition holds or a virtual time has come; return whether it holds."""
        while not condition():
            if not self._queue or self._queue[0][0] > time:
                return False
            self._now, _, action = heapq.heappop(self._queue)
            self.events_run += 1
            action()
        return True

    def transmit(self, sender: Address, receiver: Address, message: AnyRaftMessage) -> None:
        """Send a message over the simulated network."""
        if (sender, receiver) in self.cuts:
            return
        if self.random.random() < max(self.loss_fraction, self.network.loss_fraction):
            return
        copies = 2 if self.random.random() < self.network.duplicate_fraction else 1
        for _ in range(copies):
            self._deliver_later(receiver, message)

    def network_delay(self) -> float:
        """Return a random delay in seconds."""
        network = self.network
        if self.random.random() < network.slow_fraction:
            return self.random.uniform(network.longest_s, network.slowest_s)
        return self.random.uniform(network.shortest_s, network.longest_s)

    def cut(self, sender: SimulatedReplicaHost, receiver: SimulatedReplicaHost) -> None:
        """Silence one direction between two hosts."""
        self.cuts.add((sender.address, receiver.address))

    def isolate(self, host: SimulatedReplicaHost) -> None:
        """Silence both directions between a host and all others."""
        for other in self.hosts:
            if other is not host:
                self.cut(host, other)
                self.cut(other, host)

    def heal(self) -> None:
        """End all cuts."""
        self.heals += 1
        self.cuts.clear()

    def wipe(self, host: SimulatedReplicaHost) -> None:
        """Lose a host's disk; the host comes back as a new replica that asks to join."""
        host.crash()
        lost_id = host.disk.replica_id
        self._lost_disks[lost_id] = host.disk.last_index
        if self.options.keeps_identity_after_wipe:
            host.disk = SimulatedRaftDisk(lost_id, self.first_members())
            return
        self._wipes += 1
        replica_id = ReplicaId(f"{lost_id.split('-')[0]}-{self._wipes}")
        host.disk = SimulatedRaftDisk(replica_id, ())
        self.joining.add(host.address)

    def first_members(self) -> tuple[GroupMember, ...]:
        """Return the members that the group starts with."""
        return tuple(
            GroupMember(self._first_id(number), self._address(number), is_voter=True)
            for number in range(self.options.first_voters)
        )

    def committed_membership(self) -> GroupMembership:
        """Return the newest membership that is known to be committed."""
        for committed in reversed(self.invariants.committed):
            if committed.entry.kind is EntryKind.MEMBERSHIP:
                return decode_membership(committed.entry.data)
        return GroupMembership(members=self.first_members())

    def has_change_under_way(self) -> bool:
        """Return whether some replica holds a membership other than the committed one."""
        committed = set(self.committed_membership().members)
        return any(
            host.replica is not None
            and host.disk.replica_id in voters_of(self.committed_membership())
            and set(host.replica.membership.members) != committed
            for host in self.hosts
        )

    def is_repaired(self) -> bool:
        """Return whether each voter has its disk, so that losing one disk is survivable."""
        voters = voters_of(self.committed_membership())
        present = {host.disk.replica_id for host in self.hosts}
        return all(voter in present for voter in voters) and not self.has_change_under_way()

    def durable_index_of(self, replica_id: ReplicaId) -> int:
        """Return the last index that is durable, or was when the disk was lost.

        A leader cannot know of a loss before it is told, so what it knew still counts.
        """
        for host in self.hosts:
            if host.disk.replica_id == replica_id:
                return host.disk.last_index
        return self._lost_disks[replica_id]

    def note_trace(self, text: str) -> None:
        """Keep a line for the report of a failing run."""
        line = f"{self._now:9.4f} {text}"
        self._trace.append(line)
        self._trace_hash.update(line.encode())

    def _deliver_later(self, receiver: Address, message: AnyRaftMessage) -> None:
        host = self.hosts_by_address[receiver]
        self.schedule(self._now + self.network_delay(), lambda: host.receive(message))

    def _make_host(self, number: int) -> SimulatedReplicaHost:
        options = self.options
        is_first = number < options.first_voters
        config = ReplicaConfig(
            group=GROUP,
            replica_id=self._first_id(number),
            address=self._address(number),
            heartbeat_s=options.heartbeat_s,
            election_timeout_s=options.election_timeout_s,
            max_batch_bytes=options.max_batch_bytes,
            max_in_flight_batches=4,
            places=options.places,
            snapshot_chunk_bytes=1_000,
            trailing_entries=20,
        )
        disk = SimulatedRaftDisk(config.replica_id, self.first_members() if is_first else ())
        return options.host_factory(self, config, disk, options.replica_factory)

    @staticmethod
    def _first_id(number: int) -> ReplicaId:
        return ReplicaId(f"r{number}")

    @staticmethod
    def _address(number: int) -> Address:
        return Address(host=f"10.0.0.{number + 1}", port=_PORT)

    def _ask_to_join(self) -> None:
        """Let hosts that want to join ask whoever leads, as their shells would."""
        self.schedule(self._now + _JOIN_EVERY_S, self._ask_to_join)
        for leader in self.leaders:
            for host in self.hosts:
                if host.replica is None or (host.address, leader.address) in self.cuts:
                    continue
                if self.options.places:
                    self._offer(host, leader)
                elif host.address in self.joining:
                    self._ask_leader(host, leader)

    def _offer(self, host: SimulatedReplicaHost, leader: SimulatedReplicaHost) -> None:
        """Let a host that does not vote offer itself, and tell whose disk it lost."""
        if leader.replica is None:
            return
        own_id = host.disk.replica_id
        members = leader.replica.membership.members
        if any(member.replica_id == own_id and member.is_voter for member in members):
            self.joining.discard(host.address)
            return
        replaces = tuple(
            member.replica_id
            for member in members
            if member.address == host.address and member.replica_id != own_id
        )
        leader.deliver(ReplicaOffered(own_id, host.address, "", replaces))

    def _ask_leader(self, host: SimulatedReplicaHost, leader: SimulatedReplicaHost) -> None:
        if leader.replica is None:
            return
        member = member_of(leader.replica.membership, host.disk.replica_id)
        if member is None:
            leader.add_member(host.disk.replica_id, host.address)
        elif (
            member.is_voter
            and leader.replica.commit_index >= 1
            and not (self.has_change_under_way())
        ):
            self.joining.discard(host.address)
