"""Splitting of event streams that arrive in arbitrary chunks."""

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from passlane.event_streams.whole_events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLongError,
)

STREAM = b"id: 1\ndata: a\n\ndata:b\ndata: c\nid: 2\n\n: comment\n\nid: 3\ndata: end"


class EventSplitterTest(unittest.TestCase):
    @given(st.lists(st.integers(min_value=0, max_value=len(STREAM)), max_size=10))
    def test_events_do_not_depend_on_the_chunk_boundaries(self, cuts):
        splitter = EventSplitter()
        edges = [0, *sorted(cuts), len(STREAM)]
        events = []
        for start, end in itertools.pairwise(edges):
            events += splitter.feed(STREAM[start:end])
        self.assertEqual([event.data for event in events], [b"a", b"b\nc", b""])
        self.assertEqual([event.event_id for event in events], ["1", "2", None])
        self.assertEqual(b"".join(e.raw for e in events) + splitter.pending, STREAM)
        self.assertEqual(splitter.pending, b"id: 3\ndata: end")


LINE_ENDS = (b"\n", b"\r\n", b"\r")


def chunks_of(stream, cuts):
    """Yield a stream in chunks that end at these places."""
    for start, end in itertools.pairwise([0, *sorted(cuts), len(stream)]):
        yield stream[start:end]


class LineEndTest(unittest.TestCase):
    """Lines end with LF, CR LF or CR, in any chunks."""

    @given(
        st.sampled_from(LINE_ENDS),
        st.lists(st.integers(min_value=0, max_value=2 * len(STREAM)), max_size=10),
    )
    def test_events_do_not_depend_on_the_line_ends(self, line_end, cuts):
        stream = STREAM.replace(b"\n", line_end)
        splitter = EventSplitter()
        cuts = [min(cut, len(stream)) for cut in cuts]
        events = [event for chunk in chunks_of(stream, cuts) for event in splitter.feed(chunk)]
        self.assertEqual([event.data for event in events], [b"a", b"b\nc", b""])
        self.assertEqual([event.event_id for event in events], ["1", "2", None])
        self.assertEqual(b"".join(e.raw for e in events) + splitter.pending, stream)
        self.assertTrue(splitter.is_inside_event)

    @given(st.lists(st.sampled_from([b"\n", b"\r", b"a", b": c", b"id: 1"]), max_size=12))
    def test_each_byte_as_a_chunk_gives_the_events_of_one_chunk(self, parts):
        stream = b"".join(parts)
        one, each = EventSplitter(), EventSplitter()
        at_once = one.feed(stream)
        in_turn = [event for byte in stream for event in each.feed(bytes([byte]))]
        self.assertEqual([e.data for e in at_once], [e.data for e in in_turn])
        self.assertEqual([e.event_id for e in at_once], [e.event_id for e in in_turn])
        self.assertEqual(one.is_inside_event, each.is_inside_event)


class LongEventTest(unittest.TestCase):
    """Bytes without the end of an event."""

    UNITS = (b"data: x" * 100, b"\n" * 700, b"\r\n" * 350, b"id: 1\n" * 100, b"\x00" * 700)

    def test_bytes_without_the_end_of_an_event_are_bounded(self):
        for unit in self.UNITS:
            with self.subTest(unit=unit[:8]):
                splitter = EventSplitter()
                fed_bytes = 0
                with self.assertRaises(EventTooLongError):
                    while fed_bytes <= 2 * MAX_EVENT_BYTES:
                        splitter.feed(unit)
                        fed_bytes += len(unit)
                self.assertLessEqual(fed_bytes, MAX_EVENT_BYTES + len(unit))

    def test_an_event_of_the_largest_size_is_whole(self):
        event = b"data: " + b"x" * (MAX_EVENT_BYTES - 6)
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(event), [])
        (found,) = splitter.feed(b"\n\n")
        self.assertEqual(found.raw, event + b"\n\n")


class EndTest(unittest.TestCase):
    def ends_inside_event(self, stream):
        splitter = EventSplitter()
        splitter.feed(stream)
        return splitter.is_inside_event

    def test_a_stream_ends_between_events_or_inside_one(self):
        for line_end in LINE_ENDS:
            for text, is_inside in (
                (b"", False),
                (b"\n\n", False),
                (b"data: a\n\n", False),
                (b"data: a\n\n\n", False),
                (b"data: a\n\n: comment\n", False),
                (b"data: a\n\n: comm", True),
                (b"data: a\n", True),
                (b"data: a", True),
                (b"data: a\n\nid: 2\n", True),
                (b"data: a\n\nd", True),
            ):
                stream = text.replace(b"\n", line_end)
                self.assertIs(self.ends_inside_event(stream), is_inside, stream)
