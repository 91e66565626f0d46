"""One node reads the list of backends for all, and is replaced when its reports are overdue."""

import unittest

from passlane.fleet.state.backend_listing import REPORT_OVERDUE_S, BackendListing
from passlane.messages.listing import ReportBackends
from relay.fakes import backend

NODES = ("node-1", "node-2", "node-3")


def report(*records, name="node-1", number=0):
    return ReportBackends(name=name, number=number, records=tuple(records))


class BackendListingTest(unittest.TestCase):
    def setUp(self):
        self.listing = BackendListing(100)

    def test_a_changed_list_has_a_new_number_and_the_same_list_keeps_its_own(self):
        self.assertTrue(self.listing.report(report(backend("i-1")), 1.0))
        first = self.listing.number
        self.assertFalse(self.listing.report(report(backend("i-1")), 2.0))
        self.assertEqual((self.listing.number, self.listing.read_at), (first, 2.0))
        self.assertTrue(self.listing.report(report(backend("i-2")), 3.0))
        self.assertGreater(self.listing.number, first)

    def test_a_report_with_the_number_of_another_term_is_ignored(self):
        other = BackendListing(200)
        other.report(report(backend("i-1")), 1.0)
        unchanged = ReportBackends(name="node-1", number=other.number, records=None)
        self.assertFalse(self.listing.report(unchanged, 2.0))
        self.assertIsNone(self.listing.read_at)

    def test_a_report_without_records_confirms_the_current_list(self):
        self.listing.report(report(backend("i-1")), 1.0)
        unchanged = ReportBackends(name="node-1", number=self.listing.number, records=None)
        self.assertFalse(self.listing.report(unchanged, 2.0))
        self.assertEqual(self.listing.read_at, 2.0)

    def test_the_reader_stays_while_it_reports(self):
        self.assertTrue(self.listing.choose_reader(NODES, 0.0))
        self.assertEqual(self.listing.reader, "node-1")
        for second in range(1, 10):
            self.listing.report(report(backend("i-1")), float(second))
            self.assertFalse(self.listing.choose_reader(NODES, float(second)))

    def test_a_reader_that_is_overdue_or_has_left_is_replaced(self):
        self.listing.choose_reader(NODES, 0.0)
        self.assertTrue(self.listing.choose_reader(NODES, REPORT_OVERDUE_S + 0.1))
        self.assertEqual(self.listing.reader, "node-2")
        self.assertTrue(self.listing.choose_reader(("node-1", "node-3"), 2.0))
        self.assertEqual(self.listing.reader, "node-3")
        self.assertTrue(self.listing.choose_reader(NODES[:2], 2.0))
        self.assertEqual(self.listing.reader, "node-1")

    def test_without_nodes_there_is_no_reader(self):
        self.listing.choose_reader(NODES, 0.0)
        self.listing.choose_reader((), 1.0)
        self.assertIsNone(self.listing.reader)
