"""Memory use of an answer while it is forwarded."""

import unittest

import anyio

from passlane.decisions.backends.health import BackendHealth
from passlane.relay.delivery import StreamDelivery
from relay.fakes import RecordingWriter, Script, head

EVENTS = 50
EVENT = b"id: 1\ndata: " + b"x" * 4_000 + b"\n\n"


class StreamDeliveryTest(unittest.TestCase):
    def deliver(self, **options):
        """Forward a stream; return its delivery and the writer."""
        writer = RecordingWriter()

        async def before_end(_delivery):
            return

        async def main():
            delivery = StreamDelivery(writer, before_end, **options)
            answer = Script(head(), *[EVENT] * EVENTS)
            await delivery.deliver(answer, BackendHealth().watch(anyio.current_time()))
            return delivery

        return anyio.run(main), writer

    def test_the_output_of_a_stream_is_buffered_only_if_it_is_needed(self):
        buffered, writer = self.deliver(max_output_bytes=EVENTS * 4_001)
        self.assertEqual(len(buffered.output), EVENTS * 4_001)
        unbuffered, other_writer = self.deliver(max_output_bytes=None)
        self.assertEqual((len(unbuffered.output), unbuffered.events), (0, EVENTS))
        self.assertEqual(other_writer.body, writer.body)
