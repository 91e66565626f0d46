"""Remembers which engine each program used last at this node."""

from collections import OrderedDict

MOST_PROGRAMS = 10_000


class ProgramPlaces:
    """Engines by program; those of programs that were not seen for longest are forgotten."""

    def __init__(self, most: int = MOST_PROGRAMS) -> None:
        self._most = most
        self._engines: OrderedDict[str, str] = OrderedDict()

    def engine_of(self, program_id: str) -> str | None:
        """Return the instance that a program used last, if it is remembered."""
        return self._engines.get(program_id)

    def note(self, program_id: str, instance_id: str) -> None:
        """Note that a program uses an instance now."""
        self._engines[program_id] = instance_id
        self._engines.move_to_end(program_id)
        if len(self._engines) > self._most:
            self._engines.popitem(last=False)
