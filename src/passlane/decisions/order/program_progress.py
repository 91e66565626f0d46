"""Answers by when a program's next turn must begin, and whether the program loops.

It is for the order of turns (``turn_queue``). Nobody knows a program's graph. What its caller
tells is when it should be over, a multiple of what it takes on idle engines, so the time that it
has at its first turn grows with its length. What programs of a route were seen to need of that
time, and how many turns they made in it, is taken for the next ones.

It owns the programs that had a turn lately and the needs of their routes. It relies on being told
of each turn that asks, gets a slot and ends.

Times are local monotonic seconds.
"""

from collections import OrderedDict

import msgspec

ENDED_AFTER_S = 1.5
"""Seconds without a turn after which a program has ended: tool calls between two turns take up to
0.5 s, and a caller that was refused retries earlier. Not measured; chosen."""
FORGOTTEN_AFTER_S = 20.0
"""Seconds for which programs that ended are remembered, since one that looped may come again. Not
measured; chosen."""
SMOOTHING = 0.05
"""Weight of one program in what is known of its route. Not measured; chosen."""
NEED_SHARE_AT_FIRST = 0.7
"""Share of its time that a program is taken to need before any of its route has ended. Not
measured; chosen."""
TURNS_AT_FIRST = 4.0
"""Turns that a program is taken to make before any of its route has ended. Not measured; chosen."""
UNHURRIED_SHARE = 0.1
"""Programs that waited for slots for more than this share of their time tell nothing of what they
need. Not measured; chosen."""
LOOP_FACTOR = 4.0
"""A program with this many times the turns of its route's mean is taken to loop without end: of
programs with lognormal turns and sub-agents fewer than one in 100 has so many. Not measured;
chosen."""
FEWEST_LOOP_TURNS = 24
"""Turns up to which no program is taken to loop, whatever others make. Not measured; chosen."""
NO_DEADLINE_S = 10.0
"""Seconds that are assumed for a program whose caller told no time. Not measured; chosen."""
SHORTEST_TIME_S = 0.05
"""Seconds that a program has at least, so that shares of it are defined. Not measured; chosen."""


class ProgramProgress(msgspec.Struct):
    """What is known of one program.

    Attributes
    ----------
    time_s
        From its first turn until it should be over.
    turns
        Turns that have had a slot.
    waited_s
        Time that its turns have waited for slots; that until its first one, also if it was
        away because it was told to retry.
    used_last
        The engine that answered it last; empty if none has.
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
        """When it should be over."""
        return self.first_asked_at + self.time_s


class _RouteNeeds(msgspec.Struct):
    """What programs of one route were seen to need."""

    need_share: float = NEED_SHARE_AT_FIRST
    turns: float = TURNS_AT_FIRST
    turns_per_s: float = 0.0
    programs: int = 0

    def learn(self, program: ProgramProgress) -> None:
        """Take in a program that has ended."""
        self.programs += 1
        weight = max(SMOOTHING, 1.0 / self.programs)
        self.turns += weight * (program.turns - self.turns)
        self.turns_per_s += weight * (program.turns / program.time_s - self.turns_per_s)
        if program.waited_s <= UNHURRIED_SHARE * program.time_s:
            took_s = program.last_seen_at - program.first_asked_at
            share = min(1.0, took_s / program.time_s)
            self.need_share += weight * (share - self.need_share)


class ProgramTable:
    """Programs that had a turn lately, and the needs of their routes."""

    def __init__(self) -> None:
        self._programs: OrderedDict[str, ProgramProgress] = OrderedDict()
        self._ended: OrderedDict[str, ProgramProgress] = OrderedDict()
        self._needs: dict[str, _RouteNeeds] = {}

    def __len__(self) -> int:
        return len(self._programs)

    def see(
        self, program_id: str, route: str, time_left_s: float | None, now: float
    ) -> ProgramProgress:
        """Note that a program asks for something; return its progress."""
        self._sweep(now)
        program = self._programs.get(program_id) or self._ended.pop(program_id, None)
        if program is None:
            time_s = NO_DEADLINE_S if time_left_s is None else time_left_s
            program = ProgramProgress(route, now, max(time_s, SHORTEST_TIME_S))
        program.last_seen_at = now
        self._programs[program_id] = program
        self._programs.move_to_end(program_id)
        return program

    def note_placed(self, program_id: str, asked_at: float, now: float) -> None:
        """Note that a turn has a slot; until its first one a program has waited all the time."""
        program = self._programs.get(program_id)
        if program is None:
            return
        program.waited_s += now - (asked_at if program.turns else program.first_asked_at)
        program.turns += 1

    def note_end(self, program_id: str, served_by: str, now: float) -> None:
        """Note that a turn of a program has ended."""
        program = self._programs.get(program_id)
        if program is not None:
            program.last_seen_at = now
            program.used_last = served_by or program.used_last
            self._programs.move_to_end(program_id)

    def latest_start(self, program: ProgramProgress) -> float:
        """Return when a program's next turn must begin for it to be over in time."""
        needs = self._needs_of(program.route)
        expected_turns = max(1.0, needs.turns_per_s * program.time_s or needs.turns)
        left_share = max(1.0 / expected_turns, 1.0 - program.turns / expected_turns)
        return program.deadline_at - needs.need_share * program.time_s * left_share

    def is_looping(self, program: ProgramProgress) -> bool:
        """Whether a program has made far more turns than others of its route."""
        usual = self._needs_of(program.route).turns
        return program.turns > max(FEWEST_LOOP_TURNS, LOOP_FACTOR * usual)

    def engine_of_history(self, program: ProgramProgress, told: str) -> str:
        """Return the engine to which a program's next turn may return; empty if to none.

        A program that loops gets no slot beyond an engine's, which those that return get. For any
        other, what is known here is newer than what is replicated, which holds settlements back
        for a moment.

        Parameters
        ----------
        told
            What the replicated state holds; empty if it holds none.
        """
        if self.is_looping(program):
            return ""
        return program.used_last or told

    def mean_turns(self, route: str) -> float:
        """Return how many turns programs of a route make."""
        return self._needs_of(route).turns

    def _needs_of(self, route: str) -> _RouteNeeds:
        return self._needs.setdefault(route, _RouteNeeds())

    def _sweep(self, now: float) -> None:
        """Learn from programs that have ended, and forget those that ended long ago."""
        while self._programs:
            program_id, program = next(iter(self._programs.items()))
            if now - program.last_seen_at < ENDED_AFTER_S:
                break
            del self._programs[program_id]
            self._ended[program_id] = program
            if program.turns > 0 and not self.is_looping(program):
                self._needs_of(program.route).learn(program)
        while self._ended:
            program_id, program = next(iter(self._ended.items()))
            if now - program.last_seen_at < FORGOTTEN_AFTER_S:
                break
            del self._ended[program_id]
