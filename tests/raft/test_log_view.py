"""What a replica retains of its log in memory."""

import unittest

from passlane.messages.raft import EntryKind, LogEntry
from passlane.raft.log_view import RaftLog


def log_of(*sizes_bytes):
    entries = [
        LogEntry(index=index, term=1, kind=EntryKind.COMMAND, data=bytes(size))
        for index, size in enumerate(sizes_bytes, start=1)
    ]
    return RaftLog(0, 0, entries)


class TrailingEntriesTest(unittest.TestCase):
    """Guards against 1,000 trailing entries of megabytes, which fill a store's memory."""

    def test_small_entries_are_retained_by_number(self):
        self.assertEqual(log_of(*[10] * 50).index_before(40, 30, 1_000_000), 10)

    def test_large_entries_are_retained_by_bytes(self):
        log = log_of(*[3_300_000] * 20)
        self.assertEqual(log.index_before(20, 1_000, 16_000_000), 16)

    def test_an_entry_above_the_bytes_is_not_retained(self):
        self.assertEqual(log_of(10, 5_000).index_before(2, 10, 1_000), 2)

    def test_nothing_is_retained_before_what_was_compacted(self):
        log = log_of(*[10] * 20)
        log.compact(15)
        self.assertEqual(log.index_before(18, 10, 1_000), 15)


if __name__ == "__main__":
    unittest.main()
