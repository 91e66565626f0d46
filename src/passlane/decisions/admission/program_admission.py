"""Estimates when a new program can begin, and tracks refused programs until they retry.

Starting programs without free capacity would delay all programs under way. A new program that
can't begin soon is therefore refused with a ``retry_after_s`` computed from the number of programs
ahead of it and the rate at which programs begin. A refused program keeps its position in the order.

Owns the refused programs that may still retry, and the rate at which programs begin. The turn
scheduler reports each program that waits, leaves or begins. Times are local monotonic seconds.
"""

import heapq
import math
from collections import Counter
from typing import NamedTuple

import msgspec

from passlane.decisions.admission.new_programs import NewProgram, NewPrograms
from passlane.decisions.inputs.turn_events import TurnRequested

MAX_ADMISSION_WAIT_S = 0.5
"""Maximum wait of a new program before it is refused, below the 2 s after which callers abandon a
silent stream. A retry costs its caller a new connection and a round trip."""
MAX_ADMISSION_WAIT_AFTER_RETRY_S = 1.5
"""Maximum wait of a program that retried on schedule. Longer than ``MAX_ADMISSION_WAIT_S``, because
callers abandon a program after repeated refusals."""
EARLY_RETRY_TOLERANCE_S = 0.15
"""Time by which a retry may precede its retry-after time and still be on schedule; allows for
clock differences and network delay."""
RETRY_GRACE_S = 1.0
"""Time after the retry-after time until a refused program that has not retried expires."""
RATE_TIME_CONSTANT_S = 1.5
"""Time constant of the exponentially decaying start rate, shorter than a burst of programs."""
MIN_RATE_SHARE = 0.2
"""Lower bound of the start rate, as a share of what all slots could serve. Few programs begin while
more urgent ones use nearly all slots, but that lasts only for seconds."""
MIN_RETRY_S = 0.15
"""Lower bound of ``retry_after_s``."""
MAX_RETRY_S = 3.0
"""Upper bound of ``retry_after_s``. It may exceed what callers are willing to wait (a third of
their remaining time, mostly 1.3 s), so that they can choose another service."""


class ExpectedStart(msgspec.Struct, frozen=True):
    """Estimate of when a new program begins, used to refuse it.

    Attributes
    ----------
    programs_before
        Number of new programs ahead of it, including refused ones; ``waiting`` in the log line
        ``program_refused``.
    wait_s
        Expected time until it begins, in seconds.
    """

    programs_before: int
    wait_s: float

    @property
    def retry_after_s(self) -> float:
        """Retry-after time for its caller, in seconds."""
        return retry_after(self.wait_s)


def retry_after(wait_s: float) -> float:
    """Return the retry-after time for an expected wait, in seconds."""
    return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))


def hold_s(*, retried_on_schedule: bool) -> float:
    """Return the maximum wait of a new program before it is refused, in seconds.

    Parameters
    ----------
    retried_on_schedule
        Whether its caller retried at the given retry-after time.
    """
    return MAX_ADMISSION_WAIT_AFTER_RETRY_S if retried_on_schedule else MAX_ADMISSION_WAIT_S


class _Refusal(NamedTuple):
    """First request and retry-after time of a refused program, in local time."""

    first_asked_at: float
    retry_at: float


class _RefusalExpiry(NamedTuple):
    """Time at which a refused program that has not retried expires."""

    at: float
    program_id: str


class StartRate:
    """Exponentially decaying rate at which programs begin."""

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_at = 0.0

    def note(self, now: float) -> None:
        """Record that a program begins."""
        self._decay(now)
        self._count += 1.0

    def per_s(self, now: float) -> float:
        """Return the rate in programs per second."""
        self._decay(now)
        return self._count / RATE_TIME_CONSTANT_S

    def _decay(self, now: float) -> None:
        self._count *= math.exp(-max(0.0, now - self._counted_at) / RATE_TIME_CONSTANT_S)
        self._counted_at = now


class ProgramAdmission:
    """New programs of one service: waiting and refused programs, and expected start times."""

    def __init__(self) -> None:
        self._refused: dict[str, _Refusal] = {}
        self._expiries: list[_RefusalExpiry] = []
        self._waiting: Counter[str] = Counter()
        self._programs = NewPrograms()
        self._rate = StartRate()

    def __len__(self) -> int:
        """Return the number of refused programs that have not begun or expired."""
        return len(self._refused)

    def first_asked_at(self, program_id: str, now: float) -> float:
        """Return the time of a program's first request; ``now`` if it was not refused before."""
        refusal = self._refused.get(program_id)
        return refusal.first_asked_at if refusal is not None else now

    def retried_on_schedule(self, program_id: str, now: float) -> bool:
        """Return whether a program that was refused retries no earlier than it was told to.

        A retry may be early by ``EARLY_RETRY_TOLERANCE_S``.
        """
        refusal = self._refused.get(program_id)
        return refusal is not None and now >= refusal.retry_at - EARLY_RETRY_TOLERANCE_S

    def expected_start(
        self, asked: TurnRequested, asked_at: float, all_slots_per_s: float, now: float
    ) -> ExpectedStart:
        """Return the expected start of a program whose first request was at ``asked_at``.

        Parameters
        ----------
        asked
            The program's turn.
        asked_at
            Time of the program's first request.
        all_slots_per_s
            Programs per second that all slots together could serve.
        now
            Current time.
        """
        before = self.programs_before(asked, asked_at, now)
        return ExpectedStart(before, self.expected_wait_s(before, all_slots_per_s, now))

    def programs_before(self, asked: TurnRequested, asked_at: float, now: float) -> int:
        """Return the number of new programs ahead of one first requested at ``asked_at``."""
        self.forget_lapsed(now)
        return self._programs.count_before(_program_of(asked, asked_at))

    def expected_wait_s(self, before: int, all_slots_per_s: float, now: float) -> float:
        """Return the expected wait of a program with ``before`` programs ahead, in seconds."""
        min_per_s = MIN_RATE_SHARE * all_slots_per_s
        return (before + 1) / max(min_per_s, self._rate.per_s(now))

    def note_waits(self, asked: TurnRequested, asked_at: float) -> None:
        """Record that a turn of a new program waits for a slot."""
        self._waiting[asked.program_id] += 1
        self._programs.put(_program_of(asked, asked_at))

    def note_waits_no_longer(self, program_id: str) -> None:
        """Record that a turn of a new program left the queue for any reason."""
        self._waiting[program_id] -= 1
        if self._waiting[program_id] > 0:
            return
        del self._waiting[program_id]
        if program_id not in self._refused:
            self._programs.drop(program_id)

    def note_begun(self, program_id: str, now: float) -> None:
        """Record that a program begins."""
        self._refused.pop(program_id, None)
        self._programs.drop(program_id)
        self._rate.note(now)

    def note_refused(
        self, asked: TurnRequested, asked_at: float, retry_after_s: float, now: float
    ) -> None:
        """Record that a program was refused with a retry-after time."""
        retry_at = now + retry_after_s
        self._refused[asked.program_id] = _Refusal(asked_at, retry_at)
        heapq.heappush(self._expiries, _RefusalExpiry(retry_at + RETRY_GRACE_S, asked.program_id))
        self._programs.put(_program_of(asked, asked_at))

    def forget_lapsed(self, now: float) -> None:
        """Remove refused programs that have not retried in time."""
        while self._expiries and self._expiries[0].at < now:
            expiry = heapq.heappop(self._expiries)
            refusal = self._refused.get(expiry.program_id)
            if refusal is None or refusal.retry_at + RETRY_GRACE_S > expiry.at:
                continue
            del self._refused[expiry.program_id]
            if expiry.program_id not in self._waiting:
                self._programs.drop(expiry.program_id)


def _program_of(asked: TurnRequested, asked_at: float) -> NewProgram:
    return NewProgram(asked.program_id, asked.demand.urgency, asked.demand.tenant, asked_at)
