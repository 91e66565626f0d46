"""Retry budget: retries stay a small share of the requests, so that they never storm."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryBudgetConfig:
    """Size of a retry budget.

    Attributes
    ----------
    retries_per_request
        What each first attempt adds to the budget.
    max_retries
        Most retries that may be saved up, and what a new budget starts with.
    """

    retries_per_request: float = 0.1
    max_retries: float = 10.0


class RetryBudget:
    """Counts first attempts of one back end and says whether a retry is affordable."""

    def __init__(self, config: RetryBudgetConfig | None = None) -> None:
        self._config = config or RetryBudgetConfig()
        self._saved = self._config.max_retries

    def record_request(self) -> None:
        """Note a first attempt."""
        self._saved = min(self._saved + self._config.retries_per_request, self._config.max_retries)

    def try_spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
