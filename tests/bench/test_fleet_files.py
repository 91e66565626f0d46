"""A copy of an example has free ports, and all its files agree on them."""

import tempfile
import tomllib
import unittest
from collections import Counter
from pathlib import Path

from passlane.bench.fleet_files import ProcessKind, copy_example
from passlane.emulator.example_files import CONFIGURATION_FILE

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


class CopyExampleTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="passlane-copy-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_each_process_of_the_example_is_found_with_its_kind(self) -> None:
        processes = copy_example(EXAMPLES / "small", self.folder)
        kinds = Counter(process.kind for process in processes)
        expected = {
            ProcessKind.DAEMON: 6,
            ProcessKind.ENGINE: 2,
            ProcessKind.APPLICATION: 3,
            ProcessKind.PLATFORM: 1,
        }
        self.assertEqual(kinds, expected)
        self.assertEqual(sum(process.callers is not None for process in processes), 3)

    def test_files_agree_on_the_new_addresses(self) -> None:
        processes = {p.name: p for p in copy_example(EXAMPLES / "small", self.folder)}
        stores = [
            self.read(f"store-{number}.toml")["addresses"]["internal"] for number in (1, 2, 3)
        ]
        self.assertEqual(self.read("node-1.toml")["store_addresses"], stores)
        engine = next(
            document
            for document in self.read(CONFIGURATION_FILE)["document"]
            if document["name"] == "engine-1"
        )
        self.assertEqual(engine["address"], str(processes["engine-1"].health))

    def read(self, name: str) -> dict:
        return tomllib.loads((self.folder / name).read_text())


if __name__ == "__main__":
    unittest.main()
