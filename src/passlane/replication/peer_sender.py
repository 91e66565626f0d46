"""Sends one-way messages to each peer in order, without holding up the loop."""

from collections import deque

import anyio
from anyio.abc import TaskGroup

from passlane.messages.base import Message
from passlane.messages.common import Address
from passlane.transport.interfaces import Caller

MAX_QUEUED_MESSAGES = 256
"""Most messages that wait for one peer; beyond it the oldest are dropped."""

IDLE_TIMEOUT_S = 60.0
"""A peer's task ends when it had nothing to send for so long."""


class _PeerQueue:
    """Messages that wait for one peer."""

    def __init__(self) -> None:
        self.messages: deque[Message] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.arrived = anyio.Event()


class PeerSender:
    """One queue and one task for each address that is sent to."""

    def __init__(self, caller: Caller, tasks: TaskGroup) -> None:
        self._caller = caller
        self._tasks = tasks
        self._queues: dict[Address, _PeerQueue] = {}

    def send(self, address: Address, message: Message) -> None:
        """Queue a message; it is sent soon, or lost, as Raft allows."""
        queue = self._queues.get(address)
        if queue is None:
            queue = _PeerQueue()
            self._queues[address] = queue
            self._tasks.start_soon(self._send_queued, address, queue)
        queue.messages.append(message)
        queue.arrived.set()

    async def _send_queued(self, address: Address, queue: _PeerQueue) -> None:
        """Send the messages of one peer until none has come for a while."""
        while True:
            with anyio.move_on_after(IDLE_TIMEOUT_S):
                await queue.arrived.wait()
            if not queue.messages:
                del self._queues[address]
                return
            queue.arrived = anyio.Event()
            while queue.messages:
                await self._caller.send(address, queue.messages.popleft())
