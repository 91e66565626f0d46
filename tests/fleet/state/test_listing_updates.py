"""Updates from any earlier list of backends lead to the newest list."""

import random
import unittest

from passlane.fleet.state.listing_updates import (
    MAX_RETAINED_CHANGES,
    ListingUpdates,
    apply_changes,
    unpack,
)
from passlane.messages.listing import BackendState
from relay.fakes import backend


def random_list(source, before):
    """Return a list in which some backends were removed, added or began to drain."""
    kept = [record for record in before if source.random() < 0.9]
    kept = [
        backend(record.instance_id, state=BackendState.DRAINING)
        if source.random() < 0.1
        else record
        for record in kept
    ]
    new = [backend(f"i-{source.getrandbits(24)}") for _ in range(source.randrange(3))]
    # An instance may be listed again after it was removed.
    return (*kept, *new, *([backend("i-again")] if source.random() < 0.5 else []))


class ListingUpdatesTest(unittest.TestCase):
    def setUp(self):
        self.updates = ListingUpdates()

    def updated(self, number, records):
        since = self.updates.since(number)
        changes = unpack(self.updates.update_since(since))
        return apply_changes(records if since else (), changes)

    def test_every_earlier_list_is_updated_to_the_newest(self):
        for seed in range(20):
            self.updates = ListingUpdates()
            source = random.Random(seed)
            lists = [tuple(backend(f"i-{n}") for n in range(30))]
            for _ in range(MAX_RETAINED_CHANGES + 20):
                lists.append(random_list(source, lists[-1]))
            for number, records in enumerate(lists, 1):
                self.updates.record_list(number, records)
            newest = {record.instance_id: record for record in lists[-1]}
            for number, records in enumerate(lists, 1):
                result = self.updated(number, records)
                self.assertEqual({r.instance_id: r for r in result}, newest)
                self.assertEqual(len(result), len(newest))

    def test_a_process_without_a_retained_list_gets_the_whole_list(self):
        records = tuple(backend(f"i-{n}") for n in range(5))
        self.updates.record_list(100, records)
        for number in (0, 7, 1_000):
            self.assertEqual(self.updates.since(number), 0)
        self.assertEqual(self.updated(0, ()), records)

    def test_one_change_among_thousands_takes_few_bytes(self):
        records = tuple(backend(f"i-{n}") for n in range(3_000))
        self.updates.record_list(1, records)
        self.updates.record_list(2, records[1:])
        self.assertLess(len(self.updates.update_since(1)), 100)


if __name__ == "__main__":
    unittest.main()
