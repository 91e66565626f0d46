"""Tests of log output to a pipe: bounded buffer, no blocking, the most recent lines retained."""

import json
import os
import unittest
from unittest import mock

from passlane.observability.standard_output import (
    MAX_BUFFERED_LINES,
    MAX_WRITE_BYTES,
    StandardOutputLog,
)


class StandardOutputLogTest(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        os.set_blocking(writer, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.log = StandardOutputLog(writer)

    def add(self, number, level="info", text=""):
        self.log(None, "info", {"event": "line", "number": number, "level": level, "text": text})

    def read(self):
        return [json.loads(line) for line in os.read(self.reader, 10_000_000).splitlines()]

    def test_lines_are_written_in_order_without_debug_lines(self):
        for number in range(3):
            self.add(number)
        self.add(3, level="debug")
        self.log.flush()
        self.assertEqual([line["number"] for line in self.read()], [0, 1, 2])

    def test_a_value_without_an_encoding_costs_itself_alone(self):
        deep = []
        for _ in range(100_000):
            deep = [deep]
        for value in (10**5_000, "\ud800", ["\ud800"], deep):
            self.add(1, text=value)
        self.log.flush()
        lines = self.read()
        self.assertEqual([line["number"] for line in lines], [1, 1, 1, 1])
        self.assertTrue(all(len(line["text"]) < 400 for line in lines))
        self.assertIn(r"\ud800", lines[1]["text"])

    def test_a_stalled_reader_loses_lines_but_does_not_block(self):
        count = 2 * MAX_BUFFERED_LINES
        for number in range(count):
            self.add(number, text="x" * 200)
            if number % 100 == 0:
                self.log.flush()
        lines = []
        while not lines or lines[-1].get("number") != count - 1:
            self.log.flush()
            lines += self.read_whole_lines()
        numbers = [line["number"] for line in lines if line["event"] == "line"]
        dropped = sum(line["count"] for line in lines if line["event"] == "log_lines_dropped")
        self.assertEqual(len(numbers) + dropped, count)
        self.assertGreater(dropped, 0)
        self.assertEqual(numbers, sorted(numbers))

    def test_each_write_holds_whole_lines_within_the_atomic_size_of_a_pipe(self):
        blocks = []

        def write(descriptor, data):
            blocks.append(data)
            return len(data)

        for number in range(40):
            self.add(number, text="x" * 500)
        self.add(40, text="x" * 2 * MAX_WRITE_BYTES)
        with mock.patch("os.write", write):
            self.log.flush()
        lines = [json.loads(line) for block in blocks for line in block.splitlines()]
        self.assertEqual([line["number"] for line in lines], list(range(41)))
        self.assertTrue(all(block.endswith(b"\n") for block in blocks))
        self.assertLessEqual(max(map(len, blocks[:-1])), MAX_WRITE_BYTES)
        self.assertEqual(blocks[-1].count(b"\n"), 1)

    _partial_line = b""

    def read_whole_lines(self):
        data = self._partial_line + os.read(self.reader, 10_000_000)
        *whole, self._partial_line = data.split(b"\n")
        return [json.loads(line) for line in whole]
