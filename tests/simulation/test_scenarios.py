"""Whole fleets on the virtual clock: a fixed set of runs, and every defect caught."""

import unittest

from passlane.simulation.defects.catalog import DEFECTS
from passlane.simulation.execution import run_scenario
from passlane.simulation.invariants import INVARIANTS
from passlane.simulation.replacement import Replacement, replaced
from passlane.simulation.scenarios.catalog import SCENARIOS
from passlane.store.accounts import Account

ONCE_BROKEN_RUNS = (
    ("power-lost-everywhere", 0),
    ("rolling-restart", 6),
    ("unnamed-calls", 0),
    ("engine-ends-under-calls", 7),
    ("engine-answers-without-end", 2),
)
"""Runs that broke a promise before the cause was mended, or a check before it allowed for the loss
of a node just after an engine ended under its call."""
QUICK_DEFECTS = (
    "newest-call-first",
    "release-forgotten",
    "doubtful-charge-repeated",
    "version-unchecked",
    "stream-end-taken-for-answer",
    "ended-engines-not-counted",
)
"""Caught here each time; ``passlane sim defects`` checks all of them."""


def run(name, seed, defect=None):
    return run_scenario(SCENARIOS[name], seed, defect)


class ScenarioTest(unittest.TestCase):
    def test_runs_that_once_broke_a_promise_hold(self):
        for name, seed in ONCE_BROKEN_RUNS:
            with self.subTest(scenario=name, seed=seed):
                self.assertEqual(run(name, seed).violations, ())

    def test_same_seed_gives_the_same_hash(self):
        first = run("calls-sent-together", 0)
        self.assertEqual(first.violations, ())
        self.assertEqual(first.digest, run("calls-sent-together", 0).digest)

    def test_every_promise_is_endangered_by_a_scenario(self):
        endangered = {promise for one in SCENARIOS.values() for promise in one.promises}
        self.assertEqual(endangered, {invariant.name for invariant in INVARIANTS})


class LostNodeTest(unittest.TestCase):
    def test_a_led_call_ends_three_engines_over_the_loss_of_its_leading_node(self):
        self.assertEqual(run("engine-ends-late-under-calls", 4).violations, ())


class DefectTest(unittest.TestCase):
    def test_quick_defects_are_caught(self):
        for name in QUICK_DEFECTS:
            defect = DEFECTS[name]
            with self.subTest(defect=name):
                result = run(defect.scenario, defect.seed, defect)
                broken = {violation.invariant for violation in result.violations}
                self.assertIn(defect.promise, broken)

    def test_there_is_a_defect_for_each_promise(self):
        promises = {defect.promise for defect in DEFECTS.values()}
        self.assertEqual(promises, {invariant.name for invariant in INVARIANTS})

    def test_replacements_are_taken_back(self):
        original = Account.can_reserve
        with replaced([Replacement(Account, "can_reserve", None)]):
            self.assertIsNone(Account.can_reserve)
        self.assertIs(Account.can_reserve, original)
        with self.assertRaises(AttributeError), replaced([Replacement(Account, "none", None)]):
            pass


if __name__ == "__main__":
    unittest.main()
