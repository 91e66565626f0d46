"""A consistent view of all programs for a snapshot, while commands continue (copy on write).

Encoding a large snapshot takes too long to block the event loop. Records are therefore
captured one at a time, and a program that is about to change is captured first. Records
share their turns with the live program, so a capture takes little time and memory.
"""

from collections.abc import Iterable, Iterator

from passlane.identifiers import ProgramId
from passlane.messages.store import ProgramRecord
from passlane.store.program import StoredProgram


class SnapshotCapture:
    """The programs that are not captured yet, in the order of their creation.

    Parameters
    ----------
    programs
        All programs at the start of the snapshot.
    """

    def __init__(self, programs: Iterable[StoredProgram]) -> None:
        self._uncaptured = {program.program_id: program for program in programs}
        self._captured_early: dict[ProgramId, ProgramRecord] = {}

    def capture_before_change(self, program: StoredProgram) -> None:
        """Capture a program that is about to change, unless it is captured already."""
        program_id = program.program_id
        if self._uncaptured.get(program_id) is program and program_id not in self._captured_early:
            self._captured_early[program_id] = program.to_record()

    def records(self) -> Iterator[ProgramRecord]:
        """Yield the record of each program once, as of the start of the snapshot."""
        for program_id in list(self._uncaptured):
            program = self._uncaptured.pop(program_id)
            early = self._captured_early.pop(program_id, None)
            yield program.to_record() if early is None else early
