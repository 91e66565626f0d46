"""Recorded runs of the control group's machine; the digests go once its shape has settled."""

import random
import unittest
from typing import Any, get_args

from passlane.configuration.documents import (
    ApplicationBody,
    DocumentBody,
    DocumentKind,
    DrainBody,
    DrainKind,
    EngineBody,
    PolicyBody,
    ServiceBody,
    TenantBody,
    ToolBody,
)
from passlane.configuration.ledger import ConfigurationLedger
from passlane.configuration.parsing import encode_body
from passlane.control.state.acceptance import AcceptanceTracker
from passlane.control.state.machine import ControlStateMachine
from passlane.errors import ErrorCode
from passlane.identifiers import NodeId, Revision
from passlane.messages.base import encode_message, message_decoder
from passlane.messages.common import Address
from passlane.messages.control import (
    AcceptRevision,
    ConfigurationDelta,
    ControlCommand,
    ControlDone,
    ControlRefusal,
    Document,
    MemberVersion,
    Progress,
    PutDocument,
    PutResult,
    RegionProgress,
    RegionReport,
    SetRegions,
    TargetInFlight,
    VersionConflict,
    WithdrawChange,
)
from recorded_machines.recording import Recording

KINDS: dict[type[Any], str] = {
    Document: "document",
    MemberVersion: "member",
    RegionProgress: "region progress",
    TargetInFlight: "in flight",
}
RESULTS = PutResult | VersionConflict | ControlDone | ControlRefusal
REFUSALS = (
    ErrorCode.BAD_REQUEST,
    ErrorCode.IDEMPOTENCY_MISMATCH,
    ErrorCode.INVALID_DOCUMENT,
    ErrorCode.NOT_FOUND,
    ErrorCode.QUEUE_FULL,
    ErrorCode.VERSION_CONFLICT,
)
COMMANDS = 3_000
REPORTS = 2_000
MAX_PENDING = 20
RETAINED_KEYS = 50
MAX_TOMBSTONES = 6
DELTA_BYTES = 600
_results = message_decoder(RESULTS)


class Load:
    """Operators that put, delete and withdraw, and a leader that accepts."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.machine = ControlStateMachine(
            max_pending_changes=MAX_PENDING, retained_keys=RETAINED_KEYS
        )
        self.machine.ledger = ConfigurationLedger(MAX_TOMBSTONES)
        self.sent: list[ControlCommand] = []

    def _is_drawn(self, share: float) -> bool:
        return self.random.random() < share

    def draw(self) -> ControlCommand:
        kind = self.random.random()
        if kind < 0.12 and self.sent:
            return self.random.choice(self.sent[-80:])
        if kind < 0.16:
            return SetRegions(tuple(self._name("region") for _ in range(3)))
        if kind < 0.24:
            return AcceptRevision(self._some_revision())
        key = f"key{len(self.sent) - int(self._is_drawn(0.03))}"
        key = "" if self._is_drawn(0.01) else key
        command = self._withdraw(key) if kind < 0.4 else self._put(key)
        self.sent.append(command)
        return command

    def _some_revision(self) -> Revision:
        held = self.machine.ledger.held_revision
        return Revision(max(0, held + self.random.randrange(-12, 3)))

    def _withdraw(self, key: str) -> WithdrawChange:
        return WithdrawChange(self._some_revision(), key)

    def _put(self, key: str) -> PutDocument:
        kind = self.random.choice(list(DocumentKind))
        name = "bad/name" if self._is_drawn(0.02) else self._name(kind.value)
        newest = self.machine.ledger.newest(kind.value, name)
        version = newest.version if newest is not None and newest.body is not None else 0
        version += int(self._is_drawn(0.08))
        body = None if self._is_drawn(0.25) else encode_body(self._body(kind))
        return PutDocument(
            kind="bad" if self._is_drawn(0.02) else kind.value,
            name=name,
            body="{" if self._is_drawn(0.02) else body,
            expected_version=version,
            idempotency_key=key,
        )

    def _name(self, prefix: str) -> str:
        return f"{prefix}{self.random.randrange(4)}"

    def _body(self, kind: DocumentKind) -> DocumentBody:
        match kind:
            case DocumentKind.SERVICE:
                policy = self._name("policy") if self._is_drawn(0.5) else None
                return ServiceBody(models=(self._name("m"),), tools=(), policy=policy)
            case DocumentKind.ENGINE:
                address = Address("h", self.random.randrange(9))
                return EngineBody(address=address, zone="z", models=(self._name("m"),))
            case DocumentKind.APPLICATION:
                tools = (ToolBody(name=self._name("t")),)
                return ApplicationBody(address=Address("h", 1), zone="z", tools=tools)
            case DocumentKind.TENANT:
                return TenantBody(service=self._name("service"))
            case DocumentKind.POLICY:
                return PolicyBody(source=self._name("source") * 20)
            case DocumentKind.DRAIN:
                target = self.random.choice(list(DrainKind))
                return DrainBody(target_kind=target, target=self._name(target.value))


def lacked_by(holder: ConfigurationLedger, machine: ControlStateMachine) -> ConfigurationDelta:
    """Return the first part of what a holder lacks."""
    held, floor = holder.held_revision, holder.floor_revision
    return machine.ledger.delta_since(held, floor, DELTA_BYTES)


def note_holder(
    recording: Recording, holder: ConfigurationLedger, delta: ConfigurationDelta
) -> None:
    """Give a holder a delta and note all that it holds then."""
    holder.apply_delta(delta)
    revisions = [holder.held_revision, holder.accepted_revision, holder.floor_revision]
    recording.note(delta, [revisions, holder.dump(), holder.newest_documents()])


def run_machine(recording: Recording, refused: set[str]) -> None:
    """Apply commands, give holders their deltas, and go on from a snapshot now and then.

    Codes of refusals are added to ``refused``.
    """
    load = Load(1)
    machine, draw = load.machine, load.random
    holder = ConfigurationLedger(MAX_TOMBSTONES)
    for number in range(COMMANDS):
        command = load.draw()
        result = machine.apply(number, encode_message(command))
        decoded = _results.decode(result)
        if isinstance(decoded, ControlRefusal):
            refused.add(decoded.code)
        held = Revision(max(0, machine.ledger.held_revision - draw.randrange(40)))
        floor = Revision(machine.ledger.floor_revision + draw.choice((0, 0, 0, -1, 1)))
        delta = machine.ledger.delta_since(held, floor, DELTA_BYTES)
        acceptable = machine.acceptable_revision(held)
        given = [decoded, result, machine.regions, acceptable, delta]
        recording.note([command, held, floor], given)
        if draw.random() < 0.2:
            note_holder(recording, holder, draw.choice((delta, lacked_by(holder, machine))))
        if number % 25 == 0:
            parts = list(machine.snapshot_parts())
            recording.note("snapshot", parts)
        if number % 100 == 0:
            recording.note("restored", len(list(machine.restore_parts(parts))))
    unreadable = machine.apply(COMMANDS, b"none")
    recording.note(b"none", [_results.decode(unreadable), unreadable])


def report(draw: random.Random, number: int) -> RegionReport:
    """Return a region's report, mostly of the newest term."""
    prepared = Revision(number // 20 + draw.randrange(4))
    laggards = tuple(MemberVersion(NodeId(f"n{n}"), prepared, Revision(n)) for n in range(2))
    in_flight = tuple(
        TargetInFlight(draw.choice(("engine", "node")), f"e{draw.randrange(3)}", draw.randrange(5))
        for _ in range(draw.randrange(4))
    )
    return RegionReport(
        region=f"r{draw.randrange(4)}",
        term=number // 300 - int(draw.random() < 0.1),
        held_revision=prepared,
        prepared_revision=prepared,
        revision_in_force=Revision(max(0, prepared - draw.randrange(3))),
        member_count=draw.randrange(5),
        laggards=laggards[: draw.randrange(3)],
        in_flight=in_flight,
    )


def run_acceptance(recording: Recording) -> None:
    """Record reports and ask how far revisions have come."""
    draw = random.Random(2)
    tracker = AcceptanceTracker()
    for number in range(REPORTS):
        now = number * 0.25
        if draw.random() < 0.01:
            tracker.clear()
        told = report(draw, number)
        is_kept = tracker.record(told, now)
        regions = [f"r{n}" for n in range(draw.randrange(6))]
        prepared = tracker.prepared_everywhere(regions)
        asked = Revision(max(0, prepared - draw.randrange(4)))
        accepted = Revision(max(0, prepared - draw.randrange(3)))
        later = now + draw.random()
        progress = tracker.progress(asked, accepted, regions, later)
        recording.note([told, regions, asked, accepted, later], [is_kept, prepared, progress])


class RecordedControlTest(unittest.TestCase):
    def test_machine(self) -> None:
        recording = Recording("control", KINDS)
        refused: set[str] = set()
        recording.check(self, lambda: run_machine(recording, refused))
        recording.require_reached(self, *get_args(ControlCommand), *get_args(RESULTS))
        self.assertEqual(refused, {code.value for code in REFUSALS})

    def test_acceptance(self) -> None:
        recording = Recording("control_acceptance", KINDS)
        recording.check(self, lambda: run_acceptance(recording))
        recording.require_reached(self, RegionReport, Progress, RegionProgress, TargetInFlight)


if __name__ == "__main__":
    unittest.main()
