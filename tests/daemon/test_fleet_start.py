"""What a process does before it imports its code."""

import tempfile
import unittest
from pathlib import Path

from passlane.daemon.fleet_start import early_addresses

SETTINGS = """
[addresses]
internal = "10.1.0.30:7380"
callers = "10.1.0.30:8149"
readiness = "10.1.0.30:8141"
metrics = "10.1.0.30:9464"
"""


class EarlyAddressesTest(unittest.TestCase):
    def addresses_in(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(text)
            return list(early_addresses(path))

    def test_those_that_others_connect_to_from_outside(self):
        self.assertEqual(self.addresses_in(SETTINGS), ["10.1.0.30:8149", "10.1.0.30:8141"])

    def test_settings_that_cannot_be_read_name_none(self):
        for text in ("[addresses", "addresses = 3", "addresses = [1]", "[addresses]\ncallers = 7"):
            with self.subTest(text=text):
                self.assertEqual(self.addresses_in(text), [])

    def test_a_missing_file_names_none(self):
        self.assertEqual(list(early_addresses(Path("/nowhere/settings.toml"))), [])
