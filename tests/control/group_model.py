"""A control group, its regions and its operators as plain state machines, under faults.

The replicated log stands in for consensus: commands that a leader proposed but that are
not committed yet may be committed later, in order, or be lost with the next change of
leader. Everything follows from the seed.
"""

import random
from dataclasses import dataclass, field

from control.configuration_truth import ConfigurationTruth, require
from passlane.configuration.documents import PolicyBody, ServiceBody
from passlane.configuration.ledger import ConfigurationLedger
from passlane.configuration.parsing import encode_body
from passlane.configuration.view import ConfigurationView
from passlane.control.state.leader_duties import LeaderDuties
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
KEPT_MESSAGES = 20


@dataclass(frozen=True)
class Parts:
    """Classes under test; a deliberate fault puts another one in."""

    machine: type = ControlStateMachine
    duties: type = LeaderDuties
    view: type = ConfigurationView


class ReplicaModel:
    """One replica: its state follows the committed log, at its own pace."""

    def __init__(self, group):
        self.group = group
        self.snapshot = (0, self._new_machine().take_snapshot())
        self.leads_in = None
        self.restart()

    def _new_machine(self):
        machine = self.group.parts.machine()
        machine.ledger = ConfigurationLedger(MAX_TOMBSTONES)
        return machine

    def restart(self):
        self.applied, data = self.snapshot
        self.machine = self._new_machine()
        self.machine.restore_snapshot(data)
        self.leads_in = None
        self.duties = None

    def take_snapshot(self):
        self.snapshot = (self.applied, self.machine.take_snapshot())

    def catch_up(self, to=None):
        log = self.group.log
        for index in range(self.applied, len(log) if to is None else to):
            result = self.machine.apply(index, log[index])
            self.group.note_applied(self, index, result)
            self.applied = index + 1

    def lead(self, term, regions):
        self.catch_up()
        self.leads_in = term
        self.duties = self.group.parts.duties(self.machine, regions)


class GroupModel:
    """Three replicas around one committed log; an older leader may not know it was replaced."""

    def __init__(self, source, parts, truth):
        self.random = source
        self.parts = parts
        self.truth = truth
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
        """Return the result, or ``None`` if no answer comes; it may be committed all the same."""
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

    def note_applied(self, replica, index, result):
        if index == len(self.results):
            self.results.append(result)
            self.truth.take_applied(self.log[index], result, replica.machine)
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

    def propose_what_is_due(self):
        for command in self.leader.duties.commands_due(self.term):
            self.propose(self.leader, command)


@dataclass
class NodeModel:
    """A node of a region; without a lease it takes no part in acceptance."""

    view: ConfigurationView
    has_lease: bool = False
    sent_deltas: list[ConfigurationDelta] = field(default_factory=list)


class RegionModel:
    """A region's recorded configuration, its nodes, and reports that may arrive late."""

    def __init__(self, name, source, parts, truth):
        self.name = name
        self.random = source
        self.parts = parts
        self.truth = truth
        self.term = 1
        self.is_cut = False
        self.knows_members = True
        self.ledger = ConfigurationLedger(MAX_TOMBSTONES)
        self.nodes = [NodeModel(parts.view()) for _ in range(NODES_PER_REGION)]
        self.must_hold = 0
        self.sent_reports = []
        self.sent_deltas = []

    def leased(self):
        return [node for node in self.nodes if node.has_lease]

    def report(self):
        held = self.ledger.held_revision
        views = [node.view for node in self.leased()]
        prepared = min((view.held_revision for view in views), default=held)
        in_force = min(
            (view.revision_in_force for view in views), default=self.ledger.accepted_revision
        )
        return RegionReport(
            region=self.name,
            term=self.term,
            held_revision=held,
            prepared_revision=prepared if self.knows_members else Revision(0),
            revision_in_force=in_force,
            member_count=len(views),
            held_floor=self.ledger.floor_revision,
        )

    def exchange(self, group):
        """Report to the leader, or to one that does not know that it was replaced."""
        leaders = [replica for replica in group.replicas if replica.leads_in is not None]
        replica = group.leader if self.random.random() < 0.8 else self.random.choice(leaders)
        if self.is_cut:
            return
        if self.sent_reports and self.random.random() < 0.1:
            late = self.random.choice(self.sent_reports)
            replica.duties.take_report(late, replica.leads_in, 0.0)
        report = self.report()
        self.sent_reports = [*self.sent_reports[-KEPT_MESSAGES:], report]
        replica.duties.take_report(report, replica.leads_in, 0.0)
        delta = replica.machine.ledger.delta_since(
            report.held_revision, report.held_floor, DELTA_BYTES
        )
        if self.random.random() < 0.9:
            self.ledger.apply_delta(self.maybe_late(self.sent_deltas, delta))

    def maybe_late(self, sent, delta):
        """Return the answer, or now and then an earlier one of the same receiver."""
        sent.append(delta)
        del sent[:-KEPT_MESSAGES]
        return self.random.choice(sent) if self.random.random() < 0.1 else delta

    def step(self):
        node = self.random.choice(self.nodes)
        choice = self.random.random()
        if choice < 0.03:
            node.view, node.has_lease = self.parts.view(), False
        elif choice < 0.06:
            node.has_lease = False
        elif choice < 0.08:
            self.term += 1
            self.knows_members = False
        elif choice < 0.3:
            self.knows_members = True
        else:
            self.beat(node)

    def beat(self, node):
        """Exchange one heartbeat: the lease needs all that the region holds."""
        reported = node.view.held_revision
        delta = self.ledger.delta_since(reported, node.view.floor_revision, DELTA_BYTES)
        before = node.view
        node.view = before.apply_delta(self.maybe_late(node.sent_deltas, delta))
        self.truth.check_view(before, node.view)
        if reported >= self.ledger.held_revision:
            node.has_lease = True

    def check_leases(self):
        """No node may have a lease and lack what was accepted with this region's report."""
        for node in self.leased():
            held = node.view.held_revision
            require(held >= self.must_hold, "accepted is held", self.name, held, self.must_hold)


class OperatorModel:
    """Writes on the base of what some replica shows, and sends again what went unanswered."""

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
        """Return a policy with a body of its own, or a service that may refer to a policy."""
        if kind == "policy":
            return encode_body(PolicyBody(source=f"# {key}"))
        return encode_body(ServiceBody(policy=self.random.choice([*NAMES, None])))


class FleetModel:
    """The group, its regions and its operators, driven step by step from one seed."""

    def __init__(self, seed, parts):
        self.random = random.Random(seed)
        self.truth = ConfigurationTruth()
        self.group = GroupModel(self.random, parts, self.truth)
        self.regions = {name: RegionModel(name, self.random, parts, self.truth) for name in REGIONS}
        self.truth.regions = self.regions
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
            self.group.propose_what_is_due()
        elif choice < 0.65:
            region.exchange(self.group)
        elif choice < 0.66:
            region.is_cut = not region.is_cut
        else:
            region.step()
        for each in self.regions.values():
            each.check_leases()

    def miss_many_changes(self, count):
        """Make changes while a region hears of none."""
        region = self.random.choice(list(self.regions.values()))
        region.is_cut = True
        for _ in range(count):
            self.random.choice(self.operators).step()
        region.is_cut = False

    def settle(self):
        """Without faults all must come to the newest revision; then send everything again."""
        self.group.regions = REGIONS
        self.group.change_leader()
        target = self.group.leader.machine.ledger.held_revision
        for _ in range(3 * len(self.truth.history) + 50):
            for region in self.regions.values():
                region.is_cut, region.knows_members = False, True
                region.exchange(self.group)
                for node in region.nodes:
                    region.beat(node)
                region.check_leases()
            self.group.propose_what_is_due()
            if self.revisions_in_force() == {target}:
                break
        require(self.revisions_in_force() == {target}, "in force in the end", target)
        for operator in self.operators:
            for command in operator.sent:
                self.group.propose(self.group.leader, command)

    def revisions_in_force(self):
        nodes = [node for region in self.regions.values() for node in region.nodes]
        return {node.view.revision_in_force for node in nodes}
