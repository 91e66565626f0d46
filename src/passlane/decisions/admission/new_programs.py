"""Counts the new programs that are ahead of another, both waiting and refused ones.

Owns one entry for each program that has not begun, sorted so that thousands of entries can be
counted quickly. ``program_admission`` reports each program that waits, begins, leaves or expires.

Times are local monotonic seconds.
"""

import bisect
from typing import NamedTuple


class NewProgram(NamedTuple):
    """A program that has not begun; ``asked_at`` is the time of its first request."""

    program_id: str
    urgency: int
    tenant: str
    asked_at: float


class NewPrograms:
    """Programs that have not begun, one entry each."""

    def __init__(self) -> None:
        self._programs: dict[str, NewProgram] = {}
        self._asked_at: dict[int, dict[str, list[float]]] = {}

    def put(self, program: NewProgram) -> None:
        """Add a program, or replace its entry."""
        self.drop(program.program_id)
        self._programs[program.program_id] = program
        tenants = self._asked_at.setdefault(program.urgency, {})
        bisect.insort(tenants.setdefault(program.tenant, []), program.asked_at)

    def drop(self, program_id: str) -> None:
        """Remove a program, if present."""
        program = self._programs.pop(program_id, None)
        if program is None:
            return
        tenants = self._asked_at[program.urgency]
        times = tenants[program.tenant]
        del times[bisect.bisect_left(times, program.asked_at)]
        if not times:
            del tenants[program.tenant]

    def count_before(self, program: NewProgram) -> int:
        """Return how many programs are ahead of a program, by the order of ``turn_queue``.

        1. All programs of higher urgency.
        2. Programs of the same urgency and tenant that did not request later.
        3. From each other tenant, programs of the same urgency: at most one more than in rule 2.
        """
        more_urgent = sum(
            len(times)
            for urgency, tenants in self._asked_at.items()
            if urgency < program.urgency
            for times in tenants.values()
        )
        tenants = self._asked_at.get(program.urgency, {})
        own = bisect.bisect_right(tenants.get(program.tenant, []), program.asked_at)
        own -= self._programs.get(program.program_id) == program
        others = (times for tenant, times in tenants.items() if tenant != program.tenant)
        return more_urgent + own + sum(min(len(times), own + 1) for times in others)
