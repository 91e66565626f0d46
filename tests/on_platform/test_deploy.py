"""The files in ``deploy/`` are consistent with the code."""

import re
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

from passlane.messages.fleet import FleetRole
from passlane.settings.fleet import load_fleet_settings
from passlane.settings.loader import SettingsError

RUNS_ALONE = "starts processes"

ROOT = Path(__file__).resolve().parents[2]
PIN = re.compile(r"^[A-Za-z0-9_]+==.*?(?=^\S|\Z)", re.MULTILINE | re.DOTALL)
IMPORT_WITH_ONLY = """
import sys
from importlib.metadata import packages_distributions

deployed = set(sys.argv[1:])
hidden = {
    package
    for package, distributions in packages_distributions().items()
    if not deployed.intersection(name.lower().replace("_", "-") for name in distributions)
}

class Hiding:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in hidden:
            raise ModuleNotFoundError(f"{name} is not deployed", name=name)

sys.meta_path.insert(0, Hiding())
import anyio._backends._asyncio
import passlane.daemon.fleet.process, passlane.daemon.fleet.node
import passlane.daemon.fleet.control, passlane.daemon.fleet.store
import passlane.runtime.http_client, uvicorn.protocols.http.httptools_impl
"""
FILLED_TEMPLATE = """
seeds = ["10.1.0.34:8144","10.2.0.37:8144"]

[process]
name = "front-a-1"
role = "{role}"
zone = "a"
data_folder = "{folder}"
is_first_start = true

[addresses]
internal = "10.1.0.30:7380"
{addresses}

[backend_list]
address = "10.200.0.100:8142"
rate_per_s = 44.0

[machine]
memory_mb = 260
descriptors = 4100

[fault_tolerance]
machines = 2

[turns]
are_placed_by_store = true

[timing]
grace_s = 8
"""
NODE_ADDRESSES = 'callers = "10.1.0.30:8149"\nreadiness = "10.1.0.30:8141"'


class DeployTest(unittest.TestCase):
    def test_pinned_packages_match_the_lock_file(self):
        lock = set(PIN.findall((ROOT / "requirements.lock").read_text()))
        deployed = set(PIN.findall((ROOT / "deploy/requirements.lock").read_text()))
        self.assertGreater(len(deployed), 5)
        self.assertEqual(deployed - lock, set())

    def test_processes_start_with_only_the_deployed_packages(self):
        deployed = {
            name.split("==")[0].lower().replace("_", "-")
            for name in PIN.findall((ROOT / "deploy/requirements.lock").read_text())
        }
        process = subprocess.run(
            [sys.executable, "-c", IMPORT_WITH_ONLY, "passlane", *deployed],
            capture_output=True,
            text=True,
        )
        self.assertEqual((process.returncode, process.stderr), (0, ""))

    def test_each_role_is_deployed_once(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.assertEqual(set(deploy["roles"]), {role.value for role in FleetRole})

    def test_the_template_contains_only_keys_of_the_settings(self):
        template = (ROOT / "deploy/settings.toml").read_text()
        keys = set(re.findall(r"^(?:\{\{#[a-z.]+\}\})?([a-z_]+) = ", template, re.MULTILINE))
        for key in keys - {"operators"}:
            self.assertIn(
                f"{key} = ", FILLED_TEMPLATE.format(role="", folder="", addresses=NODE_ADDRESSES)
            )


class FleetSettingsTest(unittest.TestCase):
    def load(self, role="node", folder="", addresses=NODE_ADDRESSES, extra=""):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "settings.toml"
            path.write_text(
                FILLED_TEMPLATE.format(role=role, folder=folder, addresses=addresses) + extra
            )
            return load_fleet_settings(path)

    def assert_problem(self, key, **changes):
        with self.assertRaises(SettingsError) as caught:
            self.load(**changes)
        self.assertEqual([problem.key for problem in caught.exception.problems], [key])

    def test_a_filled_template_is_read(self):
        settings = self.load()
        self.assertIs(settings.process.role, FleetRole.NODE)
        self.assertEqual(str(settings.seeds[0]), "10.1.0.34:8144")
        self.assertEqual(settings.fault_tolerance.voters, 5)
        self.assertEqual((settings.machine.memory_mb, settings.machine.descriptors), (260, 4100))
        self.assertFalse(settings.node_bounds.enabled)

    def test_errors_name_the_key(self):
        self.assert_problem("addresses.callers", addresses='readiness = "10.1.0.30:1"')
        self.assert_problem("process.data_folder", role="store")
        self.assert_problem("addresses.operators", role="control", folder="/data")
        self.assert_problem("process.role", role="broker")
        self.assert_problem("timing.unknown", extra="unknown = 1\n")

    def test_errors_name_invalid_bounds_of_a_node(self):
        for key, value in (
            ("caller_bytes", "10"),
            ("all_callers_bytes", "65_535"),
            ("longest_stall_s", "0.1"),
            ("late_loop_s", "0.3"),
            ("most_under_way", "-1"),
        ):
            with self.subTest(key):
                extra = f"\n[node_bounds]\n{key} = {value}\n"
                self.assert_problem(f"node_bounds.{key}", extra=extra)
