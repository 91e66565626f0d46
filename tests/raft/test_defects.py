"""The simulation detects each injected defect within its stated number of seeds."""

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
    def test_each_defect_is_detected(self) -> None:
        for defect in DEFECTS.values():
            with self.subTest(defect=defect.name):
                detected = first_violation(defect)
                self.assertIsNotNone(detected)
                assert detected is not None
                self.assertIn(detected.violation, defect.breaks)


if __name__ == "__main__":
    unittest.main()
