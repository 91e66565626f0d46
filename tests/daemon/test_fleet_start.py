"""What a process does before it imports its code."""

import subprocess
import sys
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


class ImportsTest(unittest.TestCase):
    def test_a_node_starts_without_what_it_does_not_need_to_serve(self):
        program = (
            "import sys\n"
            "import passlane.daemon.fleet_start, passlane.daemon.fleet_main\n"
            "import passlane.daemon.fleet_node, passlane.runtime.http_server\n"
            "import passlane.runtime.http_client\n"
            "from passlane.observability.metrics import Metrics\n"
            "from passlane.relay.request_metrics import RequestMetrics\n"
            "RequestMetrics(Metrics()).note_end('stream', 200, 0.1)\n"
            "unwanted = {'prometheus_client', 'click', 'cleo', 'uvicorn.main', 'starlark'}\n"
            "print(sorted(unwanted & set(sys.modules)))\n"
        )
        process = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        self.assertEqual(process.stdout.strip(), "[]")
