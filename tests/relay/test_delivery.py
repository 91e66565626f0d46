"""What is kept of an answer while it is passed on."""

import unittest

import anyio

from passlane.decisions.backends.health import BackendHealth
from passlane.relay.delivery import StreamDelivery
from relay.fakes import RecordingWriter, Script, head

EVENTS = 50
EVENT = b"id: 1\ndata: " + b"x" * 4_000 + b"\n\n"


class StreamDeliveryTest(unittest.TestCase):
    def deliver(self, **options):
        """Pass a stream on; return its delivery and what the caller got."""
        writer = RecordingWriter()

        async def before_end(_delivery):
            return

        async def main():
            delivery = StreamDelivery(writer, before_end, **options)
            answer = Script(head(), *[EVENT] * EVENTS)
            await delivery.deliver(answer, BackendHealth().watch(anyio.current_time()))
            return delivery

        return anyio.run(main), writer

    def test_the_output_of_a_stream_is_kept_only_where_it_is_needed(self):
        kept, writer = self.deliver(keeps_output=True)
        self.assertEqual(len(kept.output), EVENTS * 4_001)
        dropped, other_writer = self.deliver(keeps_output=False)
        self.assertEqual((len(dropped.output), dropped.events), (0, EVENTS))
        self.assertEqual(other_writer.body, writer.body)
