"""Entries of another writer in a soak's list."""

import unittest

import anyio

from passlane.messages.common import Address
from passlane.platform.list_format import decode_page
from passlane.soak.bad_entries import (
    DEPTHS,
    DIGITS,
    MALFORMED,
    bad_entries,
    undecodable_entries,
)

ADDRESS = Address("127.0.0.1", 8080)


class BadEntriesTest(unittest.TestCase):
    """Guards against a soak whose list holds only entries that every decoder follows."""

    def entries(self):
        return [
            *bad_entries(ADDRESS, "models", "a"),
            *undecodable_entries(ADDRESS, "models", "a"),
        ]

    def test_each_entry_is_skipped_alone(self):
        entries = self.entries()
        page = anyio.run(decode_page, b'{"instances":[' + b",".join(entries) + b"]}")
        self.assertEqual((page.records, len(page.unreadable)), ((), len(entries)))

    def test_values_that_no_decoder_follows_are_among_them(self):
        odd = [b"9" * digits for digits in DIGITS] + [b"[" * depth for depth in DEPTHS]
        for value in (*odd, *MALFORMED):
            self.assertTrue(any(value in entry for entry in self.entries()), value[:20])


if __name__ == "__main__":
    unittest.main()
