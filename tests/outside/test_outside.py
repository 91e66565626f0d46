"""The forms that others read are those that were recorded; ``record.py`` tells how to write them.

A message, stored record, settings key, log event, metric, path, status or command that changes
breaks a reader that is not in this repository.
"""

import importlib.util
import subprocess
import sys
import unittest
from typing import Any

from outside.command_forms import deployed_programs, module_of
from outside.product_source import SOURCE
from outside.record import present_form, recorded_form
from outside.struct_forms import untagged_forms

RUNS_ALONE = "starts processes"
LONGEST_RUN_S = 60.0


class MappedFormTest(unittest.TestCase):
    """Forms with a name each."""

    def test_messages_and_commands(self) -> None:
        self._assert_unchanged("messages")

    def test_settings_files(self) -> None:
        self._assert_unchanged("settings")

    def test_log_events(self) -> None:
        self._assert_unchanged("log_events")

    def test_programs_and_their_commands(self) -> None:
        self._assert_unchanged("commands")

    def _assert_unchanged(self, name: str) -> None:
        recorded, present = recorded_form(name), present_form(name)
        self.assertEqual(sorted(recorded), sorted(present), f"names of {name}")
        for key, form in recorded.items():
            self.assertEqual(form, present[key], f"{name}: {key}")


class ListedFormTest(unittest.TestCase):
    """Forms without a name, compared as lists."""

    maxDiff = None

    def test_messages_that_are_received(self) -> None:
        """A message is found by the package of its module, so one that is moved may be lost."""
        self._assert_unchanged("received_tags")

    def test_metrics(self) -> None:
        self._assert_unchanged("metrics")

    def test_metrics_that_a_node_shows(self) -> None:
        self._assert_unchanged("node_metrics")

    def test_routes(self) -> None:
        self._assert_unchanged("routes")

    def test_paths(self) -> None:
        self._assert_unchanged("paths")

    def test_headers_and_variables(self) -> None:
        self._assert_unchanged("header_names")

    def test_programs_of_the_deployment(self) -> None:
        self._assert_unchanged("deployed_programs")
        for command in deployed_programs():
            self.assertIsNotNone(importlib.util.find_spec(module_of(command)), command)

    def test_statuses_and_exit_codes_by_error_code(self) -> None:
        self._assert_unchanged("tables_by_code")

    def test_values_of_enumerations(self) -> None:
        self._assert_all_present(recorded_form("enums"), present_form("enums"))

    def test_records_without_a_tag(self) -> None:
        """Structs of internal use may come and go; none that is recorded may."""
        self._assert_all_present(recorded_form("untagged"), untagged_forms())

    def _assert_unchanged(self, name: str) -> None:
        self.assertEqual(recorded_form(name), present_form(name))

    def _assert_all_present(self, recorded: list[Any], present: list[Any]) -> None:
        gone = [form for form in recorded if form not in present]
        self.assertEqual([], gone, "no class has this form any more")


class ExitCodeTest(unittest.TestCase):
    """Exit codes of programs that are started wrongly; docs/operations lists them."""

    def test_client_without_a_known_command(self) -> None:
        self.assertEqual(2, exit_code_of("passlane.cli.main", "no-such-command"))

    def test_daemon_without_settings(self) -> None:
        self.assertEqual(2, exit_code_of("passlane.daemon.main"))

    def test_process_of_a_fleet_without_settings(self) -> None:
        self.assertEqual(2, exit_code_of("passlane.daemon.fleet_start"))


def exit_code_of(module: str, *words: str) -> int:
    """Run a program of the source beside the tests and return its exit code."""
    command = [sys.executable, "-m", module, *words]
    variables = {"PYTHONPATH": str(SOURCE.parent)}
    ended = subprocess.run(command, env=variables, capture_output=True, timeout=LONGEST_RUN_S)
    return ended.returncode


if __name__ == "__main__":
    unittest.main()
