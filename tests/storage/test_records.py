"""Property tests of the framing of records."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from passlane.storage.records import (
    RecordKind,
    encode_record,
    find_last_record,
    read_record,
    read_records,
)

repeatable = settings(derandomize=True, database=None, deadline=None, max_examples=150)

records = st.tuples(st.sampled_from(list(RecordKind)), st.binary(max_size=200))


def flip(data: bytes, bit: int) -> bytes:
    changed = bytearray(data)
    changed[bit // 8] ^= 1 << bit % 8
    return bytes(changed)


class RecordTest(unittest.TestCase):
    @repeatable
    @given(st.lists(records, max_size=8))
    def test_records_are_read_back(self, written: list[tuple[RecordKind, bytes]]) -> None:
        data = b"".join(encode_record(kind, payload) for kind, payload in written)
        found = [(record.kind, bytes(record.payload)) for record in read_records(memoryview(data))]
        self.assertEqual(found, written)

    @repeatable
    @given(st.lists(records, max_size=8), st.sampled_from(list(RecordKind)), st.data())
    def test_last_valid_record_of_a_kind_is_found_despite_damage(
        self, written: list[tuple[RecordKind, bytes]], kind: RecordKind, data: st.DataObject
    ) -> None:
        encoded = [encode_record(*record) for record in written]
        damaged = data.draw(st.integers(0, len(written)))
        if damaged < len(written):
            bit = data.draw(st.integers(0, 8 * len(encoded[damaged]) - 1))
            encoded[damaged] = flip(encoded[damaged], bit)
        expected = [
            payload
            for number, (found, payload) in enumerate(written)
            if found is kind and number != damaged
        ]
        record = find_last_record(b"".join(encoded), kind)
        found = [] if record is None else [bytes(record.payload)]
        self.assertEqual(found, expected[-1:])

    @repeatable
    @given(records, st.data())
    def test_record_with_a_flipped_bit_is_refused(
        self, written: tuple[RecordKind, bytes], data: st.DataObject
    ) -> None:
        encoded = encode_record(*written)
        bit = data.draw(st.integers(0, 8 * len(encoded) - 1))
        self.assertIsNone(read_record(memoryview(flip(encoded, bit)), 0))

    def test_every_bit_of_a_record_is_checked(self) -> None:
        encoded = encode_record(RecordKind.ENTRY, b"payload")
        accepted = [
            bit
            for bit in range(8 * len(encoded))
            if read_record(memoryview(flip(encoded, bit)), 0) is not None
        ]
        self.assertEqual(accepted, [])

    @repeatable
    @given(records, st.data())
    def test_truncated_record_is_refused(
        self, written: tuple[RecordKind, bytes], data: st.DataObject
    ) -> None:
        encoded = encode_record(*written)
        length = data.draw(st.integers(0, len(encoded) - 1))
        self.assertIsNone(read_record(memoryview(encoded[:length]), 0))


if __name__ == "__main__":
    unittest.main()
