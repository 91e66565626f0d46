"""Keeps a node's list of backends up to date, within the call rate allowed for all nodes.

The leader of the control group appoints one node to read the platform's list for all nodes, and
distributes it. A node whose list is stale, because the leader or the appointed node is
unreachable, reads the list itself. Owns the times of these reads; the list itself is in
``decisions.backends.registry``. Log lines: ``backends_changed``, ``backend_list_lost``. Metric:
``backend_list_failures``.
"""

import random as random_module
from collections.abc import Awaitable, Callable, Sequence

import anyio

from passlane.decisions.backends.registry import BackendRegistry
from passlane.errors import PasslaneError
from passlane.messages.listing import BackendRecord
from passlane.observability.logging import get_logger
from passlane.observability.metrics import Metrics
from passlane.relay.backends import BackendList

READ_INTERVAL_S = 0.9
"""Seconds between two reads by the appointed node."""
RATE_SHARE = 0.6
"""Share of the allowed call rate that all nodes together use when each of them reads."""
READ_TIMEOUT_S = 1.0
"""Timeout of one read, in seconds."""
READ_RETRY_DELAY_S = 0.2
"""Seconds to wait after a failed read."""
STALE_AFTER_S = 2.0
"""Seconds without confirmation after which a node reads the list itself."""
STALENESS_CHECK_INTERVAL_S = 0.25
"""Seconds between two checks whether the list is stale."""
MIN_READ_INTERVAL_SHARE = 0.85
"""Minimum share of the read interval that a node waits; the rest is random jitter."""

Report = Callable[[tuple[BackendRecord, ...]], Awaitable[None]]
"""Reports the list that was read to the leader of the control group."""

_log = get_logger(__name__)


def self_read_interval_s(node_count: int, rate_per_s: float) -> float:
    """Return the seconds between two reads by one node when all nodes read."""
    return max(READ_INTERVAL_S, node_count / (RATE_SHARE * rate_per_s))


class BackendListReader:
    """Reads the list as the appointed node, or when the list is stale.

    Parameters
    ----------
    rate_per_s
        Calls per second that all nodes together may make.
    node_count
        Returns the number of nodes.
    is_appointed
        Returns whether this node reads for all nodes.
    report
        Reports the list that the appointed node read.
    """

    def __init__(
        self,
        source: BackendList,
        registry: BackendRegistry,
        rate_per_s: float,
        node_count: Callable[[], int],
        is_appointed: Callable[[], bool],
        report: Report,
        random: random_module.Random,
    ) -> None:
        self._source = source
        self._registry = registry
        self._rate_per_s = rate_per_s
        self._node_count = node_count
        self._is_appointed = is_appointed
        self._report = report
        self._random = random
        self._is_unavailable = False
        self._applied: Sequence[BackendRecord] | None = None
        self._next_own_read_at = 0.0
        self._failures = 0

    async def run(self) -> None:
        """Keep the list up to date until cancelled.

        Raises
        ------
        Exception
            An unforeseen error, which is counted. The last list is kept, and the reader can run
            again.
        """
        try:
            while True:
                if self._is_appointed():
                    await self._read_for_all()
                else:
                    await self._read_if_stale()
        except Exception:
            self._failures += 1
            raise

    def define_metrics(self, metrics: Metrics) -> None:
        """Define the counter of unforeseen errors."""
        counter = metrics.counter(
            "backend_list_failures", "Unforeseen errors while the list of backends was read"
        )
        reported = 0

        def report() -> None:
            nonlocal reported
            counter.inc(self._failures - reported)
            reported = self._failures

        metrics.call_before_exposure(report)

    def apply(self, records: Sequence[BackendRecord], confirmed_at: float) -> None:
        """Apply a list that was valid at a local time; ignore it if the current list is newer."""
        updated_at = self._registry.updated_at
        if updated_at is not None and confirmed_at < updated_at:
            return
        if records is self._applied and self._registry.is_as_listed:
            self._registry.confirm(confirmed_at)
            return
        self._applied = records
        count_before = len(self._registry)
        removed = self._registry.update(records, confirmed_at)
        if removed or count_before != len(self._registry):
            _log.info(
                "backends_changed",
                backends=len(self._registry),
                gone=[record.incarnation for record in removed],
                age_s=round(anyio.current_time() - confirmed_at, 3),
            )

    async def _read_for_all(self) -> None:
        started = anyio.current_time()
        records = await self._read()
        if records is None:
            await anyio.sleep(READ_RETRY_DELAY_S)
            return
        await self._report(records)
        await anyio.sleep(max(0.0, started + READ_INTERVAL_S - anyio.current_time()))

    async def _read_if_stale(self) -> None:
        now = anyio.current_time()
        updated_at = self._registry.updated_at
        is_stale = updated_at is None or now - updated_at > STALE_AFTER_S
        if is_stale and now >= self._next_own_read_at:
            records = await self._read()
            period_s = self_read_interval_s(self._node_count(), self._rate_per_s)
            if records is None:
                period_s = max(READ_RETRY_DELAY_S, period_s / 2)
            self._next_own_read_at = now + period_s * self._random.uniform(
                MIN_READ_INTERVAL_SHARE, 1.0
            )
        await anyio.sleep(STALENESS_CHECK_INTERVAL_S)

    async def _read(self) -> tuple[BackendRecord, ...] | None:
        """Read the list and apply it; return ``None`` if it is unavailable."""
        started = anyio.current_time()
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                records = tuple(await self._source.read())
        except (PasslaneError, TimeoutError) as error:
            if not self._is_unavailable:
                reason = str(error) or f"not read within {READ_TIMEOUT_S:g} s"
                _log.warning("backend_list_lost", reason=reason)
            self._is_unavailable = True
            return None
        if self._is_unavailable:
            _log.info("backend_list_regained")
        self._is_unavailable = False
        self.apply(records, started)
        return records
