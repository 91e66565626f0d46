"""Metrics of the replicated state of turns, on every replica of the store group.

They are for operators and are computed from ``TurnStateMachine.size``; no state is owned.
"""

from passlane.observability.metrics import Metrics
from passlane.turns.state.machine import TurnStateMachine


def register_state_metrics(metrics: Metrics, machine: TurnStateMachine) -> None:
    """Register the gauges of the state's age and of what it holds."""
    metrics.gauge(
        "turn_state_age_seconds", "Age of the state of turns as this replica has applied it"
    ).set_function(lambda: machine.age_s)
    metrics.gauge("retained_turns", "Turns that are stored").set_function(
        lambda: float(machine.size.turns)
    )
    metrics.gauge("retained_turn_bytes", "Bytes of the contents of stored turns").set_function(
        lambda: float(machine.size.turn_bytes)
    )
    metrics.gauge("stored_programs", "Programs whose spending is stored").set_function(
        lambda: float(machine.size.programs)
    )
    metrics.gauge(
        "resumable_output_bytes", "Bytes of the events of turns whose streams may be resumed"
    ).set_function(lambda: float(machine.size.output_bytes))
