"""Estimates the latest start of a program's next turn, and detects programs that loop endlessly.

The structure of a program is unknown, but callers report a deadline. The share of the available
time and the number of turns that earlier programs of a route needed serve as the estimate for
later ones.

Owns the recently active programs and the statistics of their routes. The turn scheduler reports
each turn that is requested, placed or ended. Times are local monotonic seconds.
"""

from collections import OrderedDict

import msgspec

PROGRAM_IDLE_TIMEOUT_S = 1.5
"""Time without a turn after which a program counts as ended; exceeds the duration of tool calls and
the retry interval of refused callers."""
ENDED_RETENTION_S = 20.0
"""Time for which ended programs are retained, so that a loop that resumes is recognized."""
MIN_SAMPLE_WEIGHT = 0.05
"""Minimum weight of a new program in the moving averages of its route."""
INITIAL_NEED_SHARE = 0.7
"""Initial estimate of the share of its available time that a program needs."""
INITIAL_TURNS = 4.0
"""Initial estimate of the number of turns of a program."""
MAX_SAMPLE_WAIT_SHARE = 0.1
"""Maximum share of its available time that a program may have waited for slots to count as a sample
of the needed time."""
LOOP_FACTOR = 4.0
"""Multiple of the route's mean number of turns above which a program counts as an endless loop. Of
programs with lognormal turns and sub-agents fewer than one in 100 has as many."""
MIN_LOOP_TURNS = 24
"""Number of turns up to which no program counts as an endless loop."""
DEFAULT_TIME_S = 10.0
"""Available time that is assumed for a program without a deadline."""
MIN_TIME_S = 0.05
"""Minimum available time, so that shares of it are defined."""


class ProgramProgress(msgspec.Struct):
    """Progress of one program.

    Attributes
    ----------
    route
        Route of the program.
    first_asked_at
        Time of its first request.
    time_s
        Available time from its first request to its deadline, in seconds.
    turns
        Number of turns that have had a slot.
    waited_s
        Time that its turns have waited for slots, in seconds. For the first turn it includes
        the time between a refusal and the retry.
    used_last
        Engine that last served it; empty if none has.
    last_seen_at
        Time of the last request or end of a turn.
    """

    route: str
    first_asked_at: float
    time_s: float
    turns: int = 0
    waited_s: float = 0.0
    used_last: str = ""
    last_seen_at: float = 0.0

    @property
    def deadline_at(self) -> float:
        """Time by which it should end."""
        return self.first_asked_at + self.time_s


class _RouteStatistics(msgspec.Struct):
    """Moving averages over the programs of one route."""

    need_share: float = INITIAL_NEED_SHARE
    turns: float = INITIAL_TURNS
    turns_per_s: float = 0.0
    programs: int = 0

    def update(self, program: ProgramProgress) -> None:
        """Update the averages with a program that has ended."""
        self.programs += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self.programs)
        self.turns += weight * (program.turns - self.turns)
        self.turns_per_s += weight * (program.turns / program.time_s - self.turns_per_s)
        if program.waited_s <= MAX_SAMPLE_WAIT_SHARE * program.time_s:
            duration_s = program.last_seen_at - program.first_asked_at
            share = min(1.0, duration_s / program.time_s)
            self.need_share += weight * (share - self.need_share)


class ProgramTable:
    """Recently active programs, and the statistics of their routes."""

    def __init__(self) -> None:
        self._programs: OrderedDict[str, ProgramProgress] = OrderedDict()
        self._ended: OrderedDict[str, ProgramProgress] = OrderedDict()
        self._statistics: dict[str, _RouteStatistics] = {}

    def __len__(self) -> int:
        return len(self._programs)

    def see(
        self, program_id: str, route: str, time_left_s: float | None, now: float
    ) -> ProgramProgress:
        """Record a request of a program and return its progress.

        Parameters
        ----------
        program_id
            The program.
        route
            Route of the program.
        time_left_s
            Time until its deadline, in seconds; ``None`` if it has none.
        now
            Current time.
        """
        self._expire_programs(now)
        program = self._programs.get(program_id) or self._ended.pop(program_id, None)
        if program is None:
            time_s = DEFAULT_TIME_S if time_left_s is None else time_left_s
            program = ProgramProgress(route, now, max(time_s, MIN_TIME_S))
        program.last_seen_at = now
        self._programs[program_id] = program
        self._programs.move_to_end(program_id)
        return program

    def note_placed(self, program_id: str, asked_at: float, now: float) -> None:
        """Record that a turn got a slot; the first turn has waited since the first request."""
        program = self._programs.get(program_id)
        if program is None:
            return
        program.waited_s += now - (asked_at if program.turns else program.first_asked_at)
        program.turns += 1

    def note_end(self, program_id: str, served_by: str, now: float) -> None:
        """Record the end of a turn."""
        program = self._programs.get(program_id)
        if program is not None:
            program.last_seen_at = now
            program.used_last = served_by or program.used_last
            self._programs.move_to_end(program_id)

    def latest_start(self, program: ProgramProgress) -> float:
        """Return the latest time to begin a program's next turn for it to meet its deadline."""
        statistics = self._needs_of(program.route)
        expected_turns = max(1.0, statistics.turns_per_s * program.time_s or statistics.turns)
        remaining_share = max(1.0 / expected_turns, 1.0 - program.turns / expected_turns)
        return program.deadline_at - statistics.need_share * program.time_s * remaining_share

    def is_looping(self, program: ProgramProgress) -> bool:
        """Return whether a program has made far more turns than others of its route."""
        route_turns = self._needs_of(program.route).turns
        return program.turns > max(MIN_LOOP_TURNS, LOOP_FACTOR * route_turns)

    def engine_of_history(self, program: ProgramProgress, replicated_engine: str) -> str:
        """Return the engine that is likely to have cached a program's prefix; empty for none.

        1. None for a looping program: it must not use the extra slots for returning programs.
        2. The engine that served the program last, as far as this node has recorded.
        3. The engine of the replicated state, which may lag behind.

        Parameters
        ----------
        program
            Progress of the program.
        replicated_engine
            Engine in the replicated state; empty if there is none.
        """
        if self.is_looping(program):
            return ""
        return program.used_last or replicated_engine

    def mean_turns(self, route: str) -> float:
        """Return the mean number of turns of the programs of a route."""
        return self._needs_of(route).turns

    def _needs_of(self, route: str) -> _RouteStatistics:
        return self._statistics.setdefault(route, _RouteStatistics())

    def _expire_programs(self, now: float) -> None:
        """Update statistics with ended programs, and remove those past their retention."""
        while self._programs:
            program_id, program = next(iter(self._programs.items()))
            if now - program.last_seen_at < PROGRAM_IDLE_TIMEOUT_S:
                break
            del self._programs[program_id]
            self._ended[program_id] = program
            if program.turns > 0 and not self.is_looping(program):
                self._needs_of(program.route).update(program)
        while self._ended:
            program_id, program = next(iter(self._ended.items()))
            if now - program.last_seen_at < ENDED_RETENTION_S:
                break
            del self._ended[program_id]
