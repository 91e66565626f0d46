"""The seeded load of each recorded machine, by the name of its digest file."""

from collections.abc import Callable, Iterator

from recorded_decisions.engine_choice_load import engine_choice_steps
from recorded_decisions.node_load_load import node_load_steps
from recorded_decisions.program_admission_load import program_admission_steps
from recorded_decisions.quota_ledger_load import quota_ledger_steps
from recorded_decisions.recording import Step
from recorded_decisions.room_load import room_steps
from recorded_decisions.scheduler_load import scheduler_steps
from recorded_decisions.turn_scheduler_load import turn_scheduler_steps

LOADS: dict[str, Callable[[], Iterator[Step]]] = {
    "engine_choice": engine_choice_steps,
    "node_load": node_load_steps,
    "program_admission": program_admission_steps,
    "quota_ledger": quota_ledger_steps,
    "room": room_steps,
    "scheduler": scheduler_steps,
    "turn_scheduler": turn_scheduler_steps,
}
