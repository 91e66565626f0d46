"""Selection of the engines that a node watches."""

import unittest

from passlane.configuration.documents import EngineBody
from passlane.decisions.backends.watched_engines import watched_engines
from passlane.identifiers import EngineId
from passlane.messages.common import Address


class WatchedEnginesTest(unittest.TestCase):
    def engines(self, count: int) -> dict[EngineId, EngineBody]:
        address = Address(host="127.0.0.1", port=1)
        return {
            EngineId(f"e{n}"): EngineBody(address=address, zone=f"z{n % 4}", models=(f"m{n % 3}",))
            for n in range(count)
        }

    def test_bounded_spread_and_stable(self):
        engines = self.engines(300)
        counts = dict.fromkeys(engines, 0)
        for number in range(100):
            watched = watched_engines(f"n{number}", "z1", engines, 8)
            self.assertEqual(24, len(watched))
            self.assertEqual(4, len({engines[engine_id].zone for engine_id in watched}))
            for engine_id in watched:
                counts[engine_id] += 1
        self.assertGreater(sum(count > 0 for count in counts.values()), 280)
        before = watched_engines("n1", "z1", engines, 8)
        removed = next(iter(before))
        del engines[removed]
        after = watched_engines("n1", "z1", engines, 8)
        self.assertEqual(before - {removed}, before & after)
        self.assertEqual(1, len(after - before))

    def test_leaving_engines_are_replaced_in_the_subset(self):
        """Guards against a node that cannot place calls because its whole subset is leaving."""
        engines = self.engines(300)
        leaving = watched_engines("n1", "z1", engines, 8)
        after = watched_engines("n1", "z1", engines, 8, leaving)
        self.assertEqual(24, len(after))
        self.assertFalse(after & leaving)

    def test_leaving_engines_do_not_count_as_serving(self):
        engines = self.engines(3)
        self.assertEqual(
            frozenset({EngineId("e1"), EngineId("e2")}),
            watched_engines("n1", "z1", engines, 8, frozenset({EngineId("e0")})),
        )


if __name__ == "__main__":
    unittest.main()
