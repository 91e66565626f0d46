"""Which modules run, in how many parts, and which of them run alone."""

import re
import tempfile
import unittest
from pathlib import Path

from runner.child import load_unit, tests_in
from runner.selection import PART_BYTES, is_marked, select_units

TESTS = Path(__file__).resolve().parents[1]
NEEDS_THE_MARKER = re.compile(
    r"^(?:import|from) (?:subprocess|socket|tracemalloc|threading|multiprocessing|resource)\b"
    r"|\b(?:process_time|perf_counter|run_process|open_process|run_soak)\b"
    r"|\b(?:create_tcp_listener|TcpNetwork|UvicornHttpServer)\b",
    re.MULTILINE,
)
"""What starts processes or threads, listens on real sockets, or measures the process itself."""


def names_of(selected, tests=TESTS):
    return [unit.name for unit in select_units(tests, selected)]


class SelectionTest(unittest.TestCase):
    def test_a_folder_names_its_modules(self):
        names = names_of("decisions/limits")
        self.assertIn("decisions.limits.test_sliding_window", names)
        self.assertTrue(all(name.startswith("decisions.limits.test_") for name in names))

    def test_a_pattern_names_files_of_all_folders(self):
        modules = {unit.module for unit in select_units(TESTS, "test_*_client.py")}
        clients = {"backends.test_application_client", "backends.test_engine_client"}
        self.assertEqual(modules, clients)

    def test_what_nothing_fits_names_none(self):
        self.assertEqual(names_of("test_of_nothing.py"), [])

    def test_the_largest_come_first(self):
        sizes = [unit.source_bytes for unit in select_units(TESTS, "test_*.py")]
        self.assertEqual(sizes, sorted(sizes, reverse=True))

    def test_a_large_module_is_run_in_parts_unless_it_runs_alone(self):
        large = "#" * (2 * PART_BYTES + 1)
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "test_shared.py").write_text(large)
            Path(folder, "test_alone.py").write_text(f'RUNS_ALONE = "it listens"\n{large}')
            parts = {unit.name: unit.runs_alone for unit in select_units(Path(folder), "test_*.py")}
        shared = {f"test_shared (part {part} of 3)": False for part in (1, 2, 3)}
        self.assertEqual(parts, shared | {"test_alone": True})


class MarkerTest(unittest.TestCase):
    def test_the_marker_is_an_assignment_of_the_module(self):
        self.assertTrue(is_marked('RUNS_ALONE = "it listens"\n'))
        self.assertFalse(is_marked('"""RUNS_ALONE"""\ndef f():\n    RUNS_ALONE = 1\n'))

    def test_each_module_that_needs_the_marker_has_it(self):
        unmarked = [
            str(path.relative_to(TESTS))
            for path in set(TESTS.rglob("test_*.py")) - {Path(__file__).resolve()}
            if NEEDS_THE_MARKER.search(path.read_text()) and not is_marked(path.read_text())
        ]
        self.assertEqual(unmarked, [])


class CompletenessTest(unittest.TestCase):
    def test_the_units_hold_each_test_that_discovery_finds_once(self):
        found = unittest.TestLoader().discover(str(TESTS), top_level_dir=str(TESTS))
        expected = sorted(test.id() for test in tests_in(found))
        units = select_units(TESTS, "test_*.py")
        taken = sorted(test.id() for unit in units for test in tests_in(load_unit(unit)))
        self.assertEqual(taken, expected)
