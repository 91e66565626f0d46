"""The seeded load of each machine under record, by the name of its file of digests."""

from collections.abc import Callable, Iterator

from recorded_decisions.recording import Step
from recorded_decisions.turn_scheduler_load import turn_scheduler_steps

LOADS: dict[str, Callable[[], Iterator[Step]]] = {
    "turn_scheduler": turn_scheduler_steps,
}
