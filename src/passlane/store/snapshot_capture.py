"""Takes the records of all programs as of one moment, while commands go on.

A snapshot of gigabytes takes seconds to encode, and the loop cannot stop for so long.
So records are taken one at a time; a program that is about to change before its turn
has its record taken at once. Records share the turns with the live program, so taking
one costs microseconds and little memory.
"""

from collections.abc import Iterable, Iterator

from passlane.identifiers import ProgramId
from passlane.messages.store import ProgramRecord
from passlane.store.program import StoredProgram


class SnapshotCapture:
    """The programs that a snapshot has still to take, in the order of their creation.

    Parameters
    ----------
    programs
        All programs at the moment of the snapshot.
    """

    def __init__(self, programs: Iterable[StoredProgram]) -> None:
        self._waiting = {program.program_id: program for program in programs}
        self._taken_early: dict[ProgramId, ProgramRecord] = {}

    def note_change(self, program: StoredProgram) -> None:
        """Take the record of a program that is about to change."""
        program_id = program.program_id
        if self._waiting.get(program_id) is program and program_id not in self._taken_early:
            self._taken_early[program_id] = program.to_record()

    def records(self) -> Iterator[ProgramRecord]:
        """Yield each program's record as of the moment of the snapshot, once."""
        for program_id in list(self._waiting):
            program = self._waiting.pop(program_id)
            early = self._taken_early.pop(program_id, None)
            yield program.to_record() if early is None else early
