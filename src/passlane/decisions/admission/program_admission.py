"""When a new program begins, waits a moment, or is told to come back.

A program that is begun while there is no room slows all that are under way, and then all come
late and none is spared. So a new program begins only when no turn that goes before it waits.
One that can't begin soon is told at once when there is expected to be room, from the programs
before it and the rate at which programs are begun, so that callers come back one after the
other. Who asked first comes first, also after it was told to come back.
"""

import heapq
import math
from collections import Counter
from typing import NamedTuple

from passlane.decisions.admission.new_programs import NewProgram, NewPrograms
from passlane.decisions.inputs.turn_events import TurnAsked

LONGEST_HOLD_S = 0.5
"""A program expected to begin within this time waits here. To come back takes its caller a new
connection and two ways more, and callers bear a silence of 2 s."""
LONGEST_HOLD_AFTER_RETURN_S = 1.5
"""A caller that came back when it was told to is not sent away again for less. Callers leave a
stream that is silent for 2 s; sent away too often, they give up the program."""
EARLY_TOLERANCE_S = 0.15
"""Callers come back so much earlier than told and have still come as told: clocks and ways."""
PROMISE_KEPT_S = 1.0
"""A caller that has not come back so long after it was to come is not waited for."""
RATE_MEMORY_S = 1.5
"""The rate at which programs begin is that of the last seconds: bursts begin and end within
three to seven."""
SLOWEST_RATE_SHARE = 0.2
"""While more urgent programs take nearly all places, few others begin; the rate is not taken to
be less than this share of what all places could serve, since such times last for seconds."""
SHORTEST_RETRY_S = 0.15
LONGEST_RETRY_S = 3.0
"""Callers heed a told time up to a third of what they have left, mostly 1.3 s; a longer wait is
told so that they can turn elsewhere."""


def retry_after(wait_s: float) -> float:
    """Return when to tell a caller to come back that is expected to wait so long."""
    return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, wait_s))


class _Promise(NamedTuple):
    """A program that was told to come back."""

    first_asked_at: float
    come_back_at: float


class StartRate:
    """How many programs a second are begun, of late."""

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_at = 0.0

    def note(self, now: float) -> None:
        """Count a program that begins."""
        self._decay(now)
        self._count += 1.0

    def per_s(self, now: float) -> float:
        """Return the rate."""
        self._decay(now)
        return self._count / RATE_MEMORY_S

    def _decay(self, now: float) -> None:
        self._count *= math.exp(-max(0.0, now - self._counted_at) / RATE_MEMORY_S)
        self._counted_at = now


class ProgramAdmission:
    """New programs of one service: who was told to come back, and when the next can begin."""

    def __init__(self) -> None:
        self._promises: dict[str, _Promise] = {}
        self._lapses: list[tuple[float, str]] = []
        self._waiting: Counter[str] = Counter()
        self._programs = NewPrograms()
        self._rate = StartRate()

    def __len__(self) -> int:
        """Return how many programs were told to come back and have not."""
        return len(self._promises)

    def first_asked_at(self, program_id: str, now: float) -> float:
        """Return when a program asked first."""
        promise = self._promises.get(program_id)
        return promise.first_asked_at if promise is not None else now

    def came_as_told(self, program_id: str, now: float) -> bool:
        """Whether a program that asks now was told to come back by now."""
        promise = self._promises.get(program_id)
        return promise is not None and now >= promise.come_back_at - EARLY_TOLERANCE_S

    def programs_before(self, asked: TurnAsked, asked_at: float, now: float) -> int:
        """Return how many new programs go before another that asked first at ``asked_at``."""
        self.forget_lapsed(now)
        return self._programs.count_before(_program_of(asked, asked_at))

    def note_waits(self, asked: TurnAsked, asked_at: float) -> None:
        """Note that a turn of a new program waits for a place."""
        self._waiting[asked.program_id] += 1
        self._programs.put(_program_of(asked, asked_at))

    def note_waits_no_longer(self, program_id: str) -> None:
        """Note that a turn of a new program has left the queue, for whatever reason."""
        self._waiting[program_id] -= 1
        if self._waiting[program_id] > 0:
            return
        del self._waiting[program_id]
        if program_id not in self._promises:
            self._programs.drop(program_id)

    def expected_wait_s(self, before: int, all_places_per_s: float, now: float) -> float:
        """Return when a program with so many before it is expected to begin.

        Parameters
        ----------
        all_places_per_s
            Programs a second that all places together could serve.
        """
        slowest_per_s = SLOWEST_RATE_SHARE * all_places_per_s
        return (before + 1) / max(slowest_per_s, self._rate.per_s(now))

    def note_begun(self, program_id: str, now: float) -> None:
        """Note that a program begins."""
        self._promises.pop(program_id, None)
        self._programs.drop(program_id)
        self._rate.note(now)

    def note_refused(
        self, asked: TurnAsked, asked_at: float, retry_after_s: float, now: float
    ) -> None:
        """Note that a program is told to come back in so many seconds."""
        come_back_at = now + retry_after_s
        self._promises[asked.program_id] = _Promise(asked_at, come_back_at)
        heapq.heappush(self._lapses, (come_back_at + PROMISE_KEPT_S, asked.program_id))
        self._programs.put(_program_of(asked, asked_at))

    def forget_lapsed(self, now: float) -> None:
        """Forget the programs that have not come back in time."""
        while self._lapses and self._lapses[0][0] < now:
            lapsed_at, program_id = heapq.heappop(self._lapses)
            promise = self._promises.get(program_id)
            if promise is None or promise.come_back_at + PROMISE_KEPT_S > lapsed_at:
                continue
            del self._promises[program_id]
            if program_id not in self._waiting:
                self._programs.drop(program_id)


def _program_of(asked: TurnAsked, asked_at: float) -> NewProgram:
    return NewProgram(asked.program_id, asked.demand.urgency, asked.demand.tenant, asked_at)
