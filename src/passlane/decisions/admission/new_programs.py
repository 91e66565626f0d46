"""Answers how many new programs go before another: those that wait, and those told to retry.

It is for ``program_admission``: each refusal rests on that number, with thousands of programs in
a crowd, so they are kept by the order in which they are counted. It owns one entry for each
program that has not begun, and relies on being told of each that begins, leaves or is forgotten.

Times are local monotonic seconds.
"""

import bisect
from typing import NamedTuple


class NewProgram(NamedTuple):
    """A program that has not begun; ``asked_at`` is when it asked first."""

    program_id: str
    urgency: int
    tenant: str
    asked_at: float


class NewPrograms:
    """Programs that have not begun, each one once."""

    def __init__(self) -> None:
        self._programs: dict[str, NewProgram] = {}
        self._asked_at: dict[int, dict[str, list[float]]] = {}

    def put(self, program: NewProgram) -> None:
        """Count a program, in place of what was known of it."""
        self.drop(program.program_id)
        self._programs[program.program_id] = program
        tenants = self._asked_at.setdefault(program.urgency, {})
        bisect.insort(tenants.setdefault(program.tenant, []), program.asked_at)

    def drop(self, program_id: str) -> None:
        """Count a program no longer."""
        program = self._programs.pop(program_id, None)
        if program is None:
            return
        tenants = self._asked_at[program.urgency]
        times = tenants[program.tenant]
        del times[bisect.bisect_left(times, program.asked_at)]
        if not times:
            del tenants[program.tenant]

    def count_before(self, program: NewProgram) -> int:
        """Return how many go before a program, by the order of ``turn_queue``.

        All that are more urgent do. Of those as urgent, those of its own tenant that asked no
        later do, and of each other tenant as many as that and one more.
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
