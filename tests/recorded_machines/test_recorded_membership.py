"""Recorded runs of leases and of the planner of partitions.

The digests go once the shape of these modules has settled.
"""

import random
import unittest
from typing import Any

from passlane.identifiers import Epoch, NodeId, Partition, Revision
from passlane.membership.lease_table import LeaseDecision, LeaseTable
from passlane.membership.members import ConfigurationProgress
from passlane.membership.partition_planner import Candidates, PartitionPlanner
from passlane.membership.placement import NodeIncarnation
from passlane.messages.common import Address
from passlane.messages.control import MemberVersion, TargetInFlight
from passlane.messages.membership import (
    HandoverOrder,
    NodeHeartbeat,
    NodeView,
    PartitionRelease,
)
from passlane.messages.store import PartitionAssignment
from passlane.settings.model import MembershipSettings
from recorded_machines.recording import Recording

KINDS: dict[type[Any], str] = {
    Address: "address",
    Candidates: "candidates",
    ConfigurationProgress: "progress",
    HandoverOrder: "handover",
    LeaseDecision: "decision",
    MemberVersion: "member",
    NodeView: "node",
    PartitionAssignment: "assignment",
    PartitionRelease: "release",
    TargetInFlight: "in flight",
}
PARTITIONS = 24
LARGE_TABLE = 64
STEPS = 4_000
FLAPPING_STEPS = 6_000
CALM_ENDS = 1 / 550
PLANS = 400
TERM_S = 100.0


class Node:
    """A node that beats, hands over what it is ordered to, drains, restarts and hangs."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.life = 1
        self.quiet_until = 0.0
        self.is_draining = False
        self.orders: dict[Partition, Epoch] = {}

    def heartbeat(self, revision: int, draw: random.Random) -> NodeHeartbeat:
        released = [PartitionRelease(p, e) for p, e in self.orders.items() if draw.random() < 0.5]
        calls = TargetInFlight("engine", f"e{self.number % 2}", draw.randrange(3))
        prepared = max(0, revision - int(draw.random() < 0.2))
        return NodeHeartbeat(
            node_id=NodeId(f"n{self.number}"),
            incarnation=self.life,
            address=Address("h", self.number * 10 + self.life),
            zone=f"z{self.number % 2}",
            prepared_revision=Revision(prepared),
            revision_in_force=Revision(max(0, prepared - 1)),
            table_version=0,
            draining=self.is_draining,
            released=tuple(released),
            in_flight=(calls,) * draw.randrange(2),
        )

    def disturb(self, now: float, draw: random.Random) -> None:
        kind = draw.randrange(5)
        if kind == 0:
            self.life += 1
            self.is_draining = False
            self.orders.clear()
        elif kind == 1:
            self.quiet_until = now + draw.choice((1.0, 1.9, 2.1, 5.0, 70.0))
        else:
            self.is_draining = kind == 2


class Load:
    """Nodes and a store whose leader changes; proposals are mostly recorded."""

    def __init__(self, recording: Recording, seed: int) -> None:
        self.recording = recording
        self.random = random.Random(seed)
        self.now = 0.0
        self.revision = 0
        self.nodes = [Node(number) for number in range(7)]
        self.recorded: dict[Partition, PartitionAssignment] = {}
        self.settings = MembershipSettings(partitions=PARTITIONS)
        self.table = self._new_table()

    def _new_table(self) -> LeaseTable:
        return LeaseTable(self.settings, list(self.recorded.values()), self.now)

    def run(self) -> None:
        term_ends = TERM_S
        for _ in range(STEPS):
            self.now = round(self.now + self.random.choice((0.05, 0.1, 0.15)), 6)
            node = self.random.choice(self.nodes)
            if self.random.random() < 0.006:
                node.disturb(self.now, self.random)
            if self.now >= node.quiet_until:
                self.recording.note(*self._beat(node))
            if self.random.random() < 0.3:
                self.recording.note(*self._plan())
            if self.random.random() < 0.02:
                self._change_others()
            if self.now >= term_ends:
                term_ends += TERM_S
                self.table = self._new_table()

    def _beat(self, node: Node) -> list[Any]:
        heartbeat = node.heartbeat(self.revision, self.random)
        required = Revision(max(0, self.revision - 1))
        decision = self.table.answer_heartbeat(heartbeat, required, self.now)
        for order in decision.handovers:
            node.orders[order.partition] = order.epoch
        return [[self.now, heartbeat, required], decision]

    def _plan(self) -> list[Any]:
        planned = self.table.plan_assignments(self.now)
        if self.random.random() < 0.85:
            self.recorded.update((assignment.partition, assignment) for assignment in planned)
        self.table.record_assignments(self.recorded.values())
        told = [self.table.tracks_all_members(self.now), self.table.views(self.now)]
        progress = self.table.progress(Revision(self.revision), self.now)
        return [[self.now, "plan"], [planned, told, progress]]

    def _change_others(self) -> None:
        """Let the configuration go on, and the platform name nodes that leave."""
        self.revision += 1
        if self.random.random() < 0.3:
            leaving = {NodeId(f"n{self.random.randrange(7)}")} if self.random.random() < 0.5 else ()
            self.table.set_leaving(leaving)


class FlappingLoad(Load):
    """A node that loses its lease again and again, between calm times, in one long term.

    Clocks agree and time goes in half seconds, so that leases end at a moment that is seen.
    """

    def __init__(self, recording: Recording, seed: int) -> None:
        super().__init__(recording, seed)
        self.settings = MembershipSettings(partitions=PARTITIONS, clock_drift_fraction=0.0)
        self.table = self._new_table()
        self.losses_left = 9

    def run(self) -> None:
        flapping, *others = self.nodes[:3]
        for _ in range(FLAPPING_STEPS):
            self.now += 0.5
            happened = [self._beat(node) for node in others]
            if self.now >= flapping.quiet_until:
                happened.append(self._beat(flapping))
                self._flap(flapping)
            happened.append(self._plan())
            self.recording.note(*zip(*happened, strict=True))

    def _flap(self, node: Node) -> None:
        """Be quiet beyond a lease, some times in a row; then be calm for minutes."""
        views = {view.node_id: view for view in self.table.views(self.now)}
        if not views[NodeId(f"n{node.number}")].has_lease:
            return
        if self.losses_left > 0:
            self.losses_left -= 1
            node.quiet_until = self.now + self.random.choice((2.0, 2.5, 3.0))
        elif self.random.random() < CALM_ENDS:
            self.losses_left = self.random.randrange(1, 10)


def run_planner(recording: Recording) -> None:
    """Plan for candidates that come, drain and leave, with the planner alone."""
    draw = random.Random(3)
    planner = PartitionPlanner(LARGE_TABLE)
    recorded: dict[Partition, PartitionAssignment] = {}
    for _ in range(PLANS):
        candidates = draw_candidates(draw)
        planned = planner.plan(candidates)
        orders = [
            planner.orders_for(life, candidates.eligible) for life in sorted(candidates.active)
        ]
        led = [planner.count_led(life) for life in sorted(candidates.active)]
        moving = [planner.has_moves_from(life) for life in sorted(candidates.active)]
        recording.note(candidates, [planned, orders, led, moving])
        recorded.update((assignment.partition, assignment) for assignment in planned)
        planner.record_assignments(recorded.values())
        for life, given in zip(sorted(candidates.active), orders, strict=True):
            done = [PartitionRelease(order.partition, order.epoch) for order in given]
            planner.record_releases(life, done[: draw.randrange(5)])


def draw_candidates(draw: random.Random) -> Candidates:
    """Return most lives as active, some of them draining; seldom none that is eligible."""
    lives = [NodeIncarnation(NodeId(f"n{n}"), 1 + int(draw.random() < 0.05)) for n in range(6)]
    active = [life for life in lives if draw.random() < 0.95]
    draining = [life for life in active if draw.random() < draw.choice((0.0, 0.0, 0.3))]
    if draw.random() < 0.03:
        draining = active
    eligible = {life: Address("h", n) for n, life in enumerate(active) if life not in draining}
    return Candidates(active=frozenset(active), eligible=eligible, draining=draining)


class RecordedMembershipTest(unittest.TestCase):
    def test_leases(self) -> None:
        recording = Recording("leases", KINDS)
        recording.check(self, lambda: Load(recording, 1).run())
        recording.require_reached(self, *(set(KINDS) - {Candidates}), NodeHeartbeat)

    def test_node_that_loses_its_lease_often(self) -> None:
        recording = Recording("leases_lost", KINDS)
        recording.check(self, lambda: FlappingLoad(recording, 2).run())
        recording.require_reached(self, LeaseDecision, ConfigurationProgress, NodeView)

    def test_planner(self) -> None:
        recording = Recording("partition_planner", KINDS)
        recording.check(self, lambda: run_planner(recording))
        recording.require_reached(self, Candidates, HandoverOrder, PartitionAssignment)


if __name__ == "__main__":
    unittest.main()
