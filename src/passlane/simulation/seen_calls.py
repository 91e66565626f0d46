"""Tells which call a prompt or a tool run seen at a back end belongs to."""

from collections import Counter
from collections.abc import Iterator

from passlane.simulation.observer import Observations, SeenCall, SeenPrompt, SeenToolRun


def marker_of(content: str) -> str | None:
    """Return the marker of a caller's message: its first word, if that is one."""
    word = content.partition(" ")[0]
    return word if word.startswith("call:") else None


def markers_in(prompt: SeenPrompt) -> list[str]:
    """Return the markers of a prompt's messages from its caller, in their order."""
    found = (marker_of(turn.content) for turn in prompt.request.messages if turn.role == "user")
    return [marker for marker in found if marker is not None]


def program_of(marker: str) -> str:
    """Return the program's id in a marker ``call:PROGRAM:SEQUENCE``."""
    return marker.removeprefix("call:").rpartition(":")[0]


def call_of_run(run: SeenToolRun) -> tuple[str, int] | None:
    """Return program and sequence number of a tool run, from its arguments' marker."""
    marker = run.arguments.partition('"call:')[2].partition('"')[0]
    program, _, sequence = marker.rpartition(":")
    return (program, int(sequence)) if program else None


def count_runs(seen: Observations) -> Counter[tuple[str, int]]:
    """Return how often the tool call of a program and sequence number ran."""
    return Counter(key for run in seen.tool_runs if (key := call_of_run(run)) is not None)


def all_calls(seen: Observations) -> Iterator[SeenCall]:
    """Yield the calls of all programs."""
    for program in seen.programs.values():
        yield from program.calls
