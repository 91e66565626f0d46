"""A report of the list that can't be sent costs itself alone."""

import random
import unittest

import anyio
from structlog.testing import capture_logs

from passlane.fleet.backends_reporter import BackendsReporter
from passlane.fleet.cached_view import CachedView
from passlane.fleet.control_leader import ControlLeader
from passlane.messages.base import encode_message
from passlane.messages.common import Address
from passlane.messages.listing import BackendsReported
from passlane.transport.frames import MAX_FRAME_BYTES, Frame, FrameKind, frame_parts
from relay.fakes import backend

SEED = Address("10.1.0.1", 7000)
GOOD = (backend("i-1"),)


class EncodingCaller:
    """Encodes requests as a connection does, and counts those that could be sent."""

    def __init__(self):
        self.sent = 0

    async def call(self, address, request, reply, *, timeout_s):
        frame_parts(Frame(FrameKind.REQUEST, body=encode_message(request)))
        self.sent += 1
        return BackendsReported(number=self.sent)


def reported(*lists):
    """Report lists; return how many could be sent, and the lines."""
    caller = EncodingCaller()
    leader = ControlLeader([SEED], CachedView(), random.Random(0))
    reporter = BackendsReporter(lambda: "node-1", leader, caller)

    async def main():
        for records in lists:
            await reporter.report(records)

    with capture_logs() as lines:
        anyio.run(main)
    return caller.sent, lines


class ReportTest(unittest.TestCase):
    def assert_not_sent(self, records, code):
        sent, lines = reported(records, GOOD)
        self.assertEqual(sent, 1)
        self.assertEqual([line["event"] for line in lines], ["backends_not_reported"])
        self.assertEqual(lines[0]["code"], code)

    def test_a_list_larger_than_a_frame(self):
        self.assert_not_sent((backend("x" * MAX_FRAME_BYTES),), "frame_too_large")

    def test_a_list_with_a_number_that_no_message_carries(self):
        self.assert_not_sent((backend(slots=2**64),), "internal")

    def test_a_list_with_a_text_that_no_message_carries(self):
        self.assert_not_sent((backend("\ud800"),), "internal")


if __name__ == "__main__":
    unittest.main()
