"""Checks of what happens when back ends leave and nodes stop as planned."""

from passlane.simulation.observer import Observations
from passlane.simulation.seen_calls import all_calls

LEAVING_GRACE_S = 5.0
"""A back end that is leaving gets no new work after this many seconds."""


def leaving_back_ends_get_no_new_work(seen: Observations) -> list[str]:
    """Check that nothing new reaches a back end some seconds after it began to leave."""
    violations: list[str] = []
    for departure in seen.departures:
        limit = departure.time + LEAVING_GRACE_S
        violations += [
            f"{departure.name}: left at {departure.time:.3f}, got new work at {prompt.time:.3f}"
            for prompt in seen.prompts
            if prompt.engine == departure.name and prompt.time > limit
        ]
    return violations


def planned_stops_cut_nothing_off(seen: Observations) -> list[str]:
    """Check that calls in flight at a node that was stopped as planned came to their end."""
    violations: list[str] = []
    for stop in seen.planned_stops:
        for call in all_calls(seen):
            for attempt in call.attempts:
                in_flight = attempt.node == stop.node and attempt.sent_at < stop.began_at
                ended_at = attempt.ended_at
                ended_during = ended_at is not None and ended_at >= stop.began_at
                if in_flight and ended_during and attempt.connected and not attempt.is_whole:
                    violations.append(f"{call.marker}: was cut off by the stop of {stop.node}")
    return violations
