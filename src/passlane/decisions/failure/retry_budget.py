"""Retry budget: limits retries to a small share of the requests to prevent retry storms."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryBudgetConfig:
    """Size of a retry budget.

    Attributes
    ----------
    retries_per_request
        Retries that each first attempt adds to the budget.
    max_retries
        Maximum of the budget, and its initial value.
    """

    retries_per_request: float = 0.1
    max_retries: float = 10.0


class RetryBudget:
    """Counts first attempts at one back end and decides whether a retry is allowed."""

    def __init__(self, config: RetryBudgetConfig | None = None) -> None:
        self._config = config or RetryBudgetConfig()
        self._available = self._config.max_retries

    def record_request(self) -> None:
        """Record a first attempt."""
        self._available = min(
            self._available + self._config.retries_per_request, self._config.max_retries
        )

    def try_spend(self) -> bool:
        """Spend one retry; return whether the budget had one."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
