"""Invalid entries in the platform's list of backends.

Guards against an invalid entry that hides the valid ones, or that is used as a backend.
"""

import copy
import json
import unittest
from contextlib import asynccontextmanager, suppress

import anyio
from hypothesis import given
from hypothesis import strategies as st

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.base import encode_message
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState, ReportBackends
from passlane.messages.registry import decode_any_message
from passlane.observability.metrics import Metrics
from passlane.platform.instance_list import InstanceList
from passlane.platform.list_format import (
    MAX_ENTRIES,
    MAX_NAME_CHARACTERS,
    MAX_SLOTS,
    encode_page,
)

ENTRY = {
    "service": "models",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold_left_ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "id": "i-1",
}
OTHER = ENTRY | {"id": "i-2", "address": "10.128.0.10:8080", "born": 1_700_000_000_000}
PLAIN = {name: ENTRY[name] for name in ENTRY if name not in ("stage", "models")} | {
    "id": "i-3", "address": "10.128.0.11:8080", "service": "tools", "state": "draining",
}  # fmt: skip
VALID_ENTRIES = [OTHER, PLAIN]
USED_FIELDS = ("id", "service", "address", "zone", "version", "slots", "state", "cold_left_ms")
INVALID_VALUES = (None, True, 1.5, "7", "", -1, [], {}, ["ready"], {"a": 1})


class FakePagedClient:
    """HTTP client whose responses are the given pages, in order."""

    def __init__(self, *pages):
        self.pages = pages
        self.requested_paths = []

    @asynccontextmanager
    async def exchange(self, request):
        self.requested_paths.append(request.path)
        yield Page(self.pages[len(self.requested_paths) - 1])


class Page:
    status = 200
    headers = {}  # noqa: RUF012

    def __init__(self, body):
        self.body = body

    async def chunks(self):
        yield self.body


def page(*entries, next_token=None):
    return json.dumps({"instances": list(entries), "next_token": next_token}).encode()


def read(*pages, metrics=None):
    given = () if metrics is None else (metrics,)
    return anyio.run(InstanceList(FakePagedClient(*pages), Address("10.0.0.1", 80), *given).read)


def ids(records):
    return [record.instance_id for record in records]


class InvalidEntryTest(unittest.TestCase):
    def assert_skipped(self, invalid, text=None):
        raw = json.dumps(invalid) if text is None else text
        valid = json.dumps(VALID_ENTRIES[0]), json.dumps(VALID_ENTRIES[1])
        for order in ((raw, *valid), (valid[0], raw, valid[1]), (*valid, raw)):
            joined = ",".join(order)
            body = f'{{"instances":[{joined}],"next_token":null}}'
            encoded = body.encode("utf-8", "surrogateescape")
            self.assertEqual(ids(read(encoded)), ["i-2", "i-3"], raw)

    def test_a_missing_field(self):
        for name in USED_FIELDS:
            invalid = copy.deepcopy(ENTRY)
            del invalid[name]
            with self.subTest(name):
                self.assert_skipped(invalid)

    def test_a_field_of_another_type(self):
        for name in USED_FIELDS:
            for value in INVALID_VALUES:
                if name in ("service", "zone", "version") and value in ("7",):
                    continue  # Any text is a valid name.
                if name == "id" and value == "7":
                    continue
                if name == "cold_left_ms" and value == 1.5:
                    continue  # Any number is valid.
                with self.subTest(name, value=value):
                    self.assert_skipped(ENTRY | {name: value})

    def test_a_start_time_that_is_not_an_integer(self):
        for value in (None, True, 1.5, "7", -1, [], {}):
            with self.subTest(value=value):
                self.assert_skipped(ENTRY | {"born": value})

    def test_an_unknown_state(self):
        for state in ("gone", "READY", "ready ", "starting"):
            self.assert_skipped(ENTRY | {"state": state})

    def test_an_invalid_address(self):
        for address in ("", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:0", "10.0.0.1:99999",
                        "10.0.0.1:٣", "host:80", "10.0.0.256:80", "10.0.0.1:80:80"):  # fmt: skip
            with self.subTest(address):
                self.assert_skipped(ENTRY | {"address": address})

    def test_an_entry_that_is_not_an_object_with_the_fields(self):
        for entry in (None, True, 3, "i-9", [], {}, [ENTRY]):
            self.assert_skipped(entry)

    def test_invalid_text(self):
        for broken in ("\udcff\udcfe", "\\ud800", "\x01", "\udc80"):
            for name in ("service", "zone", "id"):
                entry = json.dumps(ENTRY | {name: "@@"}).replace("@@", broken)
                with self.subTest(name, broken=broken):
                    self.assert_skipped(None, entry)

    def test_an_entry_that_is_malformed_or_nested_too_deep(self):
        values = ['{"a" 1}', "{,,}", "[1 2]", '{"a":[}]', "tru", '{"a":1,}', "NaN", "9" * 5_000]
        for opening, closing in (("[", "]"), ('{"a":', "}"), ("[1,", ",2]")):
            values += [opening * depth + "1" + closing * depth for depth in (3_000, 100_000)]
        for value in values:
            for name in ("slots", "id", "state", "models"):
                with self.subTest(name, value=value[:20], length=len(value)):
                    text = json.dumps(ENTRY | {name: "@@"}).replace('"@@"', value)
                    self.assert_skipped(None, text)

    def test_a_value_that_nothing_reads_hides_no_entry(self):
        for value in ("[" * 3_000 + "]" * 3_000, "[" * 100_000 + "]" * 100_000, "9" * 5_000,
                      '{"a" 1}', "1e999", '"\\ud800"', '"\udcff"',
                      '"' + "x" * 300_000 + '"'):  # fmt: skip
            with self.subTest(value[:20], length=len(value)):
                entry = json.dumps(ENTRY | {"note": "@@"}).replace('"@@"', value)
                body = f'{{"instances":[{json.dumps(OTHER)},{entry}],"next_token":null}}'
                self.assertIn("i-2", ids(read(body.encode("utf-8", "surrogateescape"))))

    def test_valid_entries_are_read(self):
        records = read(page(ENTRY, *VALID_ENTRIES))
        expected = BackendRecord(
            "i-2", "models", Address("10.128.0.10", 8080), "a", 12, BackendState.READY
        )
        self.assertEqual(records[1].address, expected.address)
        self.assertEqual(records[1].state, BackendState.READY)
        self.assertEqual(records[2].state, BackendState.DRAINING)
        self.assertEqual(ids(records), ["i-1", "i-2", "i-3"])

    def test_each_record_has_the_version_of_its_software(self):
        records = read(page(ENTRY, OTHER | {"version": "v1.2"}))
        self.assertEqual([record.software_version for record in records], ["v1", "v1.2"])

    def test_unknown_fields_are_ignored(self):
        self.assertEqual(ids(read(page(ENTRY | {"rack": {"a": [1]}}))), ["i-1"])

    def test_invalid_entries_are_counted(self):
        metrics = Metrics()
        read(page({}, ENTRY, {"id": 3}, next_token="t"), page(None), metrics=metrics)
        exposed = metrics.expose().decode()
        self.assertIn("passlane_unreadable_backend_entries_total 3.0", exposed)


class BoundsTest(unittest.TestCase):
    """What is read of an entry can be sent, stored and counted by every process."""

    def read_with(self, field, text):
        """Return what is read of an entry with a value written as it is, before a valid one."""
        entry = json.dumps(ENTRY | {field: "@@"}).replace('"@@"', text)
        body = f'{{"instances":[{entry},{json.dumps(OTHER)}],"next_token":null}}'
        return read(body.encode())

    def test_a_number_beyond_the_bounds(self):
        for field in ("slots", "born", "cold_left_ms"):
            for number in (2**53, 2**63, 2**64, 10**20, 10**309, -(2**63) - 1):
                with self.subTest(field, number=number):
                    self.assertEqual(ids(self.read_with(field, str(number))), ["i-2"])
            for text in ("9" * 5_000, "1e999", "-1e999", "1e400"):
                with self.subTest(field, text=text[:9]):
                    self.assertEqual(ids(self.read_with(field, text)), ["i-2"])

    def test_slots_whose_sum_could_not_be_sent(self):
        self.assertEqual(ids(self.read_with("slots", str(MAX_SLOTS + 1))), ["i-2"])

    def test_a_name_beyond_its_bound(self):
        for field in ("id", "service", "zone", "version"):
            for length in (MAX_NAME_CHARACTERS + 1, 300_000):
                with self.subTest(field, length=length):
                    text = json.dumps("x" * length)
                    self.assertEqual(ids(self.read_with(field, text)), ["i-2"])

    def test_an_id_that_a_header_cannot_carry(self):
        self.assertEqual(ids(self.read_with("id", '"\u043c"')), ["i-2"])

    def test_the_largest_values_are_read_and_can_be_sent(self):
        name = json.dumps("x" * MAX_NAME_CHARACTERS)
        largest = {
            "slots": str(MAX_SLOTS), "born": str(2**53 - 1), "cold_left_ms": str(2**53 - 1),
            "id": name, "service": name, "zone": name, "version": name,
        }  # fmt: skip
        for field, text in largest.items():
            with self.subTest(field):
                records = self.read_with(field, text)
                self.assertEqual(len(records), 2)
                encoded = encode_message(ReportBackends(name="n", number=1, records=records))
                self.assertEqual(decode_any_message(encoded).records, records)


class InvalidPageTest(unittest.TestCase):
    def test_an_invalid_page_is_an_error_and_not_an_empty_list(self):
        for body in (b"", b"{", b"[]", b"null", b'{"instances":{}}', b'{"next_token":null}',
                     b"\xff\xfe", b"[" * 100_000, b'{"instances":[],"next_token":3}'):  # fmt: skip
            with self.subTest(body[:30]), self.assertRaises(PasslaneError):
                read(body)

    def test_an_invalid_token_is_a_protocol_error(self):
        for token in ("7", "{}", "true", "9" * 5_000, "1e999", "[" * 3_000 + "]" * 3_000,
                      "[" * 100_000 + "]" * 100_000, '"\\ud800"', '"\udcff"', "nul",
                      '"' + "x" * 300_000 + '"'):  # fmt: skip
            body = f'{{"instances":[{json.dumps(ENTRY)}],"next_token":{token}}}'
            with self.subTest(token[:20], length=len(token)):
                with self.assertRaises(PasslaneError) as raised:
                    read(body.encode("utf-8", "surrogateescape"), page())
                self.assertIs(raised.exception.code, ErrorCode.PROTOCOL_ERROR)
                self.assertLess(len(str(raised.exception)), 200)

    def test_entries_hidden_by_quotes_of_others_are_an_error_and_not_missing(self):
        broken = '{"id":"i-9}'
        body = f'{{"instances":[{broken},{json.dumps(ENTRY)},{broken}],"next_token":null}}'
        with self.assertRaises(PasslaneError):
            read(body.encode())

    def test_more_entries_than_any_report_can_carry_are_an_error(self):
        with self.assertRaises(PasslaneError):
            read(b'{"instances":[' + b"1," * MAX_ENTRIES + b'1],"next_token":null}')

    def test_an_invalid_second_page_is_an_error(self):
        with self.assertRaises(PasslaneError):
            read(page(ENTRY, next_token="t"), b"{")

    @given(st.binary(max_size=200))
    def test_any_bytes_are_a_list_or_an_error(self, body):
        with suppress(PasslaneError):
            read(body)

    @given(
        st.lists(
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
                lambda inner: (
                    st.lists(inner, max_size=3)
                    | st.dictionaries(
                        st.sampled_from([*ENTRY, "born", "other"]), inner, max_size=11
                    )
                ),
                max_leaves=20,
            ),
            max_size=4,
        )
    )
    def test_valid_entries_are_read_among_arbitrary_others(self, entries):
        found = ids(read(page(OTHER, *entries, PLAIN)))
        self.assertEqual((found[0], found[-1]), ("i-2", "i-3"))

    @given(st.data())
    def test_one_corrupted_byte_adds_no_backend(self, data):
        whole = page(ENTRY, *VALID_ENTRIES)
        position = data.draw(st.integers(0, len(whole) - 1))
        changed = (
            whole[:position] + bytes([data.draw(st.integers(128, 255))]) + whole[position + 1 :]
        )
        try:
            records = read(changed)
        except PasslaneError:
            return
        self.assertLessEqual(set(ids(records)), {"i-1", "i-2", "i-3"})


class EncodedPageTest(unittest.TestCase):
    def test_an_encoded_page_is_decoded(self):
        records = read(page(*VALID_ENTRIES))
        self.assertEqual(read(encode_page(records)), records)


if __name__ == "__main__":
    unittest.main()
