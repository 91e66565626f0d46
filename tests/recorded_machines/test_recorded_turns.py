"""Recorded runs of the turns' machine; the digests go once its shape has settled."""

import random
import unittest
from typing import Any, get_args

from passlane.messages.base import encode_message, message_decoder
from passlane.messages.quotas import TenantUsage
from passlane.messages.turns import (
    AdvanceAge,
    NoteUsage,
    ReserveTurn,
    RetainedTurn,
    SettleTurn,
    TurnCommand,
    TurnResult,
)
from passlane.turns.state.machine import TurnStateMachine
from recorded_machines.recording import Recording

KINDS: dict[type[Any], str] = {RetainedTurn: "turn", TenantUsage: "usage"}
COMMANDS = 4_000
SNAPSHOT_EVERY = 250
RETENTIONS_S = (0.0, 5.0, 20.0, 59.0, 61.0, 90.0)
_results = message_decoder(TurnResult)


class Load:
    """Programs whose turns go on from one another, settle, repeat and age."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.attempts: list[ReserveTurn] = []
        self.turns: list[str] = []
        self.number = 0

    def draw(self) -> TurnCommand:
        kind = self.random.random()
        if kind < 0.1:
            return AdvanceAge(seconds=self.random.choice((0.5, 1.0, 5.0, 15.0, 0.25)))
        if kind < 0.15:
            usage = TenantUsage(f"t{self.number % 5}", self.random.randrange(9), kind)
            return NoteUsage(usages=(usage,) * self.random.randrange(3), group_s=self.number / 7)
        if kind < 0.55 or not self.attempts:
            return self._reserve()
        return self._settle()

    def _some_turn(self) -> str | None:
        if not self.turns or self.random.random() < 0.3:
            return None
        recent = self.turns[-60:]
        return "never" if self.random.random() < 0.03 else self.random.choice(recent)

    def _reserve(self) -> ReserveTurn:
        if self.attempts and self.random.random() < 0.1:
            return self.random.choice(self.attempts[-20:])
        self.number += 1
        command = ReserveTurn(
            program_id=f"p{self.number // 30}.{self.random.randrange(6)}",
            attempt_id=f"a{self.number}",
            most_tokens=50 * self.random.randrange(1, 5),
            budget_tokens=self.random.choice((None, 300, 1_000)),
            previous=self._some_turn(),
            retention_s=self.random.choice(RETENTIONS_S),
        )
        self.attempts.append(command)
        return command

    def _settle(self) -> SettleTurn:
        attempt = self.random.choice(self.attempts[-20:])
        is_known = self.random.random() < 0.9
        return SettleTurn(
            program_id=attempt.program_id if is_known else f"q{self.number}",
            attempt_id=attempt.attempt_id,
            tokens=attempt.most_tokens * self.random.randrange(3) // 2,
            turn=self._kept(attempt) if self.random.random() < 0.8 else None,
            served_by=self.random.choice(("", "e1", "e2", "e3")),
        )

    def _kept(self, attempt: ReserveTurn) -> RetainedTurn:
        turn_id = f"t{attempt.attempt_id}"
        self.turns.append(turn_id)
        return RetainedTurn(
            turn_id=turn_id,
            previous=attempt.previous if attempt.previous != "never" else None,
            content=turn_id.encode() * self.random.randrange(4),
            retention_s=attempt.retention_s,
        )


def history_of(machine: TurnStateMachine, turn_id: str) -> bytes | None:
    """Return the history that ends with a turn; ``None`` if the machine lacks a part."""
    try:
        return machine.history_of(turn_id)
    except KeyError:
        return None


def run(recording: Recording, seed: int) -> None:
    """Apply a load, ask about what it named, and go on from a snapshot now and then."""
    load = Load(seed)
    told: list[Any] = []
    machine = TurnStateMachine(lambda usages, group_s: told.append([usages, group_s]))
    for number in range(COMMANDS):
        command = load.draw()
        result = machine.apply(number, encode_message(command))
        program = f"p{load.number // 30}.{load.random.randrange(6)}"
        known = [machine.knows_program(program), machine.last_engine(program)]
        histories = [history_of(machine, turn_id) for turn_id in load.turns[-3:]]
        given = [_results.decode(result), result, list(told), machine.age_s, known, histories]
        recording.note(command, given)
        told.clear()
        if number % SNAPSHOT_EVERY == 0:
            parts = list(machine.snapshot_parts())
            recording.note("snapshot", parts)
            recording.note("restored", len(list(machine.restore_parts(parts))))


class RecordedTurnsTest(unittest.TestCase):
    def test_programs_under_way(self) -> None:
        recording = Recording("turns", KINDS)
        recording.check(self, lambda: run(recording, 1))
        recording.require_reached(self, *get_args(TurnCommand), *get_args(TurnResult))


if __name__ == "__main__":
    unittest.main()
