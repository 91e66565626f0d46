"""Settings files of a fleet with values that a process can't hold."""

import tempfile
import unittest
from pathlib import Path

from passlane.settings.fleet import load_fleet_settings
from passlane.settings.loader import SettingsError

VALID = """
seeds = ["127.0.0.1:7002"]
[process]
name = "store-1"
role = "store"
zone = "a"
data_folder = "data"
[addresses]
internal = "127.0.0.1:7001"
[backend_list]
address = "127.0.0.1:9000"
rate_per_s = 40.0
[timing]
grace_s = 8.0
[quotas]
window_s = 5.0
[machine]
memory_mb = 260
descriptors = 4100
[fault_tolerance]
machines = 1
"""

NUMBERS = ("rate_per_s", "grace_s", "window_s", "memory_mb", "descriptors", "machines")


class FleetSettingsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "settings.toml")

    def assert_invalid(self, content):
        self.path.write_bytes(content)
        with self.assertRaises(SettingsError) as caught:
            load_fleet_settings(self.path)
        self.assertLess(len(str(caught.exception)), 1_000)

    def test_a_valid_file_is_read(self):
        self.path.write_text(VALID)
        settings = load_fleet_settings(self.path)
        self.assertEqual((settings.machine.memory_bytes, settings.timing.grace_s), (260_000_000, 8))

    def test_numbers_that_no_process_holds(self):
        for name in NUMBERS:
            for text in ("nan", "inf", "-inf", "1e999", str(2**70), "9" * 400, "9" * 5_000):
                lines = [
                    f"{name} = {text}" if line.startswith(f"{name} ") else line
                    for line in VALID.splitlines()
                ]
                with self.subTest(name=name, text=text[:24]):
                    self.assert_invalid("\n".join(lines).encode())

    def test_what_no_parser_follows(self):
        for value in ("[" * 3_000 + "]" * 3_000, "[" * 100_000, "9" * 5_000):
            with self.subTest(value[:24]):
                self.assert_invalid(f"unread = {value}\n{VALID}".encode())
        self.assert_invalid(b"\xff\xfe" + VALID.encode())


if __name__ == "__main__":
    unittest.main()
