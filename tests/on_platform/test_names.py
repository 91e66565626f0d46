"""Wire names of the platform occur only in the package ``platform``."""

import re
import unittest
from pathlib import Path

import passlane

SOURCE = Path(passlane.__file__).parent
PLATFORM_NAMES = re.compile(
    r"x-passlane-|/api/(config|retire|readyz|report|kv-|hold)|page_token|cold_left_ms"
    r"|traffic_split|timeout_ms|PASSLANE_BOOT|path_prefix\"|/instances",
    re.IGNORECASE,
)


class NamesTest(unittest.TestCase):
    def test_no_other_package_contains_them(self):
        found = [
            f"{path.relative_to(SOURCE)}: {match[0]}"
            for path in SOURCE.rglob("*.py")
            if path.relative_to(SOURCE).parts[0] != "platform"
            for match in PLATFORM_NAMES.finditer(path.read_text())
        ]
        self.assertEqual(found, [])

    def test_the_pattern_matches_names_in_the_folder(self):
        texts = [path.read_text() for path in (SOURCE / "platform").glob("*.py")]
        self.assertGreater(sum(len(PLATFORM_NAMES.findall(text)) for text in texts), 10)
