"""Counts the tokens of the runs of one turn against its program's budget.

An engine generates tokens whether or not the caller receives them, so each run has its own
reservation. A run that may have started and has no complete response counts in full, because its
generated tokens are unknown. No I/O and no clock.
"""

import msgspec

RUN_NUMBER_SEPARATOR = "#"
"""Separates the request id from the run number in the reservation id of a retried run. Request
ids can't contain it."""


class ReservedRun(msgspec.Struct, frozen=True):
    """Reservation of one run in the store group, in tokens."""

    reservation_id: str
    most_tokens: int


class SpentRun(msgspec.Struct, frozen=True):
    """Tokens with which the reservation of one run is settled."""

    reservation_id: str
    tokens: int


class TurnRuns:
    """The runs of one turn, with their reservations and final token counts.

    Parameters
    ----------
    request_id
        Reservation id of the first run.
    max_tokens
        Maximum tokens that an engine generates for the whole turn.
    """

    def __init__(self, request_id: str, max_tokens: int) -> None:
        self._request_id = request_id
        self._max_tokens = max_tokens
        self._runs: list[ReservedRun] = []

    @property
    def count(self) -> int:
        """Number of reservations requested."""
        return len(self._runs)

    def add(self, passed_on_tokens: int = 0) -> ReservedRun:
        """Return the reservation of another run, less the tokens already forwarded."""
        number = self.count + 1
        suffix = f"{RUN_NUMBER_SEPARATOR}{number}" if number > 1 else ""
        max_tokens = max(0, self._max_tokens - passed_on_tokens)
        run = ReservedRun(self._request_id + suffix, max_tokens)
        self._runs.append(run)
        return run

    def spent(
        self, possible_runs: int, passed_on_tokens: int, whole_run_tokens: int | None
    ) -> tuple[SpentRun, ...]:
        """Return the tokens with which each reservation is settled.

        Parameters
        ----------
        possible_runs
            Runs that may have started; later ones count 0 tokens.
        passed_on_tokens
            Tokens of all runs that were forwarded to the caller.
        whole_run_tokens
            Tokens that the last run generated, if its response is complete; ``None`` if unknown.
        """
        spent = [
            SpentRun(run.reservation_id, run.most_tokens if number < possible_runs else 0)
            for number, run in enumerate(self._runs)
        ]
        if whole_run_tokens is not None and spent:
            spent[-1] = SpentRun(spent[-1].reservation_id, whole_run_tokens)
        return _raise_to_forwarded(spent, passed_on_tokens)


def _raise_to_forwarded(spent: list[SpentRun], passed_on_tokens: int) -> tuple[SpentRun, ...]:
    """Raise the total to the forwarded tokens; an engine may exceed its maximum."""
    missing = passed_on_tokens - sum(run.tokens for run in spent)
    if missing > 0 and spent:
        spent[-1] = SpentRun(spent[-1].reservation_id, spent[-1].tokens + missing)
    return tuple(spent)
