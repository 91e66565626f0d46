"""Reads the platform's list of back ends again and again, within the rate for all nodes."""

import random as random_module
from collections.abc import Callable, Sequence

import anyio

from passlane.errors import PasslaneError
from passlane.observability.logging import get_logger
from passlane.relay.backends import BackendList, BackendRecord
from passlane.relay.registry import BackendRegistry

SHORTEST_PERIOD_S = 0.9
RATE_SHARE = 0.6
"""Share of the allowed rate that all nodes together use in calm times."""
READ_TIMEOUT_S = 1.0
FIRST_RETRY_S = 0.2

_log = get_logger(__name__)


def read_period_s(node_count: int, rate_per_s: float, pages: int) -> float:
    """Return how long a node waits between two readings of the whole list."""
    return max(SHORTEST_PERIOD_S, node_count * pages / (RATE_SHARE * rate_per_s))


class BackendListReader:
    """Keeps the registry of back ends up to date.

    Parameters
    ----------
    rate_per_s
        Calls that all nodes together may make.
    node_count
        Returns how many nodes read the list.
    """

    def __init__(
        self,
        source: BackendList,
        registry: BackendRegistry,
        rate_per_s: float,
        node_count: Callable[[], int],
        random: random_module.Random,
    ) -> None:
        self._source = source
        self._registry = registry
        self._rate_per_s = rate_per_s
        self._node_count = node_count
        self._random = random
        self._is_lost = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            is_read = await self._read_once()
            period_s = read_period_s(self._node_count(), self._rate_per_s, 1)
            if not is_read:
                period_s = max(FIRST_RETRY_S, period_s / 2)
            await anyio.sleep(period_s * self._random.uniform(0.85, 1.0))

    async def _read_once(self) -> bool:
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                records = await self._source.read()
        except (PasslaneError, TimeoutError) as error:
            if not self._is_lost:
                _log.warning("backend_list_lost", reason=str(error))
            self._is_lost = True
            return False
        if self._is_lost:
            _log.info("backend_list_regained")
        self._is_lost = False
        self._take_over(records)
        return True

    def _take_over(self, records: Sequence[BackendRecord]) -> None:
        now = anyio.current_time()
        before = len(self._registry)
        gone = self._registry.update(records, now)
        if gone or before != len(self._registry):
            _log.info(
                "backends_changed",
                backends=len(self._registry),
                gone=[record.instance_id for record in gone],
            )
