"""Entries of the platform's list that another writer has made.

What happens: an entry lacks a field, has one of another type, names a state that isn't known, or
holds bytes that can't be read. Until it is gone no node learns of any change, or sends requests
to it.

Why: a page was decoded as a whole, so one bad entry lost them all; any state other than ready was
taken for draining; an address was parsed outside of any guard.

What showed it: of the kinds of entry below, most raised ``PasslaneError`` or ``ValueError`` for the
whole list, or came back as a back end.
"""

import copy
import json
import unittest
from contextlib import asynccontextmanager, suppress

import anyio
from hypothesis import given
from hypothesis import strategies as st

from passlane.errors import PasslaneError
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.observability.metrics import Metrics
from passlane.platform.instance_list import InstanceList
from passlane.platform.list_format import encode_page

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
GOOD = [OTHER, PLAIN]
USED_FIELDS = ("id", "service", "address", "zone", "version", "slots", "state", "cold_left_ms")
OF_OTHER_TYPES = (None, True, 1.5, "7", "", -1, [], {}, ["ready"], {"a": 1})


class PagedBytes:
    """An HTTP client that answers each page with bytes."""

    def __init__(self, *pages):
        self.pages = pages
        self.asked = []

    @asynccontextmanager
    async def exchange(self, request):
        self.asked.append(request.path)
        yield Page(self.pages[len(self.asked) - 1])


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
    return anyio.run(InstanceList(PagedBytes(*pages), Address("10.0.0.1", 80), *given).read)


def ids(records):
    return [record.instance_id for record in records]


class BadEntryTest(unittest.TestCase):
    def assert_names_nothing(self, bad, text=None):
        raw = json.dumps(bad) if text is None else text
        good = json.dumps(GOOD[0]), json.dumps(GOOD[1])
        for order in ((raw, *good), (good[0], raw, good[1]), (*good, raw)):
            joined = ",".join(order)
            body = f'{{"instances":[{joined}],"next_token":null}}'
            encoded = body.encode("utf-8", "surrogateescape")
            self.assertEqual(ids(read(encoded)), ["i-2", "i-3"], raw)

    def test_a_field_that_is_missing(self):
        for name in USED_FIELDS:
            bad = copy.deepcopy(ENTRY)
            del bad[name]
            with self.subTest(name):
                self.assert_names_nothing(bad)

    def test_a_field_of_another_type(self):
        for name in USED_FIELDS:
            for value in OF_OTHER_TYPES:
                if name in ("service", "zone", "version") and value in ("7",):
                    continue  # Any word may be a name.
                if name == "id" and value == "7":
                    continue
                if name == "cold_left_ms" and value == 1.5:
                    continue  # A number.
                with self.subTest(name, value=value):
                    self.assert_names_nothing(ENTRY | {name: value})

    def test_a_start_that_is_no_whole_number(self):
        for value in (None, True, 1.5, "7", -1, [], {}):
            with self.subTest(value=value):
                self.assert_names_nothing(ENTRY | {"born": value})

    def test_a_state_that_is_not_known(self):
        for state in ("gone", "READY", "ready ", "starting"):
            self.assert_names_nothing(ENTRY | {"state": state})

    def test_an_address_that_is_none(self):
        for address in ("", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:0", "10.0.0.1:99999",
                        "10.0.0.1:٣", "host:80", "10.0.0.256:80", "10.0.0.1:80:80"):  # fmt: skip
            with self.subTest(address):
                self.assert_names_nothing(ENTRY | {"address": address})

    def test_an_entry_that_is_none(self):
        for entry in (None, True, 3, "i-9", [], {}, [ENTRY]):
            self.assert_names_nothing(entry)

    def test_bytes_that_cannot_be_read(self):
        for broken in ("\udcff\udcfe", "\\ud800", "\x01", "\udc80"):
            for name in ("service", "zone", "id"):
                entry = json.dumps(ENTRY | {name: "@@"}).replace("@@", broken)
                with self.subTest(name, broken=broken):
                    self.assert_names_nothing(None, entry)

    def test_good_entries_hold(self):
        records = read(page(ENTRY, *GOOD))
        expected = BackendRecord(
            "i-2", "models", Address("10.128.0.10", 8080), "a", 12, BackendState.READY
        )
        self.assertEqual(records[1].address, expected.address)
        self.assertEqual(records[1].state, BackendState.READY)
        self.assertEqual(records[2].state, BackendState.DRAINING)
        self.assertEqual(ids(records), ["i-1", "i-2", "i-3"])

    def test_fields_that_are_not_known_are_passed_over(self):
        self.assertEqual(ids(read(page(ENTRY | {"rack": {"a": [1]}}))), ["i-1"])

    def test_bad_entries_are_counted(self):
        metrics = Metrics()
        read(page({}, ENTRY, {"id": 3}, next_token="t"), page(None), metrics=metrics)
        exposed = metrics.expose().decode()
        self.assertIn("passlane_unreadable_backend_entries_total 3.0", exposed)


class UnreadablePageTest(unittest.TestCase):
    def test_a_page_that_cannot_be_read_is_an_error_and_no_empty_list(self):
        for body in (b"", b"{", b"[]", b"null", b'{"instances":{}}', b'{"next_token":null}',
                     b"\xff\xfe", b"[" * 100_000, b'{"instances":[],"next_token":3}'):  # fmt: skip
            with self.subTest(body[:30]), self.assertRaises(PasslaneError):
                read(body)

    def test_the_second_page_counts_as_well(self):
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
    def test_whatever_stands_beside_them_the_good_ones_hold(self, entries):
        found = ids(read(page(OTHER, *entries, PLAIN)))
        self.assertEqual((found[0], found[-1]), ("i-2", "i-3"))

    @given(st.data())
    def test_one_byte_that_is_changed_names_no_other_address(self, data):
        whole = page(ENTRY, *GOOD)
        place = data.draw(st.integers(0, len(whole) - 1))
        changed = whole[:place] + bytes([data.draw(st.integers(128, 255))]) + whole[place + 1 :]
        try:
            records = read(changed)
        except PasslaneError:
            return
        self.assertLessEqual(set(ids(records)), {"i-1", "i-2", "i-3"})


class WrittenPageTest(unittest.TestCase):
    def test_a_page_that_is_written_is_read(self):
        records = read(page(*GOOD))
        self.assertEqual(read(encode_page(records)), records)


if __name__ == "__main__":
    unittest.main()
