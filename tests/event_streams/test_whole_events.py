"""Splitting of event streams that arrive in arbitrary chunks."""

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from passlane.event_streams.whole_events import EventSplitter

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
