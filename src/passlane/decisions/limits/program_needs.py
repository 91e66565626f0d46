"""Estimates how many requests a program needs, by the route on which it begins.

``quota_ledger`` uses it to admit new programs only while their needs fit the tenant's limit. It
owns exponentially decayed counts of programs, turns and tool calls, and must be given each
request that is drawn. Amounts are requests.
"""

import msgspec

from passlane.messages.quotas import QuotaPurpose

PRIOR_TURNS_PER_PROGRAM = 5.0
"""Turns per program that are assumed at the start; known programs take 3 to 11."""
PRIOR_PROGRAMS = 10.0
"""Weight of ``PRIOR_TURNS_PER_PROGRAM``, in programs."""
DECAY_FACTOR = 0.99
"""Factor by which the counts decay with each new program. It averages over about a hundred
programs, because recent ones have taken only a few of their turns."""


class _TurnCounts(msgspec.Struct):
    """Decayed counts of programs and turns on one route."""

    programs: float = PRIOR_PROGRAMS
    turns: float = PRIOR_PROGRAMS * PRIOR_TURNS_PER_PROGRAM


class ProgramNeeds:
    """Mean turns per program by route, and mean tool calls per turn over all routes.

    The number of routes is bounded by the configuration.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, _TurnCounts] = {}
        self._all_routes = _TurnCounts()
        self._tool_calls = 0.0

    def record(self, route: str, use: QuotaPurpose) -> None:
        """Record a requested draw; ``route`` is empty for tool calls."""
        if use is QuotaPurpose.STANDALONE:
            return
        if not route:
            self._tool_calls += 1
            return
        for counts in (self._by_route.setdefault(route, _TurnCounts()), self._all_routes):
            if use is QuotaPurpose.BEGIN_PROGRAM:
                counts.programs = counts.programs * DECAY_FACTOR + 1
                counts.turns *= DECAY_FACTOR
            counts.turns += 1
        if use is QuotaPurpose.BEGIN_PROGRAM:
            self._tool_calls *= DECAY_FACTOR

    def undo_begin(self, route: str) -> None:
        """Remove a program that was recorded as begun and then did not start."""
        if not route:
            return
        for counts in (self._by_route.setdefault(route, _TurnCounts()), self._all_routes):
            counts.programs -= 1
            counts.turns -= 1

    def record_advance_calls(self, count: int) -> None:
        """Record tool calls that were granted in advance."""
        self._tool_calls += count

    def estimate(self, route: str) -> float:
        """Return the expected turns and tool calls of a program that begins on a route."""
        counts = self._by_route.get(route, self._all_routes)
        calls_per_turn = self._tool_calls / self._all_routes.turns
        return counts.turns / counts.programs * (1 + calls_per_turn)
