"""The parts of a JSON text are separated without being decoded.

Guards against a part that hides others, and against a scan that keeps other tasks waiting.
"""

import json
import unittest

import anyio
import anyio.lowlevel
import msgspec
from hypothesis import given
from hypothesis import strategies as st

from passlane.errors import ErrorCode, PasslaneError
from passlane.platform.list_scan import Span, elements, hides_elements, members

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=30,
)
SPACES = st.sampled_from(["", " ", "\n\t ", "\r\n"])
DEPTHS = (1, 2, 3, 4, 5, 6, 50, 3_000, 100_000)
MEGABYTE = 1_000_000


def separated(text):
    """Return the elements of an array."""

    async def main():
        return [span.of(text).strip() async for span in elements(text, Span(0, len(text)))]

    return anyio.run(main)


def named(text):
    """Return the members of an object."""

    async def main():
        return [(m.name, m.value.of(text).strip()) async for m in members(text)]

    return anyio.run(main)


def steps_of(text):
    """Return how often another task runs while elements are separated."""

    async def main():
        steps = 0

        async def count():
            nonlocal steps
            while True:
                await anyio.lowlevel.checkpoint()
                steps += 1

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(count)
            await anyio.lowlevel.checkpoint()
            async for _ in elements(text, Span(0, len(text))):
                pass
            tasks.cancel_scope.cancel()
        return steps

    return anyio.run(main)


class ElementsTest(unittest.TestCase):
    @given(st.lists(VALUES, max_size=6), SPACES, SPACES, st.booleans())
    def test_the_elements_are_those_of_a_decoder(self, values, before, after, ascii_only):
        parts = [json.dumps(value, ensure_ascii=ascii_only) for value in values]
        joined = f"{before},{after}".join(parts)
        text = f"{before}[{after}{joined}{before}]{after}".encode()
        decoded = msgspec.json.decode(text, type=list[msgspec.Raw])
        self.assertEqual(separated(text), [bytes(raw).strip() for raw in decoded])

    def test_elements_of_any_depth_stand_for_themselves(self):
        for depth in DEPTHS:
            for opening, closing in (("[", "]"), ('{"a":', "}"), ("[1,", ",2]"), ('["]",', "]")):
                deep = opening * depth + "1" + closing * depth
                with self.subTest(opening, depth=depth):
                    text = f'[{deep},"a",{deep},{{"b":{deep}}},7]'.encode()
                    expected = [deep, '"a"', deep, f'{{"b":{deep}}}', "7"]
                    self.assertEqual(separated(text), [part.encode() for part in expected])

    def test_malformed_elements_stand_for_themselves(self):
        for malformed in ('{"a" 1}', "{,,}", "[1 2]", '{"a":[}]', "{]", "tru", "", "[,]", "1 2"):
            for before in ("", "[[[[[["):
                part = f"{before}{malformed}{']' * len(before)}"
                with self.subTest(part):
                    found = separated(f"[1,{part},{{}},{part},2]".encode())
                    self.assertEqual(found, [b"1", part.encode(), b"{}", part.encode(), b"2"])

    def test_bytes_that_are_no_text_and_escapes(self):
        parts = [
            b'"\xff\xfe"',
            b'{"a":"\\"]},["}',
            b'"\\\\"',
            b'"\\ud800"',
            b'"' + b'\\"' * 999 + b'"',
        ]
        self.assertEqual(separated(b"[" + b",".join(parts) + b"]"), parts)

    def test_what_cannot_be_separated_is_refused(self):
        for text in (b"", b"[", b"]", b"{}", b"[1", b"[[]", b"[]]", b'["]', b'["a]', b"[{},{}}]",
                     b"[[1][2]]]", b'[{}{}]', b"[] []", b"[]1", b"1[]", b'["\\"]',
                     b"[" * MEGABYTE, b"]" * MEGABYTE, b'["' * MEGABYTE,
                     b'["' + b'\\"' * MEGABYTE):  # fmt: skip
            with self.subTest(text[:20]), self.assertRaises(PasslaneError) as raised:
                separated(text)
            self.assertIs(raised.exception.code, ErrorCode.PROTOCOL_ERROR)

    @given(st.binary(max_size=60) | st.text('[]{},"\\:1 ').map(str.encode))
    def test_any_bytes_are_elements_or_refused(self, text):
        try:
            separated(text)
        except PasslaneError as error:
            self.assertIs(error.code, ErrorCode.PROTOCOL_ERROR)

    def test_other_tasks_run_during_a_long_scan(self):
        half = MEGABYTE // 2
        for text in (b"[" * half + b"]" * half, b"[" + b"[]," * (half // 2) + b"1]",
                     b"[[[[[[" + b'"a",' * (half // 2) + b"1]]]]]]",
                     b'["' + b'\\"' * half + b'"]', b"[" + b"1," * half + b"1]"):  # fmt: skip
            with self.subTest(text[:20]):
                self.assertGreaterEqual(steps_of(text), 5)


class MembersTest(unittest.TestCase):
    @given(st.dictionaries(st.text("abc_ ]},", min_size=1), VALUES, max_size=5), SPACES)
    def test_the_members_are_those_of_a_decoder(self, values, space):
        joined = ",".join(f"{space}{json.dumps(n)}{space}:{json.dumps(values[n])}" for n in values)
        expected = [(name.encode(), json.dumps(values[name]).encode()) for name in values]
        self.assertEqual(named(f"{space}{{{joined}{space}}}".encode()), expected)

    def test_what_is_no_object_is_refused(self):
        for text in (b"", b"[]", b"{", b"{1}", b'{"a"}', b'{"a":1,}', b'{"a":1},', b"null"):
            with self.subTest(text), self.assertRaises(PasslaneError):
                named(text)


class HiddenElementsTest(unittest.TestCase):
    def test_only_a_string_with_an_end_and_a_start_hides_elements(self):
        for part, hides in ((b'{"a":"b}, {"c":"d"}', True), (b'{"a":[{},{}],"b":"},"}', False),
                            (b'{"a" 1}', False), (b'{"a":"]\n,[","b" 1}', True)):  # fmt: skip
            with self.subTest(part):
                self.assertIs(anyio.run(hides_elements, part), hides)


if __name__ == "__main__":
    unittest.main()
