"""Sends one-way messages to each peer in order, without blocking the event loop."""

from collections import deque

from anyio.abc import TaskGroup

from passlane.messages.base import Message
from passlane.messages.common import Address
from passlane.transport.interfaces import Caller, ImmediateSender

MAX_QUEUED_MESSAGES = 256
"""Maximum number of queued messages per peer; beyond it the oldest is dropped."""


class PeerSender:
    """Sends immediately over open connections, and queues messages for other peers.

    Each non-empty queue has a task that sends its messages.
    """

    def __init__(self, caller: Caller, tasks: TaskGroup) -> None:
        self._caller = caller
        self._immediate = caller if isinstance(caller, ImmediateSender) else None
        self._tasks = tasks
        self._queues: dict[Address, deque[Message]] = {}

    def send(self, address: Address, message: Message) -> None:
        """Send or queue a message; delivery is not guaranteed."""
        queue = self._queues.get(address)
        if queue is not None:
            queue.append(message)
            return
        if self._immediate is not None and self._immediate.send_if_connected(address, message):
            return
        self._queues[address] = deque([message], maxlen=MAX_QUEUED_MESSAGES)
        self._tasks.start_soon(self._send_queued, address)

    async def _send_queued(self, address: Address) -> None:
        """Send the queued messages of one peer until the queue is empty."""
        queue = self._queues[address]
        try:
            while queue:
                await self._caller.send(address, queue.popleft())
        finally:
            del self._queues[address]
