"""The configuration invariants under seeded random faults, and defects that violate them."""

import unittest
from dataclasses import replace

from control.configuration_checker import InvariantViolationError
from control.group_model import FleetModel, TestedClasses
from passlane.configuration.references import ReferenceIndex
from passlane.configuration.view import ConfigurationView
from passlane.control.state.acceptance import AcceptanceTracker
from passlane.control.state.idempotency import IdempotencyTable
from passlane.control.state.leader_proposals import LeaderProposals
from passlane.control.state.machine import ControlStateMachine
from passlane.identifiers import Revision
from passlane.messages.control import PutDocument, PutResult

SEEDS = range(28)
DEFECT_SEEDS = range(40)
STEPS = 600
MISSED_CHANGES = 250


def run_seed(seed, classes=None):
    fleet = FleetModel(seed, classes or TestedClasses())
    for _ in range(STEPS):
        fleet.step()
    if seed % 5 == 0:
        fleet.change_during_partition(MISSED_CHANGES)
    fleet.settle()
    return fleet


class IgnoresVersions(ControlStateMachine):
    def _put(self, command):
        newest = self.ledger.newest(command.kind, command.name)
        exists = newest is not None and newest.body is not None
        return super()._put(_based_on(command, newest.version if exists else 0))


def _based_on(command, version):
    return PutDocument(command.kind, command.name, command.body, version, command.idempotency_key)


class OmitsKeysInSnapshots(ControlStateMachine):
    def take_snapshot(self):
        keys, self._keys = self._keys, IdempotencyTable()
        try:
            return super().take_snapshot()
        finally:
            self._keys = keys


class WithdrawsAcceptedChanges(ControlStateMachine):
    def _withdraw(self, command):
        if not 0 < command.revision <= self.ledger.accepted_revision:
            return super()._withdraw(command)
        name = next(iter(self.ledger.newest_documents())).name
        return PutResult(document=self._append("policy", name, None))


class AcceptsWithdrawnChanges(ControlStateMachine):
    def acceptable_revision(self, prepared_revision):
        return Revision(min(prepared_revision, self.ledger.held_revision))


class DropsReferencesAtRestart(ControlStateMachine):
    def restore_snapshot(self, data):
        super().restore_snapshot(data)
        self._references = ReferenceIndex()


class RequiresOneRegionOnly(AcceptanceTracker):
    def prepared_everywhere(self, regions):
        return max((self._prepared(region) for region in regions), default=Revision(0))


class AcceptsTooEarly(LeaderProposals):
    def __init__(self, machine, regions):
        super().__init__(machine, regions)
        self._tracker = RequiresOneRegionOnly()


class ActsOnPendingChanges(ConfigurationView):
    def apply_delta(self, delta):
        return super().apply_delta(delta).accept(delta.to_revision)


class AppliesStaleReplies(ConfigurationView):
    def accept(self, revision):
        accepted = super().accept(revision)
        return replace(accepted, revision_in_force=min(revision, accepted.revision_in_force))


DEFECTS = {
    "one change per version": TestedClasses(machine=IgnoresVersions),
    "a resend gets the first result": TestedClasses(machine=OmitsKeysInSnapshots),
    "accepted changes are not withdrawn": TestedClasses(machine=WithdrawsAcceptedChanges),
    "withdrawn changes are never in force": TestedClasses(machine=AcceptsWithdrawnChanges),
    "replicas agree": TestedClasses(machine=DropsReferencesAtRestart),
    "nodes with a lease have the accepted revision": TestedClasses(proposals=AcceptsTooEarly),
    "only accepted changes are in force": TestedClasses(view=ActsOnPendingChanges),
    "the revision in force never decreases": TestedClasses(view=AppliesStaleReplies),
}


class GroupFaultsTest(unittest.TestCase):
    def test_invariants_hold_under_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_seed(seed)

    def test_each_defect_violates_its_invariant(self):
        for invariant, classes in DEFECTS.items():
            with self.subTest(invariant=invariant):
                self.assertTrue(is_violated(invariant, classes))


def is_violated(invariant, classes):
    """Return whether a seed violates this invariant first."""
    for seed in DEFECT_SEEDS:
        try:
            run_seed(seed, classes)
        except InvariantViolationError as error:
            if error.invariant == invariant:
                return True
    return False


if __name__ == "__main__":
    unittest.main()
