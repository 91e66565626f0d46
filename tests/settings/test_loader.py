"""Settings files: valid ones are read; for invalid ones the error names the file and the key."""

import copy
import unittest
from pathlib import Path
from typing import Any

import msgspec
from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings

from passlane.errors import ErrorCode
from passlane.messages.common import Address
from passlane.settings.loader import SettingsError, load_settings, parse_settings

PATH = Path("fleet/store-1.toml")

VALID: dict[str, Any] = {
    "process": {
        "name": "store-1",
        "roles": ["store", "control", "node"],
        "region": "mx",
        "zone": "a",
        "data_folder": "data",
    },
    "addresses": {
        "internal": "127.0.0.1:7001",
        "operators": "127.0.0.1:7002",
        "callers": "127.0.0.1:7003",
    },
    "store_addresses": ["127.0.0.1:7001"],
    "control_addresses": ["127.0.0.1:7001"],
    "store_group": {"members": [{"name": "store-1", "internal": "127.0.0.1:7001"}]},
    "control_group": {"members": [{"name": "store-1", "internal": "127.0.0.1:7001"}]},
    "security": {
        "callers": [{"token": "caller-secret", "tenant": "shops"}],
        "operators": [{"token": "operator-secret"}],
    },
    "node": {"platform_list": "127.0.0.1:9000"},
}

INVALID_VALUES: list[tuple[str, Any, str]] = [
    ("process.name", "", "process.name"),
    ("process.zone", "zone one", "process.zone"),
    ("process.roles", ["store", "boss"], "process.roles[1]"),
    ("process.roles", [], "process.roles"),
    ("process.colour", "red", "process.colour"),
    ("unknown_section", {}, "unknown_section"),
    ("addresses.internal", "127.0.0.1", "addresses.internal"),
    ("addresses.internal", 7001, "addresses.internal"),
    ("addresses.operators", "localhost:7002", "addresses.operators"),
    ("addresses.operators", "127.0.0.1:70000", "addresses.operators"),
    ("store_addresses", ["127.0.0.1:7001", "x"], "store_addresses[1]"),
    ("store_addresses", [], "store_addresses"),
    ("control_addresses", [], "control_addresses"),
    ("store_group.members", [], "store_group.members"),
    ("store_group.members", [{"name": "store-1", "internal": "127.0.0.1:9"}], "store_group"),
    ("store_group.election_timeout_s", 0.06, "store_group.election_timeout_s"),
    ("membership.lease_s", 0.5, "membership.lease_s"),
    ("membership.partitions", 0, "membership.partitions"),
    ("membership.heartbeat_s", float("inf"), "membership.heartbeat_s"),
    ("node.max_body_bytes", "many", "node.max_body_bytes"),
    ("node.platform_list", "nowhere", "node.platform_list"),
    ("security.callers", [{"token": "hunter2hunter2"}], "security.callers[0].tenant"),
    ("security.operators", [{"token": "hunter2"}], "security.operators[0].token"),
]


def changed(key: str, value: Any) -> dict[str, Any]:
    """Return the valid settings with one value replaced."""
    data = copy.deepcopy(VALID)
    section = data
    *parents, name = key.split(".")
    for parent in parents:
        section = section.setdefault(parent, {})
    section[name] = value
    return data


class LoaderTest(unittest.TestCase):
    def test_valid_settings_are_read(self) -> None:
        settings = parse_settings(PATH, copy.deepcopy(VALID))
        self.assertEqual(settings.addresses.internal, Address("127.0.0.1", 7001))
        self.assertEqual(settings.node.platform_list, Address("127.0.0.1", 9000))
        self.assertEqual(settings.store_group.members[0].internal.port, 7001)

    def test_errors_name_the_code_the_file_and_the_key_but_no_token(self) -> None:
        for key, value, expected_key in INVALID_VALUES:
            with self.subTest(key=key, value=value):
                with self.assertRaises(SettingsError) as caught:
                    parse_settings(PATH, changed(key, value))
                text = str(caught.exception)
                self.assertEqual(caught.exception.code, ErrorCode.INVALID_SETTINGS)
                self.assertIn("invalid_settings", text)
                self.assertIn(str(PATH), text)
                self.assertIn(expected_key, text)
                self.assertNotIn("hunter2", text)

    def test_a_missing_file_is_named_and_invalid_toml_is_refused(self) -> None:
        with self.assertRaises(SettingsError) as caught:
            load_settings(Path("/nowhere/at-all.toml"))
        self.assertIn("/nowhere/at-all.toml", str(caught.exception))
        with self.assertRaises(SettingsError):
            load_settings(Path(__file__))

    @hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @given(
        strategies.sampled_from(sorted(VALID)),
        strategies.recursive(
            strategies.none() | strategies.integers() | strategies.text(max_size=5),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
            ),
            max_leaves=5,
        ),
    )
    def test_any_section_is_read_or_refused_with_a_code(self, key: str, value: Any) -> None:
        try:
            settings = parse_settings(PATH, {**copy.deepcopy(VALID), key: value})
        except SettingsError as error:
            self.assertTrue(error.problems)
        else:
            self.assertTrue(msgspec.json.encode(settings))


if __name__ == "__main__":
    unittest.main()
