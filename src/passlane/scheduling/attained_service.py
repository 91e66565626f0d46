"""What is known of each program: service attained, where it ran, and its pauses."""

from collections import OrderedDict
from dataclasses import dataclass

from passlane.identifiers import EngineId, ProgramId


@dataclass(slots=True)
class ProgramProgress:
    """What a program has had so far.

    Attributes
    ----------
    attained_tokens
        Prompt tokens computed (not those found in a cache) and tokens generated.
    prefix_tokens
        Length of its history after the last call, in tokens.
    last_engine
        Where its last call ran.
    paused_at, expected_s
        Set while the program waits for a tool, with the usual length of the pause.
    """

    attained_tokens: int = 0
    prefix_tokens: int = 0
    last_engine: EngineId | None = None
    paused_at: float | None = None
    expected_s: float = 0.0
    active_calls: int = 0


class AttainedService:
    """Progress of the programs at this node; forgets the longest idle above a limit."""

    def __init__(self, max_programs: int) -> None:
        self._max_programs = max_programs
        self._programs: OrderedDict[ProgramId, ProgramProgress] = OrderedDict()

    def __len__(self) -> int:
        """Return how many programs are remembered."""
        return len(self._programs)

    def of(self, program_id: ProgramId) -> ProgramProgress:
        """Return the progress of a program, making a new one if there is none."""
        progress = self._programs.get(program_id)
        if progress is None:
            progress = ProgramProgress()
            self._programs[program_id] = progress
            self._forget_oldest()
        else:
            self._programs.move_to_end(program_id)
        return progress

    def get(self, program_id: ProgramId) -> ProgramProgress | None:
        """Return the progress of a program, or ``None`` if it is not known."""
        return self._programs.get(program_id)

    def forget(self, program_id: ProgramId) -> None:
        """Forget a program that has ended."""
        self._programs.pop(program_id, None)

    def _forget_oldest(self) -> None:
        while len(self._programs) > self._max_programs:
            self._programs.popitem(last=False)
