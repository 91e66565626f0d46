"""A report is the indented JSON of its result, and is only written to a folder."""

import tempfile
import unittest
from pathlib import Path

from passlane.bench.report_files import write_report
from passlane.messages.common import Address


class WriteReportTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="passlane-report-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_file_holds_the_result_indented_by_one(self) -> None:
        write_report(self.folder, "some.json", [Address("a", 1)])
        expected = b'[\n {\n  "host": "a",\n  "port": 1\n }\n]'
        self.assertEqual(expected, (self.folder / "some.json").read_bytes())

    def test_earlier_report_is_replaced(self) -> None:
        write_report(self.folder, "some.json", [1, 2, 3])
        write_report(self.folder, "some.json", [4])
        self.assertEqual(b"[\n 4\n]", (self.folder / "some.json").read_bytes())

    def test_nothing_is_written_without_a_folder(self) -> None:
        write_report(None, "some.json", [4])
        self.assertEqual([], list(self.folder.iterdir()))


if __name__ == "__main__":
    unittest.main()
