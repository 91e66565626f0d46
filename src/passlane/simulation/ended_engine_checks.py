"""Checks how many engines ended under one call."""

from collections import Counter

from passlane.decisions.failure.engine_ends import MAX_ENDED_ENGINES
from passlane.simulation.callers import HARMFUL_TEXT
from passlane.simulation.observer import Observations, SeenCall
from passlane.simulation.seen_calls import all_calls, markers_in


def calls_end_few_engines(seen: Observations) -> list[str]:
    """Check that no call went to an engine after the last one that may end under it.

    Each engine that runs a harmful call ends, so each one that got it counts. A node that is lost
    while it serves the call may have seen an end that nobody else has.
    """
    sent = Counter(
        markers_in(prompt)[-1]
        for prompt in seen.prompts
        if prompt.request.messages and HARMFUL_TEXT in prompt.request.messages[-1].content
    )
    allowed = {call.marker: MAX_ENDED_ENGINES + _cut_off_attempts(call) for call in all_calls(seen)}
    return [
        f"{marker}: went to {count} engines, which end under it; {allowed[marker]} may"
        for marker, count in sorted(sent.items())
        if count > allowed[marker]
    ]


def _cut_off_attempts(call: SeenCall) -> int:
    """Return the attempts of a call whose node was lost after it took them."""
    return sum(attempt.connected and not attempt.is_whole for attempt in call.attempts)
