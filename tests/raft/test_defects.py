"""The simulation notices each deliberate fault within the stated number of seeds."""

import unittest

from passlane.simulation.raft_defects import DEFECTS, RaftDefect
from passlane.simulation.raft_run import RaftRunResult, run_defect_seed


def first_violation(defect: RaftDefect) -> RaftRunResult | None:
    for seed in range(defect.within_seeds):
        result = run_defect_seed(defect, seed)
        if result.violation is not None:
            return result
    return None


class DefectsTest(unittest.TestCase):
    def test_each_defect_is_caught(self) -> None:
        for defect in DEFECTS.values():
            with self.subTest(defect=defect.name):
                caught = first_violation(defect)
                self.assertIsNotNone(caught)
                assert caught is not None
                self.assertIn(caught.violation, defect.breaks)


if __name__ == "__main__":
    unittest.main()
