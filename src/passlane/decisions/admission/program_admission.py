"""Answers when a new program begins, waits a moment, or is refused with a time to retry.

It is for services whose callers compete for too few slots. A program that is begun while there
is no room slows all that are under way, and then all come late and none is spared. So a new
program begins only when no turn that goes before it waits. One that can't begin soon is refused
at once, and its ``retry_after_s`` tells when there is expected to be room, from the programs
before it and the rate at which programs are begun, so that callers retry one after the other.
Who asked first comes first, also after a refusal.

It owns the refused programs whose time to retry is not over, and the rate at which programs
begin. It relies on ``new_programs`` for how many go before one, and on the scheduler of turns for
being told of each program that waits, leaves or begins.

Times are local monotonic seconds.
"""

import heapq
import math
from collections import Counter
from typing import NamedTuple

import msgspec

from passlane.decisions.admission.new_programs import NewProgram, NewPrograms
from passlane.decisions.inputs.turn_events import TurnAsked

LONGEST_HOLD_S = 0.5
"""Seconds. A program expected to begin within this time waits here. A retry takes its caller a
new connection and two ways more, and callers bear a silence of 2 s. Not measured; chosen."""
LONGEST_HOLD_AFTER_RETRY_S = 1.5
"""Seconds. A caller that retried when it was told to is not sent away again for less. Callers
leave a stream that is silent for 2 s; sent away too often, they give up the program. Not
measured; chosen."""
EARLY_TOLERANCE_S = 0.15
"""Seconds by which callers retry earlier than told and have still done as told: clocks and ways.
Not measured; chosen."""
RETRY_GRACE_S = 1.0
"""Seconds after its time to retry after which a caller is not waited for. Not measured; chosen."""
RATE_MEMORY_S = 1.5
"""Seconds over which the rate at which programs begin is taken: bursts begin and end within three
to seven. Not measured; chosen."""
SLOWEST_RATE_SHARE = 0.2
"""Share of what all slots could serve that the rate is not taken to be less than: while more
urgent programs take nearly all slots few others begin, but such times last for seconds only. Not
measured; chosen."""
SHORTEST_RETRY_S = 0.15
"""Seconds that a refused caller is told at least. Not measured; chosen."""
LONGEST_RETRY_S = 3.0
"""Seconds that a refused caller is told at most. Callers heed a told time up to a third of what
they have left, mostly 1.3 s; a longer wait is told so that they can turn elsewhere. Not measured;
chosen."""


class ExpectedStart(msgspec.Struct, frozen=True):
    """When a new program is expected to begin; what a refusal rests on.

    Attributes
    ----------
    programs_before
        New programs that go before it, refused ones included; ``waiting`` in the log line
        ``program_refused``.
    wait_s
        Until it begins, in seconds.
    """

    programs_before: int
    wait_s: float

    @property
    def retry_after_s(self) -> float:
        """Seconds after which its caller is told to retry."""
        return retry_after(self.wait_s)


def retry_after(wait_s: float) -> float:
    """Return after how many seconds a caller that would wait so long is told to retry."""
    return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, wait_s))


def hold_s(*, came_as_told: bool) -> float:
    """Return for how many seconds a new program waits here before it is refused."""
    return LONGEST_HOLD_AFTER_RETRY_S if came_as_told else LONGEST_HOLD_S


class _Refusal(NamedTuple):
    """What a refused program was told, in local time."""

    first_asked_at: float
    retry_at: float


class _Lapse(NamedTuple):
    """When a refused program that has not asked again is forgotten."""

    at: float
    program_id: str


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
    """New programs of one service: who was told to retry, and when the next can begin."""

    def __init__(self) -> None:
        self._refused: dict[str, _Refusal] = {}
        self._lapses: list[_Lapse] = []
        self._waiting: Counter[str] = Counter()
        self._programs = NewPrograms()
        self._rate = StartRate()

    def __len__(self) -> int:
        """Return how many programs were told to retry and have not."""
        return len(self._refused)

    def first_asked_at(self, program_id: str, now: float) -> float:
        """Return when a program asked first."""
        refusal = self._refused.get(program_id)
        return refusal.first_asked_at if refusal is not None else now

    def came_as_told(self, program_id: str, now: float) -> bool:
        """Whether a program that asks now was told to retry by now."""
        refusal = self._refused.get(program_id)
        return refusal is not None and now >= refusal.retry_at - EARLY_TOLERANCE_S

    def expected_start(
        self, asked: TurnAsked, asked_at: float, all_slots_per_s: float, now: float
    ) -> ExpectedStart:
        """Return when a program that asked first at ``asked_at`` is expected to begin.

        Parameters
        ----------
        all_slots_per_s
            Programs a second that all slots together could serve.
        """
        before = self.programs_before(asked, asked_at, now)
        return ExpectedStart(before, self.expected_wait_s(before, all_slots_per_s, now))

    def programs_before(self, asked: TurnAsked, asked_at: float, now: float) -> int:
        """Return how many new programs go before another that asked first at ``asked_at``."""
        self.forget_lapsed(now)
        return self._programs.count_before(_program_of(asked, asked_at))

    def expected_wait_s(self, before: int, all_slots_per_s: float, now: float) -> float:
        """Return the seconds until a program with so many before it is expected to begin."""
        slowest_per_s = SLOWEST_RATE_SHARE * all_slots_per_s
        return (before + 1) / max(slowest_per_s, self._rate.per_s(now))

    def note_waits(self, asked: TurnAsked, asked_at: float) -> None:
        """Note that a turn of a new program waits for a slot."""
        self._waiting[asked.program_id] += 1
        self._programs.put(_program_of(asked, asked_at))

    def note_waits_no_longer(self, program_id: str) -> None:
        """Note that a turn of a new program has left the queue, for whatever reason."""
        self._waiting[program_id] -= 1
        if self._waiting[program_id] > 0:
            return
        del self._waiting[program_id]
        if program_id not in self._refused:
            self._programs.drop(program_id)

    def note_begun(self, program_id: str, now: float) -> None:
        """Note that a program begins."""
        self._refused.pop(program_id, None)
        self._programs.drop(program_id)
        self._rate.note(now)

    def note_refused(
        self, asked: TurnAsked, asked_at: float, retry_after_s: float, now: float
    ) -> None:
        """Note that a program is told to retry after so many seconds."""
        retry_at = now + retry_after_s
        self._refused[asked.program_id] = _Refusal(asked_at, retry_at)
        heapq.heappush(self._lapses, _Lapse(retry_at + RETRY_GRACE_S, asked.program_id))
        self._programs.put(_program_of(asked, asked_at))

    def forget_lapsed(self, now: float) -> None:
        """Forget the refused programs that have not asked again in time."""
        while self._lapses and self._lapses[0].at < now:
            lapse = heapq.heappop(self._lapses)
            refusal = self._refused.get(lapse.program_id)
            if refusal is None or refusal.retry_at + RETRY_GRACE_S > lapse.at:
                continue
            del self._refused[lapse.program_id]
            if lapse.program_id not in self._waiting:
                self._programs.drop(lapse.program_id)


def _program_of(asked: TurnAsked, asked_at: float) -> NewProgram:
    return NewProgram(asked.program_id, asked.demand.urgency, asked.demand.tenant, asked_at)
