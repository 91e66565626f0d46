"""Defects in how changes of configuration are decided."""

import msgspec

from passlane.control.state.idempotency import IdempotencyTable, KeyedResult, RetainedCommand
from passlane.control.state.machine import ControlStateMachine
from passlane.messages.control import PutDocument
from passlane.simulation.defects.base import Defect, replacing
from passlane.simulation.replacement import Replacement

_put = ControlStateMachine._put


def _put_whatever_the_version(machine: ControlStateMachine, command: PutDocument) -> KeyedResult:
    """Apply a change as if it were based on the newest version."""
    newest = machine.ledger.newest(command.kind, command.name)
    version = newest.version if newest is not None and newest.body is not None else 0
    return _put(machine, msgspec.structs.replace(command, expected_version=version))


def _dump_no_keys(_table: IdempotencyTable) -> tuple[RetainedCommand, ...]:
    return ()


CONFIGURATION_DEFECTS = (
    Defect(
        "version-unchecked",
        "configuration",
        "racing-operators",
        0,
        "a change is made although the document has a newer version",
        replacing(Replacement(ControlStateMachine, "_put", _put_whatever_the_version)),
    ),
    Defect(
        "keys-lost-in-snapshot",
        "configuration",
        "resend-after-lost-answer",
        0,
        "a snapshot leaves the idempotency keys out",
        replacing(Replacement(IdempotencyTable, "dump", _dump_no_keys)),
    ),
)
"""Defects of the groups and of the configuration."""
