"""Writes to a replica's log, their syncs, and messages that wait for a sync.

Writes do not block; a sync runs in the background and covers all writes made before it
began. While the disk is full, writes are buffered in memory.
"""

from collections import deque
from collections.abc import Callable

import anyio

from passlane.messages.raft import LogEntry
from passlane.raft.events import EntriesSynced, Event, HardStateSynced
from passlane.raft.instructions import SendMessage
from passlane.replication.peer_sender import PeerSender
from passlane.storage.formats import HardState, LogPosition, storage_corrupt
from passlane.storage.log import SegmentedLog
from passlane.storage.reserve import SPACE_RETRY_S


class DurableWrites:
    """Carries out writes, and sends messages once what they depend on is durable.

    Parameters
    ----------
    step
        Receives the events that report completed syncs.
    """

    def __init__(
        self, log: SegmentedLog, sender: PeerSender, step: Callable[[Event], None]
    ) -> None:
        self._log = log
        self._sender = sender
        self._step = step
        self._waiting_messages: deque[SendMessage] = deque()
        self._unsynced_hard_state: HardState | None = None
        self._write_arrived = anyio.Event()
        self._became_full = anyio.Event()
        if log.is_full:
            self._became_full.set()

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries to the log."""
        self._log.append(entries)
        self._signal_write()

    def save_hard_state(self, hard_state: HardState) -> None:
        """Write term and vote; later messages wait until they are durable."""
        self._unsynced_hard_state = hard_state
        self._log.save_hard_state(hard_state)
        self._signal_write()

    def reset_log(self, position: LogPosition) -> None:
        """Reset the log to ``position`` after a snapshot was installed."""
        self._log.reset(position)
        self._signal_write()

    def send(self, instruction: SendMessage) -> None:
        """Send a message once the latest hard state is durable."""
        if self._unsynced_hard_state is not None:
            self._waiting_messages.append(instruction)
        else:
            self._sender.send(instruction.address, instruction.message)

    def mark_full(self) -> None:
        """Mark the disk as full, so that new work is rejected until space is available."""
        self._log.is_full = True
        self._became_full.set()

    def _signal_write(self) -> None:
        """Wake the sync task, and the full-disk task if the disk is full."""
        self._write_arrived.set()
        if self._log.is_full:
            self._became_full.set()

    async def run_syncs(self) -> None:
        """Sync written data until cancelled; writes made during a sync share the next one.

        Raises
        ------
        PasslaneError
            ``STORAGE_CORRUPT`` when a sync fails, because the stored data is then unknown.
        """
        while True:
            await self._write_arrived.wait()
            self._write_arrived = anyio.Event()
            if not self._log.has_unsynced:
                continue
            try:
                state = await self._log.sync()
            except OSError as error:
                raise storage_corrupt(f"a sync of the log failed: {error}") from error
            if self._log.is_full:
                # The sync marker in the log may be the first write that finds the disk full.
                self._became_full.set()
            if self._unsynced_hard_state == state.hard_state:
                self._release_messages()
                self._step(HardStateSynced(term=state.hard_state.term))
            self._step(EntriesSynced(last_index=state.last.index, last_term=state.last.term))

    def _release_messages(self) -> None:
        """Send the messages that wait for the hard state."""
        self._unsynced_hard_state = None
        while self._waiting_messages:
            instruction = self._waiting_messages.popleft()
            self._sender.send(instruction.address, instruction.message)

    async def wait_until_full(self) -> None:
        """Return once the disk is full."""
        await self._became_full.wait()

    async def recover_space(self) -> None:
        """Retry until there is space for the buffered writes and for the disk reserve."""
        while not await self._log.recover_space():
            self._write_arrived.set()
            await anyio.sleep(SPACE_RETRY_S)
        self._write_arrived.set()
        self._became_full = anyio.Event()
