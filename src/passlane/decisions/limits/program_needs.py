"""Answers how many requests a program needs, learnt by the route on which it begins.

It is for ``quota_ledger``, which lets programs begin only while their needs fit a limit. It owns
counts of programs, turns and calls, the older the less they weigh, and relies on being told of
each request that is asked for. Amounts are requests.
"""

import msgspec

from passlane.messages.quotas import QuotaUse

EXPECTED_TURNS = 5.0
"""Turns of a program before any were seen: known programs take 3 to 11. Not measured; chosen."""
EXPECTED_PROGRAMS = 10.0
"""Weight of that expectation, in programs. Not measured; chosen."""
FORGET_SHARE = 0.99
"""Share of what was seen that still counts after one more program has begun. Programs that
have just begun have taken few of their turns, so some hundred are looked back on. Not measured;
chosen."""


class _Seen(msgspec.Struct):
    """Programs and turns on one route; the older the less they count."""

    programs: float = EXPECTED_PROGRAMS
    turns: float = EXPECTED_PROGRAMS * EXPECTED_TURNS


class ProgramNeeds:
    """Turns of a program by route, and tool calls for each turn over all routes.

    Routes of turns are few: those that a configuration has.
    """

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}
        self._all = _Seen()
        self._calls = 0.0

    def note(self, route: str, use: QuotaUse) -> None:
        """Note a request that was asked for; ``route`` is empty for calls that are no turns."""
        if use is QuotaUse.ALONE:
            return
        if not route:
            self._calls += 1
            return
        for seen in (self._seen.setdefault(route, _Seen()), self._all):
            if use is QuotaUse.BEGIN_PROGRAM:
                seen.programs = seen.programs * FORGET_SHARE + 1
                seen.turns *= FORGET_SHARE
            seen.turns += 1
        if use is QuotaUse.BEGIN_PROGRAM:
            self._calls *= FORGET_SHARE

    def forget_begun(self, route: str) -> None:
        """Take out a program that was noted as begun and had none of its turns."""
        if not route:
            return
        for seen in (self._seen.setdefault(route, _Seen()), self._all):
            seen.programs -= 1
            seen.turns -= 1

    def note_calls(self, count: int) -> None:
        """Note tool calls that were granted ahead."""
        self._calls += count

    def of(self, route: str) -> float:
        """Return the requests, turns and calls, of a program that begins on a route."""
        seen = self._seen.get(route, self._all)
        calls_per_turn = self._calls / self._all.turns
        return seen.turns / seen.programs * (1 + calls_per_turn)
