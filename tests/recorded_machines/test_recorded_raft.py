"""Recorded runs of a Raft group under faults; the digests go once Raft's shape has settled."""

import unittest
from typing import Any, get_args

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import (
    AnyRaftMessage,
    AppendRequest,
    EntryKind,
    GroupMember,
    GroupMembership,
    LogEntry,
    VoteRequest,
)
from passlane.raft import events, instructions
from passlane.raft.errors import RaftInvariantError
from passlane.raft.snapshot_data import ReceivedSnapshotData
from passlane.raft.voter_selection import VoterChangeReason
from recorded_machines.raft_group import GROUP, Group, Machine
from recorded_machines.recording import Recording

KINDS: dict[type[Any], str] = {
    events.TimeAdvanced: "time advanced",
    events.MessageReceived: "message received",
    events.CommandsProposed: "commands proposed",
    events.ReadRequested: "read requested",
    events.EntriesSynced: "entries synced",
    events.HardStateSynced: "hard state synced",
    events.SnapshotTaken: "snapshot taken",
    events.SnapshotInstalled: "snapshot installed",
    events.TransferRequested: "transfer requested",
    events.MemberAdded: "member added",
    events.MemberRemoved: "member removed",
    events.ReplicaOffered: "replica offered",
    events.ReplicaDecommissioned: "replica released",
    instructions.SaveHardState: "save hard state",
    instructions.AppendEntries: "append entries",
    instructions.SendMessage: "send message",
    instructions.SendSnapshotChunk: "send snapshot chunk",
    instructions.ApplyEntries: "apply entries",
    instructions.RejectProposals: "reject proposals",
    instructions.AllowRead: "allow read",
    instructions.RejectRead: "reject read",
    instructions.InstallSnapshot: "install snapshot",
    instructions.LeadershipChanged: "leadership changed",
    instructions.MembershipChanged: "membership changed",
    instructions.VoterChangeDecided: "place decided",
    GroupMember: "member",
    GroupMembership: "membership",
    LogEntry: "entry",
    ReceivedSnapshotData: "received snapshot",
    Address: "address",
}
OF_PLACES = {events.ReplicaOffered, events.ReplicaDecommissioned, instructions.VoterChangeDecided}
OF_OPERATORS = {events.MemberAdded, events.MemberRemoved}
ALL = {*get_args(events.Event), *get_args(instructions.Instruction), *get_args(AnyRaftMessage)}
OPERATOR_RUNS = 6
OPERATOR_TICKS = 700
ONE_FOUNDER_RUNS = 4
ONE_FOUNDER_TICKS = 400
SILENT_TICKS = 4_000
QUIET_S = 3.5
PLACES_RUNS = 6
PLACES_TICKS = 800


class Load:
    """Callers, operators and faults, drawn from the group's seed."""

    def __init__(self, group: Group) -> None:
        self.group = group
        self.random = group.random

    def run(self, ticks: int) -> None:
        for tick in range(ticks):
            self.group.tick()
            if self.random.random() < 0.2:
                self._call(self.random.choice(self.group.machines))
            if self.random.random() < 0.15:
                self._call(self.group.leader() or self.group.machines[0])
            if tick % 100 == 50:
                self._disturb()
            if tick % 40 == 30:
                self._change()
        self._break_rules()

    def _call(self, machine: Machine) -> None:
        if self.random.random() < 0.3:
            machine.handle(events.ReadRequested(self.group.new_token()))
            return
        tokens = tuple(self.group.new_token() for _ in range(self.random.randrange(1, 4)))
        commands = tuple(b"c%d" % t * self.random.randrange(1, 20) for t in tokens)
        machine.handle(events.CommandsProposed(tokens, commands))

    def _disturb(self) -> None:
        group = self.group
        machine = self.random.choice(group.machines)
        leader = group.leader() or machine
        group.cut_off.clear()
        kind = self.random.randrange(7)
        if kind == 0:
            machine.crash(self.random.random() * 2)
        elif kind == 1:
            leader.crash(self.random.random() * 3)
        elif kind == 2:
            group.cut_off.add(leader.address)
        elif kind == 3:
            group.cut_off.add(machine.address)
        elif kind == 4:
            leader.handle(events.TransferRequested())
        elif kind == 5:
            group.stalled = (leader.number, group.now + 4.0)
        else:
            self._ask_for_votes(machine)

    def _ask_for_votes(self, sender: Machine) -> None:
        """Let a machine that believes its term is newer ask all others at once."""
        term = sender.replica.term if sender.replica is not None else 0
        for receiver in self.group.machines:
            request = VoteRequest(
                group=GROUP,
                sender=sender.replica_id,
                receiver=receiver.replica_id,
                term=term + 1,
                sender_address=sender.address if self.random.random() < 0.5 else None,
                last_index=0,
                last_term=0,
            )
            receiver.handle(events.MessageReceived(request))

    def _change(self) -> None:
        raise NotImplementedError

    def _break_rules(self) -> None:
        """Tell a leader of another group, of a second leader, and of entries it lacks."""
        leader = self.group.leader()
        if leader is None:
            return
        second = self._append_request(leader)
        leader.handle(events.MessageReceived(msgspec.structs.replace(second, group="other")))
        leader.handle(events.MessageReceived(msgspec.structs.replace(second, term=0)))
        self._note_error(leader, events.MessageReceived(second))
        self._note_error(leader, events.SnapshotTaken(10**6, 1, b""))

    def _append_request(self, leader: Machine) -> AppendRequest:
        assert leader.replica is not None
        return AppendRequest(
            group=GROUP,
            sender=ReplicaId("second"),
            receiver=leader.replica_id,
            term=leader.replica.term,
            sender_address=Address("10.0.0.99", 1),
            previous_index=0,
            previous_term=0,
            commit_index=0,
        )

    def _note_error(self, machine: Machine, event: events.Event) -> None:
        try:
            machine.handle(event)
        except RaftInvariantError as error:
            self.group.recording.note(event, str(error))
            return
        raise AssertionError(f"no rule is broken by {event}")


class OperatorLoad(Load):
    """Adds and removes members of a group without bounded places."""

    def _change(self) -> None:
        leader = self.group.leader() or self.group.machines[0]
        machine = self.random.choice(self.group.machines)
        if self.random.random() < 0.15 and machine.number > 3:
            machine.crash(0.3)
            machine.wipe()
        token = self.group.new_token()
        kind = self.random.random()
        if kind < 0.04:
            leader.handle(events.MemberRemoved(token, leader.replica_id))
        elif kind < 0.2:
            leader.handle(events.MemberRemoved(token, machine.replica_id))
        else:
            leader.handle(events.MemberAdded(token, machine.replica_id, machine.address))


class PlacesLoad(Load):
    """Spares offer themselves; members are released, lose their files or move."""

    def _change(self) -> None:
        for machine in self.group.machines:
            is_quiet = (int(self.group.now / QUIET_S) + machine.number) % 3 == 0
            if not is_quiet:
                self._offer(machine)
        kind = self.random.random()
        machine = self.random.choice(self.group.machines)
        leader = self.group.leader() or machine
        if kind < 0.2:
            leader.handle(events.ReplicaDecommissioned(machine.replica_id))
        elif kind < 0.25 and machine is not leader:
            machine.crash(0.2)
            machine.wipe()
        elif kind < 0.35 and machine is not leader:
            machine.crash(0.5)
            machine.address = Address(machine.address.host, machine.address.port + 1)

    def _offer(self, machine: Machine) -> None:
        leader = self.group.leader()
        if leader is None or machine.replica is None or machine is leader:
            return
        lost = () if machine.life == 0 else (f"r{machine.number}.{machine.life - 1}",)
        zone = f"z{machine.number % 2}"
        offer = events.ReplicaOffered(machine.replica_id, machine.address, zone, lost)
        leader.handle(offer)


class SilentSparesLoad(Load):
    """Spares offer themselves in bursts and never answer: each is given up for another."""

    def run(self, ticks: int) -> None:
        leader = self.group.machines[0]
        for _ in range(ticks):
            self.group.tick()
            is_burst = self.group.now % 5.0 < 1.0
            if is_burst and self.random.random() < 0.15:
                spare = self.random.randrange(10)
                address = Address(f"10.0.1.{spare}", 1)
                offer = events.ReplicaOffered(ReplicaId(f"s{spare}"), address, f"z{spare % 3}")
                leader.handle(offer)


class RecordedRaftTest(unittest.TestCase):
    def test_group_with_operators(self) -> None:
        recording = Recording("raft_operators", KINDS)

        def run() -> None:
            for seed in range(OPERATOR_RUNS):
                group = Group(recording, seed, size=5, founders=3, places=None)
                OperatorLoad(group).run(OPERATOR_TICKS)

        recording.check(self, run)
        recording.require_reached(self, *(ALL - OF_PLACES), *EntryKind)

    def test_group_that_begins_with_one(self) -> None:
        recording = Recording("raft_one_founder", KINDS)

        def run() -> None:
            for seed in range(ONE_FOUNDER_RUNS):
                group = Group(recording, seed, size=3, founders=1, places=None)
                OperatorLoad(group).run(ONE_FOUNDER_TICKS)

        recording.check(self, run)
        recording.require_reached(self, *OF_OPERATORS, instructions.RejectProposals)

    def test_spares_that_never_answer(self) -> None:
        recording = Recording("raft_silent_spares", KINDS)

        def run() -> None:
            group = Group(recording, 1, size=1, founders=1, places=3)
            SilentSparesLoad(group).run(SILENT_TICKS)

        recording.check(self, run)
        recording.require_reached(
            self, VoterChangeReason.PLACE_FREE, VoterChangeReason.LEARNER_NOT_NEEDED
        )

    def test_group_with_bounded_places(self) -> None:
        recording = Recording("raft_places", KINDS)

        def run() -> None:
            for seed in range(PLACES_RUNS):
                group = Group(recording, seed, size=6, founders=3, places=3)
                PlacesLoad(group).run(PLACES_TICKS)

        recording.check(self, run)
        recording.require_reached(self, *(ALL - OF_OPERATORS), *EntryKind)
        recording.require_reached(self, *VoterChangeReason)


if __name__ == "__main__":
    unittest.main()
