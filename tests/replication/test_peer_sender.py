"""Order and queue limit of messages to peers, with and without an open connection."""

import functools
import unittest

import anyio
import trio.testing

from passlane.messages.common import Address
from passlane.replication.peer_sender import MAX_QUEUED_MESSAGES, PeerSender

CONNECTED_PEER = Address("10.0.0.1", 7000)
UNCONNECTED_PEER = Address("10.0.0.2", 7000)


class SlowCaller:
    """Sends each message after a delay; it has no open connections."""

    def __init__(self):
        self.sent = []

    async def send(self, address, message):
        await anyio.sleep(0.01)
        self.sent.append((address, message))


class OpeningCaller(SlowCaller):
    """Has a connection to one peer; the other connection opens with the first send."""

    def __init__(self):
        super().__init__()
        self.open = {CONNECTED_PEER}

    def send_if_connected(self, address, message):
        if address not in self.open:
            return False
        self.sent.append((address, message))
        return True

    async def send(self, address, message):
        await super().send(address, message)
        self.open.add(address)


def with_caller(caller_class):
    """Run a test's body with a sender on a virtual clock."""

    def decorate(body):
        @functools.wraps(body)
        def test(self):
            async def main():
                caller = caller_class()
                async with anyio.create_task_group() as tasks:
                    await body(self, PeerSender(caller, tasks), caller)

            clock = trio.testing.MockClock(autojump_threshold=0)
            anyio.run(main, backend="trio", backend_options={"clock": clock})

        return test

    return decorate


class PeerSenderTest(unittest.TestCase):
    @with_caller(OpeningCaller)
    async def test_message_is_sent_immediately_over_an_open_connection(self, sender, caller):
        sender.send(CONNECTED_PEER, 1)
        self.assertEqual(caller.sent, [(CONNECTED_PEER, 1)])

    @with_caller(OpeningCaller)
    async def test_a_peer_without_a_connection_does_not_block_others(self, sender, caller):
        sender.send(UNCONNECTED_PEER, 1)
        sender.send(CONNECTED_PEER, 2)
        await anyio.sleep(0.1)
        self.assertEqual(caller.sent, [(CONNECTED_PEER, 2), (UNCONNECTED_PEER, 1)])

    @with_caller(OpeningCaller)
    async def test_order_is_kept_while_a_connection_opens(self, sender, caller):
        for number in range(5):
            sender.send(UNCONNECTED_PEER, number)
            await anyio.sleep(0.006)
        await anyio.sleep(0.1)
        sender.send(UNCONNECTED_PEER, 5)
        self.assertEqual(caller.sent, [(UNCONNECTED_PEER, number) for number in range(6)])

    @with_caller(SlowCaller)
    async def test_order_is_kept_without_open_connections(self, sender, caller):
        for number in range(5):
            sender.send(UNCONNECTED_PEER, number)
            await anyio.sleep(0.006)
        await anyio.sleep(0.1)
        self.assertEqual(caller.sent, [(UNCONNECTED_PEER, number) for number in range(5)])

    @with_caller(SlowCaller)
    async def test_the_oldest_messages_are_dropped_from_a_full_queue(self, sender, caller):
        count = MAX_QUEUED_MESSAGES + 10
        for number in range(count):
            sender.send(UNCONNECTED_PEER, number)
        await anyio.sleep(10.0)
        self.assertEqual(len(caller.sent), MAX_QUEUED_MESSAGES)
        self.assertEqual(caller.sent[-1], (UNCONNECTED_PEER, count - 1))


if __name__ == "__main__":
    unittest.main()
