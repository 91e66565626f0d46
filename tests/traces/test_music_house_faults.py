"""Recorded traces of the music house in which nodes or engines fail."""

import unittest

from traces.replay_checks import TraceTestCase, groups_of_one


class MusicHouseFaultsTest(TraceTestCase):
    def test_outcomes(self) -> None:
        self.check_groups(groups_of_one("music-house"))


if __name__ == "__main__":
    unittest.main()
