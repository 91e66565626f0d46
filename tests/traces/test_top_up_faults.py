"""Recorded traces of the top-up association in which nodes or engines fail."""

import unittest

from traces.replay_checks import TraceTestCase, groups_of_one


class TopUpFaultsTest(TraceTestCase):
    def test_outcomes(self) -> None:
        self.check_groups(groups_of_one("amre-topup"))


if __name__ == "__main__":
    unittest.main()
