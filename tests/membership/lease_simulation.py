"""A discrete-event simulation of leases between nodes and store leaders.

Faults: clock drift, message loss and delay, frozen and killed nodes, leader changes.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from passlane.identifiers import Epoch, NodeId, Partition, Revision
from passlane.membership.events import HandoverRequested, LeadershipGained, MembershipChange
from passlane.membership.lease_table import LeaseTable
from passlane.membership.node_lease import NodeLease
from passlane.messages.common import Address
from passlane.messages.membership import HeartbeatReply, NodeHeartbeat
from passlane.messages.store import AssignPartitions, PartitionAssignment
from passlane.settings.model import MembershipSettings
from passlane.store.assignments import AssignmentTable

PARTITIONS = 12
SETTINGS = MembershipSettings(partitions=PARTITIONS, clock_drift_fraction=0.05)
NO_BACKOFF = MembershipSettings(
    partitions=PARTITIONS, clock_drift_fraction=0.05, rejoin_delay_s=0.0
)
NO_REVISION = Revision(0)


def heartbeat_of(lease: NodeLease, is_draining: bool = False) -> NodeHeartbeat:
    return NodeHeartbeat(
        node_id=lease.node_id,
        incarnation=lease.incarnation,
        address=Address("127.0.0.1", 1),
        zone="z",
        prepared_revision=NO_REVISION,
        revision_in_force=NO_REVISION,
        table_version=lease.table_version,
        draining=is_draining,
        released=lease.releases,
    )


@dataclass
class Clock:
    """The clock of a machine, with an offset and a bounded rate error."""

    offset: float
    rate: float

    def at(self, now: float) -> float:
        return self.offset + self.rate * now


@dataclass
class Node:
    name: str
    incarnation: int
    clock: Clock
    lease: NodeLease
    is_alive: bool = True
    is_draining: bool = False
    frozen_until: float = 0.0

    @property
    def label(self) -> str:
        return f"{self.name}/{self.incarnation}"


@dataclass
class StoreReplica:
    """One replica; ``table`` is set while it considers itself the leader of ``term``."""

    clock: Clock
    term: int = 0
    table: LeaseTable | None = None
    proposal: tuple[PartitionAssignment, ...] = ()


@dataclass
class Region:
    """Runs events in time order and checks that no two nodes lead the same partition."""

    seed: int
    has_faults: bool = True
    has_barrier: bool = True
    settings: MembershipSettings | None = None
    now: float = 0.0
    term: int = 0
    leader: StoreReplica | None = None
    gained: set[tuple[Partition, Epoch]] = field(default_factory=set)
    problems: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        if self.settings is None:
            self.settings = NO_BACKOFF if self.seed % 2 else SETTINGS
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order: Iterator[int] = itertools.count()
        self.recorded = AssignmentTable()
        self.replicas = [StoreReplica(self._clock()) for _ in range(3)]
        self.nodes: dict[str, Node] = {}
        for number in range(4):
            self.start_node(f"n{number}")
        self.elect()

    def _clock(self) -> Clock:
        drift = SETTINGS.clock_drift_fraction
        return Clock(self.random.uniform(0, 1000), self.random.uniform(1 - drift, 1 + drift))

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._order), action))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    # Faults.

    def start_node(self, name: str) -> None:
        if name in self.nodes:
            self.nodes[name].is_alive = False
        incarnation = self.random.randrange(1, 2**60)
        lease = NodeLease(NodeId(name), incarnation, SETTINGS.clock_drift_fraction)
        node = Node(name, incarnation, self._clock(), lease)
        self.nodes[name] = node
        self.schedule(self.random.random(), lambda: self._send_heartbeat(node))

    def kill_node(self, name: str) -> None:
        self.nodes[name].is_alive = False
        self.schedule(self.random.choice((0.1, 1.0, 5.0)), lambda: self.start_node(name))

    def freeze_node(self, name: str, duration: float) -> None:
        self.nodes[name].frozen_until = self.now + duration

    def elect(self) -> None:
        """Make another replica the leader; the old one notices after a delay."""
        old = self.leader
        if old is not None:
            if old.proposal and self.random.random() < 0.5:
                self.recorded.assign(AssignPartitions(assignments=old.proposal))
            old.proposal = ()
            self.schedule(self.random.uniform(0, 3), lambda: self._notice_leadership_loss(old))
        self.term += 1
        new = self.random.choice([replica for replica in self.replicas if replica is not old])
        new.term = self.term
        new.proposal = ()
        assert self.settings is not None
        new.table = LeaseTable(self.settings, self.recorded.all(), new.clock.at(self.now))
        self.leader = new
        self.schedule(0.1, lambda: self._plan(new, new.term))

    def _notice_leadership_loss(self, old: StoreReplica) -> None:
        if self.leader is not old:
            old.table = None

    # The store leader.

    def _plan(self, replica: StoreReplica, term: int) -> None:
        if self.leader is not replica or replica.term != term or replica.table is None:
            return
        self.schedule(0.1, lambda: self._plan(replica, term))
        if replica.proposal:
            return
        planned = replica.table.plan_assignments(replica.clock.at(self.now))
        if planned:
            replica.proposal = planned
            self.schedule(self.random.uniform(0.001, 0.3), lambda: self._commit(replica, term))

    def _commit(self, replica: StoreReplica, term: int) -> None:
        if self.leader is not replica or replica.term != term or replica.table is None:
            return
        self.recorded.assign(AssignPartitions(assignments=replica.proposal))
        replica.proposal = ()
        replica.table.record_assignments(self.recorded.all())

    def _receive(self, replica: StoreReplica, heartbeat: NodeHeartbeat, sent_at: float) -> None:
        if replica.table is None:
            return
        term = replica.term
        delay = self.random.uniform(0.001, 0.05) if self.has_barrier else 0.0
        self.schedule(delay, lambda: self._answer(replica, term, heartbeat, sent_at))

    def _answer(
        self, replica: StoreReplica, term: int, heartbeat: NodeHeartbeat, sent_at: float
    ) -> None:
        leads = self.leader is replica and replica.term == term
        if replica.table is None or (self.has_barrier and not leads):
            return
        decision = replica.table.answer_heartbeat(
            heartbeat, NO_REVISION, replica.clock.at(self.now)
        )
        changed = heartbeat.table_version != self.recorded.version
        reply = HeartbeatReply(
            lease_s=decision.lease_s,
            table_version=self.recorded.version if leads else heartbeat.table_version,
            accepted_revision=NO_REVISION,
            table=self.recorded.changed_since(heartbeat.table_version)
            if changed and leads
            else None,
            handovers=decision.handovers,
        )
        node = self.nodes[heartbeat.node_id]
        if node.incarnation == heartbeat.incarnation and not self._is_lost():
            self.schedule(self._delay(), lambda: self._receive_reply(node, reply, sent_at))

    # The nodes.

    def _delay(self) -> float:
        return self.random.choice((0.001, 0.002, 0.2, 1.5)) if self.has_faults else 0.002

    def _is_lost(self) -> bool:
        return self.has_faults and self.random.random() < 0.1

    def _send_heartbeat(self, node: Node) -> None:
        if not node.is_alive:
            return
        if node.frozen_until > self.now:
            self.schedule(node.frozen_until - self.now, lambda: self._send_heartbeat(node))
            return
        self.schedule(SETTINGS.heartbeat_s, lambda: self._send_heartbeat(node))
        self._apply_changes(node, node.lease.check_expiry(node.clock.at(self.now)))
        heartbeat = heartbeat_of(node.lease, node.is_draining)
        sent_at = node.clock.at(self.now)
        for replica in self.replicas:
            if replica.table is not None and not self._is_lost():
                self.schedule(
                    self._delay(),
                    lambda replica=replica: self._receive(replica, heartbeat, sent_at),  # type: ignore[misc]
                )

    def _receive_reply(self, node: Node, reply: HeartbeatReply, sent_at: float) -> None:
        if not node.is_alive:
            return
        if node.frozen_until > self.now:
            remaining_s = node.frozen_until - self.now
            self.schedule(remaining_s, lambda: self._receive_reply(node, reply, sent_at))
            return
        self._apply_changes(node, node.lease.handle_reply(reply, sent_at, node.clock.at(self.now)))
        # A second leader can appear only when a node gains leadership.
        self._check()

    def _apply_changes(self, node: Node, changes: list[MembershipChange]) -> None:
        for change in changes:
            if isinstance(change, LeadershipGained):
                key = (change.partition, change.epoch)
                if key in self.gained:
                    self.problems.append(f"{self.now}: {node.label} gained {key} twice")
                self.gained.add(key)
            if isinstance(change, HandoverRequested):
                partition = change.partition
                self.schedule(
                    self.random.uniform(0, 2),
                    lambda partition=partition: self._finish_handover(node, partition),  # type: ignore[misc]
                )

    def _finish_handover(self, node: Node, partition: Partition) -> None:
        if node.is_alive and node.lease.handover_of(partition) is not None:
            self._apply_changes(node, node.lease.release(partition))

    # Observation.

    def loads(self) -> list[int]:
        now = self.now
        return sorted(
            len(node.lease.led_partitions) if node.lease.is_valid(node.clock.at(now)) else 0
            for node in self.nodes.values()
        )

    def _check(self) -> None:
        leaders: dict[Partition, list[str]] = {}
        for node in self.nodes.values():
            if not node.is_alive or not node.lease.is_valid(node.clock.at(self.now)):
                continue
            for partition in node.lease.led_partitions:
                leaders.setdefault(partition, []).append(node.label)
        for partition, labels in leaders.items():
            if len(labels) > 1:
                self.problems.append(f"{self.now}: {labels} lead partition {partition}")
