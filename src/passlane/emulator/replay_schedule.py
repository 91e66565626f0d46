"""When the lines of a trace are played, and which of them wait for each other."""

from collections.abc import Mapping, Sequence

from passlane.emulator.trace_files import NumberedAction
from passlane.identifiers import ProgramId
from passlane.messages.traces import FaultInjected, ProgramCreated


def played_times(actions: Sequence[NumberedAction], longest_pause_s: float) -> Mapping[int, float]:
    """Return when each line is played, by line number, in seconds from the start.

    Parameters
    ----------
    actions
        Lines with the times at which they were recorded.
    longest_pause_s
        Longer gaps between two neighbours in time are cut to this length.
    """
    played: dict[int, float] = {}
    recorded = 0.0
    now = 0.0
    for numbered in sorted(actions, key=lambda numbered: numbered.action.at_s):
        now += min(numbered.action.at_s - recorded, longest_pause_s)
        recorded = numbered.action.at_s
        played[numbered.number] = now
    return played


def dependent_chains(actions: Sequence[NumberedAction]) -> list[list[NumberedAction]]:
    """Return the lines that are played one after the other, in the order of their times.

    A program and its sub-agents are one chain; each fault is a chain by itself.
    """
    root_of: dict[ProgramId, ProgramId] = {}
    chains: dict[ProgramId | int, list[NumberedAction]] = {}
    for numbered in sorted(actions, key=lambda numbered: numbered.action.at_s):
        action = numbered.action
        if isinstance(action, FaultInjected):
            chains[numbered.number] = [numbered]
            continue
        if isinstance(action, ProgramCreated):
            root_of[action.program] = root_of.get(action.parent or action.program, action.program)
        chains.setdefault(root_of[action.program], []).append(numbered)
    return list(chains.values())
