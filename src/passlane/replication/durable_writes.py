"""Writes to a replica's log, their syncs, and what waits for a sync.

Writing takes no time; the sync runs beside the loop and covers all that was written
before it began. On a full disk writes wait in memory until there is space again.
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
        Takes the events that tell of finished syncs.
    """

    def __init__(
        self, log: SegmentedLog, sender: PeerSender, step: Callable[[Event], None]
    ) -> None:
        self._log = log
        self._sender = sender
        self._step = step
        self._held_messages: deque[SendMessage] = deque()
        self._unsynced_hard_state: HardState | None = None
        self._write_arrived = anyio.Event()
        self._became_full = anyio.Event()
        if log.is_full:
            self._became_full.set()

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Write entries."""
        self._log.append(entries)
        self._note_write()

    def save_hard_state(self, hard_state: HardState) -> None:
        """Write term and vote; messages wait until they are durable."""
        self._unsynced_hard_state = hard_state
        self._log.save_hard_state(hard_state)
        self._note_write()

    def reset_log(self, position: LogPosition) -> None:
        """Empty the log behind a snapshot that was installed."""
        self._log.reset(position)
        self._note_write()

    def send(self, instruction: SendMessage) -> None:
        """Send a message, after those that wait for the hard state."""
        if self._unsynced_hard_state is not None:
            self._held_messages.append(instruction)
        else:
            self._sender.send(instruction.address, instruction.message)

    def note_full(self) -> None:
        """Refuse new work until there is space again."""
        self._log.is_full = True
        self._became_full.set()

    def _note_write(self) -> None:
        """Wake the tasks that look after writes."""
        self._write_arrived.set()
        if self._log.is_full:
            self._became_full.set()

    async def sync_for_ever(self) -> None:
        """Sync what was written; all writes made during one sync share the next.

        Raises
        ------
        PasslaneError
            ``STORAGE_CORRUPT`` when a sync fails: nobody knows what the disk holds then.
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
                # The mark that a sync leaves in the log may be the first to find no space.
                self._became_full.set()
            if self._unsynced_hard_state == state.hard_state:
                self._release_messages()
                self._step(HardStateSynced(term=state.hard_state.term))
            self._step(EntriesSynced(last_index=state.last.index, last_term=state.last.term))

    def _release_messages(self) -> None:
        """Send the messages that waited for the hard state."""
        self._unsynced_hard_state = None
        while self._held_messages:
            instruction = self._held_messages.popleft()
            self._sender.send(instruction.address, instruction.message)

    async def wait_until_full(self) -> None:
        """Return once the disk is full."""
        await self._became_full.wait()

    async def recover_space(self) -> None:
        """Try again and again until there is space for what waits and for the reserve."""
        while not await self._log.recover_space():
            self._write_arrived.set()
            await anyio.sleep(SPACE_RETRY_S)
        self._write_arrived.set()
        self._became_full = anyio.Event()
