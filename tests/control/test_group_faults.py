"""The promises about the configuration, under faults from a seed; and deliberate faults."""

import unittest
from dataclasses import replace

from control.configuration_truth import BrokenPromiseError
from control.group_model import FleetModel, Parts
from passlane.configuration.references import ReferenceIndex
from passlane.configuration.view import ConfigurationView
from passlane.control.state.acceptance import AcceptanceTracker
from passlane.control.state.idempotency import IdempotencyTable
from passlane.control.state.leader_duties import LeaderDuties
from passlane.control.state.machine import ControlStateMachine
from passlane.identifiers import Revision
from passlane.messages.control import PutDocument, PutResult

SEEDS = range(28)
DEFECT_SEEDS = range(40)
STEPS = 600
MISSED_CHANGES = 250


def run_seed(seed, parts=None):
    fleet = FleetModel(seed, parts or Parts())
    for _ in range(STEPS):
        fleet.step()
    if seed % 5 == 0:
        fleet.miss_many_changes(MISSED_CHANGES)
    fleet.settle()
    return fleet


class IgnoresVersions(ControlStateMachine):
    def _put(self, command):
        newest = self.ledger.newest(command.kind, command.name)
        exists = newest is not None and newest.body is not None
        return super()._put(_based_on(command, newest.version if exists else 0))


def _based_on(command, version):
    return PutDocument(command.kind, command.name, command.body, version, command.idempotency_key)


class ForgetsKeysInSnapshots(ControlStateMachine):
    def take_snapshot(self):
        keys, self._keys = self._keys, IdempotencyTable()
        try:
            return super().take_snapshot()
        finally:
            self._keys = keys


class WithdrawsWhatIsAccepted(ControlStateMachine):
    def _withdraw(self, command):
        if not 0 < command.revision <= self.ledger.accepted_revision:
            return super()._withdraw(command)
        name = next(iter(self.ledger.newest_documents())).name
        return PutResult(document=self._append("policy", name, None))


class AcceptsWithinWithdrawals(ControlStateMachine):
    def acceptable_revision(self, prepared_revision):
        return Revision(min(prepared_revision, self.ledger.held_revision))


class ForgetsReferencesAtRestart(ControlStateMachine):
    def restore_snapshot(self, data):
        super().restore_snapshot(data)
        self._references = ReferenceIndex()


class OneRegionIsEnough(AcceptanceTracker):
    def prepared_everywhere(self, regions):
        return max((self._prepared(region) for region in regions), default=Revision(0))


class AcceptsTooEarly(LeaderDuties):
    def __init__(self, machine, regions):
        super().__init__(machine, regions)
        self._tracker = OneRegionIsEnough()


class ActsOnPending(ConfigurationView):
    def apply_delta(self, delta):
        return super().apply_delta(delta).accept(delta.to_revision)


class ObeysLateAnswers(ConfigurationView):
    def accept(self, revision):
        accepted = super().accept(revision)
        return replace(accepted, revision_in_force=min(revision, accepted.revision_in_force))


DEFECTS = {
    "one winner per version": Parts(machine=IgnoresVersions),
    "a resend gets the first answer": Parts(machine=ForgetsKeysInSnapshots),
    "what is accepted is not withdrawn": Parts(machine=WithdrawsWhatIsAccepted),
    "what is withdrawn is never in force": Parts(machine=AcceptsWithinWithdrawals),
    "replicas agree": Parts(machine=ForgetsReferencesAtRestart),
    "accepted is held": Parts(duties=AcceptsTooEarly),
    "only what is accepted is in force": Parts(view=ActsOnPending),
    "in force never goes back": Parts(view=ObeysLateAnswers),
}


class GroupFaultsTest(unittest.TestCase):
    def test_every_promise_holds_under_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_seed(seed)

    def test_each_deliberate_fault_breaks_its_promise(self):
        for promise, parts in DEFECTS.items():
            with self.subTest(promise=promise):
                self.assertTrue(is_broken(promise, parts))


def is_broken(promise, parts):
    """Return whether this promise is the first that one of the seeds breaks."""
    for seed in DEFECT_SEEDS:
        try:
            run_seed(seed, parts)
        except BrokenPromiseError as error:
            if error.promise == promise:
                return True
    return False


if __name__ == "__main__":
    unittest.main()
