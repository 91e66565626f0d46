"""Keeps a node's list of back ends up to date, within the rate for all nodes.

The leader of the control group has one node read the platform's list for all and
passes it on. A node whose list grows old, because that leader or the reader is out of
reach, reads for itself. Owns the times of these readings; the list itself is in
``decisions.backends.registry``. Lines: ``backends_changed``, ``backend_list_lost``.
"""

import random as random_module
from collections.abc import Awaitable, Callable, Sequence

import anyio

from passlane.decisions.backends.registry import BackendRegistry
from passlane.errors import PasslaneError
from passlane.messages.listing import BackendRecord
from passlane.observability.logging import get_logger
from passlane.relay.backends import BackendList

READ_PERIOD_S = 0.9
"""Seconds between two readings by the appointed reader. Measured as part of "one node reads the
list for all" only (``docs/measurements/platform-rounds.md``)."""
RATE_SHARE = 0.6
"""Share of the allowed rate that all nodes together use when each reads for itself. Not measured;
chosen."""
READ_TIMEOUT_S = 1.0
"""Seconds for one reading. Not measured; chosen."""
RETRY_PAUSE_S = 0.2
"""Seconds after a reading that failed. Not measured; chosen."""
STALE_AFTER_S = 2.0
"""Seconds. A list that nobody has confirmed for this long is read again by the node itself. Not
measured; chosen."""
WATCH_PERIOD_S = 0.25
"""Seconds between two looks at the list's age. Not measured; chosen."""
EARLIEST_READ_SHARE = 0.85
"""Nodes read up to this share of their period early, so that they part. Not measured; chosen."""

Report = Callable[[tuple[BackendRecord, ...]], Awaitable[None]]
"""Tells the leader of the control group what was read."""

_log = get_logger(__name__)


def own_period_s(node_count: int, rate_per_s: float) -> float:
    """Return how long a node waits between two readings when all of them read."""
    return max(READ_PERIOD_S, node_count / (RATE_SHARE * rate_per_s))


class BackendListReader:
    """Reads the list, as the appointed reader or when the list has grown old.

    Parameters
    ----------
    rate_per_s
        Calls that all nodes together may make.
    node_count
        Returns how many nodes there are.
    is_appointed
        Returns whether this node is to read for all.
    report
        Passes on what the appointed reader has read.
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
        self._is_lost = False
        self._taken_over: Sequence[BackendRecord] | None = None
        self._next_own_read_at = 0.0

    async def run(self) -> None:
        """Keep the list up to date until cancelled."""
        while True:
            if self._is_appointed():
                await self._read_for_all()
            else:
                await self._read_if_stale()

    def take_over(self, records: Sequence[BackendRecord], confirmed_at: float) -> None:
        """Use a list that was right at a local time; an older one has no effect."""
        updated_at = self._registry.updated_at
        if updated_at is not None and confirmed_at < updated_at:
            return
        if records is self._taken_over and self._registry.is_as_listed:
            self._registry.confirm(confirmed_at)
            return
        self._taken_over = records
        before = len(self._registry)
        gone = self._registry.update(records, confirmed_at)
        if gone or before != len(self._registry):
            _log.info(
                "backends_changed",
                backends=len(self._registry),
                gone=[record.incarnation for record in gone],
                age_s=round(anyio.current_time() - confirmed_at, 3),
            )

    async def _read_for_all(self) -> None:
        started = anyio.current_time()
        records = await self._read()
        if records is None:
            await anyio.sleep(RETRY_PAUSE_S)
            return
        await self._report(records)
        await anyio.sleep(max(0.0, started + READ_PERIOD_S - anyio.current_time()))

    async def _read_if_stale(self) -> None:
        now = anyio.current_time()
        updated_at = self._registry.updated_at
        is_stale = updated_at is None or now - updated_at > STALE_AFTER_S
        if is_stale and now >= self._next_own_read_at:
            records = await self._read()
            period_s = own_period_s(self._node_count(), self._rate_per_s)
            if records is None:
                period_s = max(RETRY_PAUSE_S, period_s / 2)
            self._next_own_read_at = now + period_s * self._random.uniform(EARLIEST_READ_SHARE, 1.0)
        await anyio.sleep(WATCH_PERIOD_S)

    async def _read(self) -> tuple[BackendRecord, ...] | None:
        """Read the list and use it; ``None`` if it can't be had."""
        started = anyio.current_time()
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                records = tuple(await self._source.read())
        except (PasslaneError, TimeoutError) as error:
            if not self._is_lost:
                _log.warning("backend_list_lost", reason=str(error))
            self._is_lost = True
            return None
        if self._is_lost:
            _log.info("backend_list_regained")
        self._is_lost = False
        self.take_over(records, started)
        return records
