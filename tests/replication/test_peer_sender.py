"""Order and bounds of what is sent to peers, with and without an open connection."""

import functools
import unittest

import anyio
import trio.testing

from passlane.messages.common import Address
from passlane.replication.peer_sender import MAX_QUEUED_MESSAGES, PeerSender

NEAR = Address("10.0.0.1", 7000)
FAR = Address("10.0.0.2", 7000)


class SlowCaller:
    """Sends each message after a delay; it has no open connections."""

    def __init__(self):
        self.sent = []

    async def send(self, address, message):
        await anyio.sleep(0.01)
        self.sent.append((address, message))


class OpeningCaller(SlowCaller):
    """Has an open connection to the near peer; that to the far one opens with the first send."""

    def __init__(self):
        super().__init__()
        self.open = {NEAR}

    def send_now(self, address, message):
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
    async def test_over_an_open_connection_a_message_is_sent_at_once(self, sender, caller):
        sender.send(NEAR, 1)
        self.assertEqual(caller.sent, [(NEAR, 1)])

    @with_caller(OpeningCaller)
    async def test_a_peer_without_a_connection_holds_up_no_other(self, sender, caller):
        sender.send(FAR, 1)
        sender.send(NEAR, 2)
        await anyio.sleep(0.1)
        self.assertEqual(caller.sent, [(NEAR, 2), (FAR, 1)])

    @with_caller(OpeningCaller)
    async def test_order_is_kept_while_a_connection_opens(self, sender, caller):
        for number in range(5):
            sender.send(FAR, number)
            await anyio.sleep(0.006)
        await anyio.sleep(0.1)
        sender.send(FAR, 5)
        self.assertEqual(caller.sent, [(FAR, number) for number in range(6)])

    @with_caller(SlowCaller)
    async def test_order_is_kept_without_open_connections(self, sender, caller):
        for number in range(5):
            sender.send(FAR, number)
            await anyio.sleep(0.006)
        await anyio.sleep(0.1)
        self.assertEqual(caller.sent, [(FAR, number) for number in range(5)])

    @with_caller(SlowCaller)
    async def test_the_oldest_are_dropped_beyond_the_bound(self, sender, caller):
        count = MAX_QUEUED_MESSAGES + 10
        for number in range(count):
            sender.send(FAR, number)
        await anyio.sleep(10.0)
        self.assertEqual(len(caller.sent), MAX_QUEUED_MESSAGES)
        self.assertEqual(caller.sent[-1], (FAR, count - 1))


if __name__ == "__main__":
    unittest.main()
