"""Decides what the runs of one turn count against its program's budget.

An engine generates for as long as a request runs there, whether or not its caller gets it. So each
run has a reservation of its own, and one that may have run and did not end whole counts in full:
nobody tells what its engine generated. No I/O and no clock.
"""

import msgspec

RUN_MARK = "#"
"""Between a request's id and the number of a further run, in the id of that run's reservation. Ids
of requests come without it, as they are words in a header."""


class ReservedRun(msgspec.Struct, frozen=True):
    """One run's reservation in the store group, in tokens."""

    reservation_id: str
    most_tokens: int


class SpentRun(msgspec.Struct, frozen=True):
    """What one run's reservation is settled with, in tokens."""

    reservation_id: str
    tokens: int


class TurnRuns:
    """The runs of one turn: what each reserved, and what each counts in the end.

    Parameters
    ----------
    request_id
        Names the first run's reservation.
    most_tokens
        The most that an engine generates for the whole turn.
    """

    def __init__(self, request_id: str, most_tokens: int) -> None:
        self._request_id = request_id
        self._most_tokens = most_tokens
        self._runs: list[ReservedRun] = []

    @property
    def count(self) -> int:
        """Reservations that were asked for."""
        return len(self._runs)

    def add(self, passed_on_tokens: int = 0) -> ReservedRun:
        """Return the reservation of another run, which goes on behind what its caller has got."""
        number = self.count + 1
        suffix = f"{RUN_MARK}{number}" if number > 1 else ""
        most_tokens = max(0, self._most_tokens - passed_on_tokens)
        run = ReservedRun(self._request_id + suffix, most_tokens)
        self._runs.append(run)
        return run

    def spent(
        self, possible_runs: int, passed_on_tokens: int, whole_run_tokens: int | None
    ) -> tuple[SpentRun, ...]:
        """Return what each reservation is settled with.

        Parameters
        ----------
        possible_runs
            Runs that may have been begun; those beyond them count nothing.
        passed_on_tokens
            What the caller has got of all runs.
        whole_run_tokens
            What the last run generated, if it ended whole; ``None`` if that isn't known.
        """
        spent = [
            SpentRun(run.reservation_id, run.most_tokens if number < possible_runs else 0)
            for number, run in enumerate(self._runs)
        ]
        if whole_run_tokens is not None and spent:
            spent[-1] = SpentRun(spent[-1].reservation_id, whole_run_tokens)
        return _raised_to(spent, passed_on_tokens)


def _raised_to(spent: list[SpentRun], passed_on_tokens: int) -> tuple[SpentRun, ...]:
    """Return the same, but no less in all than the caller got: an engine may exceed its most."""
    missing = passed_on_tokens - sum(run.tokens for run in spent)
    if missing > 0 and spent:
        spent[-1] = SpentRun(spent[-1].reservation_id, spent[-1].tokens + missing)
    return tuple(spent)
