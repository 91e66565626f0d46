"""Entries of the list that are taken for good, or that cost others, though they are invalid."""

import json
import unittest

import anyio

from passlane.platform.list_format import ListPage, decode_page


def entry(instance_id: str, **fields: object) -> bytes:
    content = {
        "id": instance_id,
        "service": "desk",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
    }
    return json.dumps({**content, **fields}).encode()


def decode(*entries: bytes) -> ListPage:
    return anyio.run(decode_page, b'{"instances":[' + b",".join(entries) + b'],"next_token":null}')


class EntriesThatCostOthersTest(unittest.TestCase):
    def test_an_id_that_no_header_carries_because_of_spaces_at_its_ends_is_skipped(self) -> None:
        for name in (" engine", "engine "):
            with self.subTest(name=name):
                self.assertEqual(decode(entry(name)).records, ())

    def test_a_control_character_beside_text_that_looks_like_entries_costs_one_entry(self) -> None:
        for note in (b'{\\"a\\":1},{\\"a\\":2}\n', b"[1],[2]\x00"):
            with self.subTest(note=note):
                page = decode(entry("odd", note="@").replace(b"@", note), entry("good"))
                self.assertEqual([record.instance_id for record in page.records], ["good"])

    def test_escapes_in_names_of_members_cost_no_page(self) -> None:
        for text in (rb'{"a\"b":1,"instances":[@]}', rb'{"inst\u0061nces":[@]}'):
            with self.subTest(text=text):
                page = anyio.run(decode_page, text.replace(b"@", entry("good")))
                self.assertEqual([record.instance_id for record in page.records], ["good"])


if __name__ == "__main__":
    unittest.main()
