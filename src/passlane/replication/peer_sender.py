"""Sends one-way messages to each peer in order, without holding up the loop."""

from collections import deque

from anyio.abc import TaskGroup

from passlane.messages.base import Message
from passlane.messages.common import Address
from passlane.transport.interfaces import Caller, ImmediateSender

MAX_QUEUED_MESSAGES = 256
"""Most messages that wait for one peer; beyond it the oldest are dropped."""


class PeerSender:
    """Sends over open connections at once, and queues for a peer that has none.

    A queue has a task while it is not empty.
    """

    def __init__(self, caller: Caller, tasks: TaskGroup) -> None:
        self._caller = caller
        self._immediate = caller if isinstance(caller, ImmediateSender) else None
        self._tasks = tasks
        self._queues: dict[Address, deque[Message]] = {}

    def send(self, address: Address, message: Message) -> None:
        """Send a message now or soon, or lose it, as Raft allows."""
        queue = self._queues.get(address)
        if queue is not None:
            queue.append(message)
            return
        if self._immediate is not None and self._immediate.send_now(address, message):
            return
        self._queues[address] = deque([message], maxlen=MAX_QUEUED_MESSAGES)
        self._tasks.start_soon(self._send_queued, address)

    async def _send_queued(self, address: Address) -> None:
        """Send the messages that wait for one peer, until there is none."""
        queue = self._queues[address]
        try:
            while queue:
                await self._caller.send(address, queue.popleft())
        finally:
            del self._queues[address]
