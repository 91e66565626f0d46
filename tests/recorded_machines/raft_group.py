"""A small Raft group with a lossy network and disks that sync late, all drawn from a seed."""

import heapq
import random
from collections import deque
from typing import Any

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import EntryKind, GroupMember, LogEntry
from passlane.raft import events, instructions
from passlane.raft.config import ReplicaConfig
from passlane.raft.membership import decode_membership
from passlane.raft.replica import Replica
from recorded_machines.recording import Recording

GROUP = "recorded"
TICK_S = 0.01
LOST, REPEATED, LATE = 0.04, 0.05, 0.1
SNAPSHOT_EVERY = 25
ELECTION_TIMEOUT_S = 0.3


class Disk:
    """What a machine keeps over a restart."""

    def __init__(self, members: tuple[GroupMember, ...]) -> None:
        self.term = 0
        self.voted_for: ReplicaId | None = None
        self.entries: list[LogEntry] = []
        self.snapshot: tuple[int, int, bytes] = (0, 0, b"")
        self.members = members


class Machine:
    """One replica with its shell: carries out instructions and reports what became durable."""

    def __init__(self, group: "Group", number: int, members: tuple[GroupMember, ...]) -> None:
        self.group = group
        self.number = number
        self.life = 0
        self.address = Address(f"10.0.0.{number}", 1)
        self.disk = Disk(members)
        self.replica: Replica | None = None
        self.down_until = 0.0
        self.start()

    @property
    def replica_id(self) -> ReplicaId:
        return ReplicaId(f"r{self.number}.{self.life}")

    def start(self) -> None:
        disk = self.disk
        self.held: list[Any] = []
        self.syncs: deque[tuple[float, Any]] = deque()
        self.written = list(disk.entries)
        self.applied_members = disk.members
        self.unsaved = 0
        config = ReplicaConfig(
            group=GROUP,
            replica_id=self.replica_id,
            address=self.address,
            election_timeout_s=ELECTION_TIMEOUT_S,
            places=self.group.places,
            max_batch_bytes=200,
            max_in_flight_batches=4,
            snapshot_chunk_bytes=64,
            trailing_entries=5,
            replaced_voter_silence_s=1.0,
        )
        index, term, data = disk.snapshot
        self.replica = Replica(
            config,
            random.Random(self.group.random.random()),
            hard_term=disk.term,
            voted_for=disk.voted_for,
            snapshot_last_index=index,
            snapshot_last_term=term,
            snapshot_data=data,
            entries=disk.entries,
            members=disk.members,
        )
        self.group.recording.note(["start", self.replica_id], [index, term, len(disk.entries)])

    def crash(self, down_s: float) -> None:
        self.replica = None
        self.down_until = self.group.now + down_s

    def wipe(self) -> None:
        """Lose the disk: the machine comes back as another replica."""
        self.life += 1
        self.disk = Disk(())

    def tick(self) -> None:
        """Restart when it is time, report syncs, and let time advance."""
        if self.replica is None:
            if self.group.now >= self.down_until:
                self.start()
            return
        while self.syncs and self.syncs[0][0] <= self.group.now:
            self.syncs.popleft()[1]()
        if self.replica.next_deadline() <= self.group.now:
            self.handle(events.TimeAdvanced())

    def handle(self, event: Any) -> None:
        if self.replica is None:
            return
        given = self.replica.handle(event, self.group.now)
        seen = (
            self.replica.term,
            self.replica.commit_index,
            self.replica.next_deadline(),
            self.replica.leader_address,
        )
        self.group.recording.note([self.replica_id, self.group.now, event], [given, seen])
        for instruction in given:
            self._carry_out(instruction)

    def _carry_out(self, instruction: Any) -> None:
        match instruction:
            case instructions.SaveHardState():
                self._save_hard_state(instruction.term, instruction.voted_for)
            case instructions.AppendEntries():
                self._write(instruction.entries)
            case instructions.SendMessage():
                self._send(instruction)
            case instructions.SendSnapshotChunk():
                self._send(instruction.read())
            case instructions.ApplyEntries():
                self._apply(instruction.entries)
            case instructions.InstallSnapshot():
                self._install(instruction)

    def _later(self, report: Any, longest_s: float = 0.02) -> None:
        last = self.syncs[-1][0] if self.syncs else 0.0
        due = self.group.now + self.group.random.random() * longest_s
        self.syncs.append((max(last, due + self.group.stall_of(self)), report))

    def _save_hard_state(self, term: int, voted_for: ReplicaId | None) -> None:
        self.unsaved += 1

        def report() -> None:
            self.disk.term, self.disk.voted_for = term, voted_for
            self.unsaved -= 1
            held, self.held = self.held, []
            for instruction in held:
                self._send(instruction)
            self.handle(events.HardStateSynced(term))

        self._later(report)

    def _write(self, entries: tuple[LogEntry, ...]) -> None:
        self.written = [e for e in self.written if e.index < entries[0].index] + list(entries)
        written = list(self.written)

        def report() -> None:
            self.disk.entries = written
            self.handle(events.EntriesSynced(written[-1].index, written[-1].term))

        self._later(report)

    def _send(self, instruction: Any) -> None:
        if self.unsaved:
            self.held.append(instruction)
        else:
            self.group.send(self, instruction.address, instruction.message)

    def _apply(self, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            if entry.kind is EntryKind.MEMBERSHIP:
                self.applied_members = decode_membership(entry.data).members
        last = entries[-1]
        if last.index - self.disk.snapshot[0] >= SNAPSHOT_EVERY:
            data = bytes([last.index % 251]) * (40 + last.index % 200)
            members = self.applied_members

            def report() -> None:
                self.disk.snapshot = (last.index, last.term, data)
                self.disk.members = members
                self.handle(events.SnapshotTaken(last.index, last.term, data))

            self._later(report)

    def _install(self, instruction: Any) -> None:
        data = instruction.data[0 : len(instruction.data)]
        index = instruction.last_index
        self.applied_members = instruction.membership.members
        self.written = []

        def report() -> None:
            self.disk.snapshot = (index, instruction.last_term, data)
            self.disk.members = instruction.membership.members
            self.disk.entries = []
            kept = data if self.group.random.random() < 0.5 else None
            self.handle(events.SnapshotInstalled(index, kept))

        self._later(report)


class Group:
    """The machines, the network between them and the clock."""

    def __init__(
        self, recording: Recording, seed: int, *, size: int, founders: int, places: int | None
    ) -> None:
        self.recording = recording
        self.random = random.Random(seed)
        self.places = places
        self.now = 0.0
        self.token = 0
        self.cut_off: set[Address] = set()
        self.stalled: tuple[int, float] = (0, 0.0)
        self._sent = 0
        self._network: list[tuple[float, int, Address, Any]] = []
        first = tuple(
            GroupMember(ReplicaId(f"r{n}.0"), Address(f"10.0.0.{n}", 1), True, f"z{n % 2}")
            for n in range(1, founders + 1)
        )
        self.machines = [
            Machine(self, n, first if n <= founders else ()) for n in range(1, size + 1)
        ]

    def stall_of(self, machine: Machine) -> float:
        """Return how long the machine's disk hangs from now on."""
        number, until = self.stalled
        return max(0.0, until - self.now) if machine.number == number else 0.0

    def leader(self) -> Machine | None:
        leading = [m for m in self.machines if m.replica is not None and m.replica.is_leader]
        return max(leading, key=lambda m: m.replica.term if m.replica else 0, default=None)

    def send(self, sender: Machine, receiver: Address, message: Any) -> None:
        if sender.address in self.cut_off or self.random.random() < LOST:
            return
        for _ in range(2 if self.random.random() < REPEATED else 1):
            delay = 0.002 + 0.01 * self.random.random()
            delay += 0.3 * self.random.random() if self.random.random() < LATE else 0.0
            self._sent += 1
            heapq.heappush(self._network, (self.now + delay, self._sent, receiver, message))

    def tick(self) -> None:
        """Let a tick pass, and all that is due in it happen."""
        self.now = round(self.now + TICK_S, 6)
        for machine in self.machines:
            machine.tick()
        while self._network and self._network[0][0] <= self.now:
            _, _, receiver, message = heapq.heappop(self._network)
            self._deliver(receiver, message)

    def _deliver(self, receiver: Address, message: Any) -> None:
        for machine in self.machines:
            if machine.address == receiver and receiver not in self.cut_off:
                machine.handle(events.MessageReceived(message))

    def new_token(self) -> int:
        self.token += 1
        return self.token
