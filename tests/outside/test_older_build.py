"""What a build sends is understood by the one before it, and the other way round.

Machines are replaced one after the other, so both run side by side. ``older/`` holds the forms of
the build that runs before the next upgrade (``production`` in ``deploy/system.toml``).
"""

import json
import unittest
from pathlib import Path

import msgspec

from outside.record import FORMS
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.quotas import RecordedUsage, TenantUsage, UsageSnapshot
from passlane.turns.state.machine import ProgramSpending, SnapshotPart, StoredTurn, UsagePart

OLDER = Path(__file__).resolve().parent / "older"
REQUIRED = "required"


def differences(older, newer, place):
    """Return where an older and a newer form don't understand each other."""
    if isinstance(older, list) and isinstance(newer, list) and len(older) == len(newer):
        pairs = enumerate(zip(older, newer, strict=True))
        return [found for n, pair in pairs for found in differences(*pair, f"{place}/{n}")]
    if not isinstance(older, dict) or not isinstance(newer, dict):
        return [] if older == newer else [f"{place}: {older} became {newer}"]
    if "fields" not in older or "fields" not in newer:
        return _in_parts(older, newer, place)
    found = []
    if older["array"] != newer["array"] or older["tag"] != newer["tag"]:
        found.append(f"{place}: encoded otherwise")
    if older["strict"] and len(older["fields"]) != len(newer["fields"]):
        found.append(f"{place}: the older build refuses fields that it doesn't know")
    now = {name: (kind, default) for name, kind, default in newer["fields"]}
    before = {name for name, _, _ in older["fields"]}
    for name, kind, default in older["fields"]:
        if name not in now:
            found.append(f"{place}.{name}: is gone")
            continue
        found += differences(kind, now[name][0], f"{place}.{name}")
        if (default == REQUIRED) != (now[name][1] == REQUIRED):
            found.append(f"{place}.{name}: may be left out by one build only")
    added = set(now) - before
    found += [f"{place}.{name}: has no default" for name in added if now[name][1] == REQUIRED]
    if older["array"] and added:
        found.append(f"{place}: fields are known by their place")
    return found


def _in_parts(older, newer, place):
    if older.keys() != newer.keys():
        return [f"{place}: {older} became {newer}"]
    return [found for key in older for found in differences(older[key], newer[key], place)]


class MessageFormTest(unittest.TestCase):
    def setUp(self):
        self.older = json.loads((OLDER / "messages.json").read_text())
        self.newer = json.loads(json.dumps(FORMS["messages"]()))

    def test_each_message_of_the_older_build_is_understood_both_ways(self):
        for tag, forms in self.older.items():
            with self.subTest(tag):
                self.assertIn(tag, self.newer)
                self.assertEqual(len(forms), len(self.newer[tag]))
                for older, newer in zip(forms, self.newer[tag], strict=True):
                    self.assertEqual(differences(older, newer, tag), [])

    def test_no_message_is_sent_that_the_older_build_has_no_name_for(self):
        self.assertLessEqual(set(self.newer), set(self.older))

    def test_a_field_without_a_default_would_be_noticed(self):
        changed = json.loads(json.dumps(self.newer))
        changed["SettleTurn"][0]["fields"].append(["added", "IntType", REQUIRED])
        found = differences(self.older["SettleTurn"][0], changed["SettleTurn"][0], "SettleTurn")
        self.assertEqual(found, ["SettleTurn.added: has no default"])


class OlderRecord(msgspec.Struct, frozen=True):
    """``BackendRecord`` of the older build."""

    instance_id: str
    service: str
    address: Address
    zone: str
    slots: int
    state: BackendState


class OlderUsage(msgspec.Struct, frozen=True):
    """``TenantUsage`` of the older build."""

    tenant: str
    granted: int
    last_in_s: float = 0.0


class OlderSnapshotPart(msgspec.Struct, frozen=True):
    """``SnapshotPart`` of the older build."""

    age_s: float
    programs: dict[str, ProgramSpending] = {}
    turns: tuple[StoredTurn, ...] = ()


def passed(value, kind):
    """Return a value as the other build decodes it."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(value), type=kind)


class ChangedFormTest(unittest.TestCase):
    """The forms that have changed, as bytes."""

    FACTS = ("e1", "llm", Address("10.0.0.1", 80), "a", 4, BackendState.READY)

    def test_a_back_end_with_a_start_is_the_same_to_the_older_build_but_for_it(self):
        newer = BackendRecord(*self.FACTS, born_ms=1_000)
        self.assertEqual(passed(newer, OlderRecord), OlderRecord(*self.FACTS))
        self.assertEqual(
            passed(OlderRecord(*self.FACTS), BackendRecord), BackendRecord(*self.FACTS)
        )

    def test_a_back_end_without_a_start_has_the_same_bytes(self):
        older, newer = OlderRecord(*self.FACTS), BackendRecord(*self.FACTS)
        self.assertEqual(msgspec.msgpack.encode(older), msgspec.msgpack.encode(newer))

    def test_a_move_is_passed_over_by_the_older_build(self):
        newer = TenantUsage("corner", 3, 0.5, moved=2)
        self.assertEqual(passed(newer, OlderUsage), OlderUsage("corner", 3, 0.5))
        self.assertEqual(passed(OlderUsage("corner", 3), TenantUsage), TenantUsage("corner", 3))

    def test_grants_in_a_snapshot_are_a_part_without_records_to_the_older_build(self):
        noted = (RecordedUsage(TenantUsage("corner", 3), 1.0),)
        part = UsagePart(5.0, UsageSnapshot(noted, 1.0, 0.0))
        self.assertEqual(passed(part, OlderSnapshotPart), OlderSnapshotPart(5.0))
        self.assertIsNone(passed(OlderSnapshotPart(5.0), SnapshotPart).usage)


if __name__ == "__main__":
    unittest.main()
