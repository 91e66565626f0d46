"""A control group, its regions and its operators as plain state machines, under faults.

A single log replaces consensus: uncommitted commands of a leader may be committed later,
in order, or lost at the next change of leader. Runs are determined by the seed.
"""

import random
from dataclasses import dataclass, field

from control.configuration_checker import ConfigurationChecker, require
from passlane.configuration.documents import PolicyBody, ServiceBody
from passlane.configuration.ledger import ConfigurationLedger
from passlane.configuration.parsing import encode_body
from passlane.configuration.view import ConfigurationView
from passlane.control.state.leader_proposals import LeaderProposals
from passlane.control.state.machine import ControlStateMachine
from passlane.identifiers import Revision
from passlane.messages.base import encode_message
from passlane.messages.control import (
    ConfigurationDelta,
    PutDocument,
    RegionReport,
    WithdrawChange,
)

REGIONS = ("east", "north", "south")
NODES_PER_REGION = 3
NAMES = tuple(f"p{number}" for number in range(5))
MAX_TOMBSTONES = 2
DELTA_BYTES = 400
MAX_KEPT_MESSAGES = 20


@dataclass(frozen=True)
class TestedClasses:
    """Classes under test; a seeded defect replaces one of them."""

    machine: type = ControlStateMachine
    proposals: type = LeaderProposals
    view: type = ConfigurationView


class ReplicaModel:
    """One replica, which applies the committed log with a delay."""

    def __init__(self, group):
        self.group = group
        self.snapshot = (0, self._new_machine().take_snapshot())
        self.leader_term = None
        self.restart()

    def _new_machine(self):
        machine = self.group.classes.machine()
        machine.ledger = ConfigurationLedger(MAX_TOMBSTONES)
        return machine

    def restart(self):
        self.applied, data = self.snapshot
        self.machine = self._new_machine()
        self.machine.restore_snapshot(data)
        self.leader_term = None
        self.proposals = None

    def take_snapshot(self):
        self.snapshot = (self.applied, self.machine.take_snapshot())

    def catch_up(self, to=None):
        log = self.group.log
        for index in range(self.applied, len(log) if to is None else to):
            result = self.machine.apply(index, log[index])
            self.group.record_applied(self, index, result)
            self.applied = index + 1

    def lead(self, term, regions):
        self.catch_up()
        self.leader_term = term
        self.proposals = self.group.classes.proposals(self.machine, regions)


class GroupModel:
    """Three replicas with one committed log; a replaced leader may not have noticed."""

    def __init__(self, source, classes, checker):
        self.random = source
        self.classes = classes
        self.checker = checker
        self.log = []
        self.results = []
        self.uncommitted = []
        self.regions = REGIONS[:2]
        self.term = 0
        self.replicas = [ReplicaModel(self) for _ in range(3)]
        self.change_leader()

    def change_leader(self):
        kept = self.random.randint(0, len(self.uncommitted))
        for command in self.uncommitted[:kept]:
            self._commit(command)
        self.uncommitted.clear()
        self.term += 1
        self.leader = self.random.choice(self.replicas)
        self.leader.lead(self.term, self.regions)

    def propose(self, replica, command):
        """Return the result, or ``None`` if there is no reply and the outcome is unknown."""
        if replica is not self.leader:
            return None
        self.uncommitted.append(encode_message(command))
        if self.random.random() < 0.1:
            return None
        for waiting in self.uncommitted:
            self._commit(waiting)
        self.uncommitted.clear()
        replica.catch_up()
        return None if self.random.random() < 0.1 else self.results[-1]

    def _commit(self, command):
        self.log.append(command)
        self.leader.catch_up()

    def record_applied(self, replica, index, result):
        if index == len(self.results):
            self.results.append(result)
            self.checker.check_applied(self.log[index], result, replica.machine)
        require(self.results[index] == result, "replicas agree", index)

    def step(self):
        choice = self.random.random()
        replica = self.random.choice(self.replicas)
        if choice < 0.15:
            self.change_leader()
        elif choice < 0.35:
            replica.take_snapshot()
        elif choice < 0.5:
            replica.restart()
            if replica is self.leader:
                self.change_leader()
        elif choice < 0.55:
            self.regions = REGIONS
        else:
            replica.catch_up(self.random.randint(replica.applied, len(self.log)))

    def propose_due_commands(self):
        for command in self.leader.proposals.due_commands(self.term):
            self.propose(self.leader, command)


@dataclass
class NodeModel:
    """A node of a region; it counts for acceptance only while it has a lease."""

    view: ConfigurationView
    has_lease: bool = False
    sent_deltas: list[ConfigurationDelta] = field(default_factory=list)


class RegionModel:
    """A region's recorded configuration, its nodes, and reports that may arrive out of order."""

    def __init__(self, name, source, classes, checker):
        self.name = name
        self.random = source
        self.classes = classes
        self.checker = checker
        self.term = 1
        self.is_partitioned = False
        self.tracks_members = True
        self.ledger = ConfigurationLedger(MAX_TOMBSTONES)
        self.nodes = [NodeModel(classes.view()) for _ in range(NODES_PER_REGION)]
        self.required_revision = 0
        self.sent_reports = []
        self.sent_deltas = []

    def leased_nodes(self):
        return [node for node in self.nodes if node.has_lease]

    def report(self):
        held = self.ledger.held_revision
        views = [node.view for node in self.leased_nodes()]
        prepared = min((view.held_revision for view in views), default=held)
        in_force = min(
            (view.revision_in_force for view in views), default=self.ledger.accepted_revision
        )
        return RegionReport(
            region=self.name,
            term=self.term,
            held_revision=held,
            prepared_revision=prepared if self.tracks_members else Revision(0),
            revision_in_force=in_force,
            member_count=len(views),
            held_floor=self.ledger.floor_revision,
        )

    def exchange(self, group):
        """Report to the leader or to a replaced one that has not noticed."""
        leaders = [replica for replica in group.replicas if replica.leader_term is not None]
        replica = group.leader if self.random.random() < 0.8 else self.random.choice(leaders)
        if self.is_partitioned:
            return
        if self.sent_reports and self.random.random() < 0.1:
            stale = self.random.choice(self.sent_reports)
            replica.proposals.record_report(stale, replica.leader_term, 0.0)
        report = self.report()
        self.sent_reports = [*self.sent_reports[-MAX_KEPT_MESSAGES:], report]
        replica.proposals.record_report(report, replica.leader_term, 0.0)
        delta = replica.machine.ledger.delta_since(
            report.held_revision, report.held_floor, DELTA_BYTES
        )
        if self.random.random() < 0.9:
            self.ledger.apply_delta(self.maybe_stale(self.sent_deltas, delta))

    def maybe_stale(self, sent, delta):
        """Return the delta, or sometimes an earlier one to the same receiver."""
        sent.append(delta)
        del sent[:-MAX_KEPT_MESSAGES]
        return self.random.choice(sent) if self.random.random() < 0.1 else delta

    def step(self):
        node = self.random.choice(self.nodes)
        choice = self.random.random()
        if choice < 0.03:
            node.view, node.has_lease = self.classes.view(), False
        elif choice < 0.06:
            node.has_lease = False
        elif choice < 0.08:
            self.term += 1
            self.tracks_members = False
        elif choice < 0.3:
            self.tracks_members = True
        else:
            self.exchange_heartbeat(node)

    def exchange_heartbeat(self, node):
        """Exchange one heartbeat; a lease requires the region's whole configuration."""
        reported = node.view.held_revision
        delta = self.ledger.delta_since(reported, node.view.floor_revision, DELTA_BYTES)
        before = node.view
        node.view = before.apply_delta(self.maybe_stale(node.sent_deltas, delta))
        self.checker.check_view(before, node.view)
        if reported >= self.ledger.held_revision:
            node.has_lease = True

    def check_leases(self):
        """Check that all nodes with a lease have the accepted revision."""
        for node in self.leased_nodes():
            held = node.view.held_revision
            require(
                held >= self.required_revision,
                "nodes with a lease have the accepted revision",
                self.name,
                held,
                self.required_revision,
            )


class OperatorModel:
    """Writes on top of a possibly stale replica's state and resends earlier commands."""

    def __init__(self, name, source, group):
        self.name = name
        self.random = source
        self.group = group
        self.sent = []

    def step(self):
        if self.sent and self.random.random() < 0.3:
            command = self.random.choice(self.sent)
        else:
            command = self.new_command(f"{self.name}-{len(self.sent)}")
            self.sent.append(command)
        self.group.propose(self.group.leader, command)

    def new_command(self, key):
        is_up_to_date = self.random.random() < 0.8
        replicas = [self.group.leader] if is_up_to_date else self.group.replicas
        ledger = self.random.choice(replicas).machine.ledger
        if ledger.held_revision and self.random.random() < 0.25:
            newest = ledger.held_revision
            revision = self.random.randint(max(1, newest - 8), newest)
            return WithdrawChange(Revision(revision), key)
        kind = "service" if self.random.random() < 0.25 else "policy"
        name = self.random.choice(NAMES)
        newest = ledger.newest(kind, name)
        exists = newest is not None and newest.body is not None
        delete = exists and self.random.random() < 0.3
        body = None if delete else self.new_body(kind, key)
        return PutDocument(kind, name, body, newest.version if exists else 0, key)

    def new_body(self, kind, key):
        """Return a unique policy body, or a service that may refer to a policy."""
        if kind == "policy":
            return encode_body(PolicyBody(source=f"# {key}"))
        return encode_body(ServiceBody(policy=self.random.choice([*NAMES, None])))


class FleetModel:
    """The group, its regions and its operators, driven in steps from one seed."""

    def __init__(self, seed, classes):
        self.random = random.Random(seed)
        self.checker = ConfigurationChecker()
        self.group = GroupModel(self.random, classes, self.checker)
        self.regions = {
            name: RegionModel(name, self.random, classes, self.checker) for name in REGIONS
        }
        self.checker.regions = self.regions
        self.operators = [
            OperatorModel(name, self.random, self.group) for name in ("ann", "ben", "eva")
        ]

    def step(self):
        choice = self.random.random()
        region = self.random.choice(list(self.regions.values()))
        if choice < 0.25:
            self.random.choice(self.operators).step()
        elif choice < 0.35:
            self.group.step()
        elif choice < 0.45:
            self.group.propose_due_commands()
        elif choice < 0.65:
            region.exchange(self.group)
        elif choice < 0.66:
            region.is_partitioned = not region.is_partitioned
        else:
            region.step()
        for each in self.regions.values():
            each.check_leases()

    def change_during_partition(self, count):
        """Make changes while one region is partitioned."""
        region = self.random.choice(list(self.regions.values()))
        region.is_partitioned = True
        for _ in range(count):
            self.random.choice(self.operators).step()
        region.is_partitioned = False

    def settle(self):
        """Check that all nodes converge without faults; then resend all commands."""
        self.group.regions = REGIONS
        self.group.change_leader()
        target = self.group.leader.machine.ledger.held_revision
        for _ in range(3 * len(self.checker.history) + 50):
            for region in self.regions.values():
                region.is_partitioned, region.tracks_members = False, True
                region.exchange(self.group)
                for node in region.nodes:
                    region.exchange_heartbeat(node)
                region.check_leases()
            self.group.propose_due_commands()
            if self.revisions_in_force() == {target}:
                break
        require(self.revisions_in_force() == {target}, "all nodes converge", target)
        for operator in self.operators:
            for command in operator.sent:
                self.group.propose(self.group.leader, command)

    def revisions_in_force(self):
        nodes = [node for region in self.regions.values() for node in region.nodes]
        return {node.view.revision_in_force for node in nodes}
