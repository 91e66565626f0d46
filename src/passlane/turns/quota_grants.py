"""Draws on tenants' quotas on the leader of the store group, and replicates what was granted.

It is for turns, their settlements, and requests outside turns. It owns when grants are
replicated; ``decisions.limits.quota_ledger`` decides what is granted, and the nodes log its
refusals as ``quota_refused``. It relies on ``Leadership`` for replication.
"""

import anyio

from passlane.decisions.limits.quota_ledger import QuotaLedger
from passlane.errors import PasslaneError
from passlane.messages.quotas import QuotaAnswer, QuotaGranted, QuotaLimit, QuotaRequest
from passlane.messages.turns import NoteUsage
from passlane.observability.logging import get_logger
from passlane.turns.leadership import Leadership

USAGE_REPLICATION_INTERVAL_S = 0.15
"""Interval at which the leader replicates its grants; grants beyond the allowed bound
(``QuotaLedger.must_tell``) are replicated at once."""

_log = get_logger(__name__)


class QuotaGrants:
    """Draws on tenants' quotas and replicates the grants."""

    def __init__(self, quotas: QuotaLedger, leadership: Leadership) -> None:
        self._quotas = quotas
        self._leadership = leadership
        self._replication_lock = anyio.Lock()

    async def run(self) -> None:
        """Replicate the grants at intervals while this replica leads."""
        while True:
            await anyio.sleep(USAGE_REPLICATION_INTERVAL_S)
            if not self._leadership.is_leading:
                continue
            self._quotas.enter_term(self._leadership.term, anyio.current_time())
            try:
                async with self._replication_lock:
                    await self._replicate_usage()
            except PasslaneError as error:
                # The unreplicated grants stay within the excess that a limit allows.
                _log.info("usage_not_told", code=error.code.value)

    async def draw(self, draw: QuotaRequest) -> QuotaAnswer:
        """Grant or refuse a draw; a grant may wait until earlier ones are replicated.

        Raises
        ------
        PasslaneError
            When they could not be replicated; the request must not be sent.
        """
        answer = self._quotas.draw(draw, anyio.current_time())
        if isinstance(answer, QuotaGranted) and self._quotas.must_tell(draw.limit):
            await self._replicate_until_within_bound(draw.limit)
        return answer

    def record_sent(self, draw: QuotaRequest, scheduled_at: float) -> None:
        """Record that a request granted for ``scheduled_at`` (local time, s) is sent only now."""
        self._quotas.note_sent(draw, scheduled_at, anyio.current_time())

    def refund(self, draw: QuotaRequest) -> None:
        """Return the grant of a request that will never be sent."""
        self._quotas.refund(draw)

    async def _replicate_until_within_bound(self, limit: QuotaLimit) -> None:
        """Replicate until a tenant's unreplicated grants are within the bound, or raise."""
        async with self._replication_lock:
            while self._quotas.must_tell(limit):
                await self._replicate_usage()

    async def _replicate_usage(self) -> None:
        """Replicate the grants or the group's time; on return a majority has stored them."""
        now = anyio.current_time()
        usages = self._quotas.take_unreported(now)
        if not usages and not self._quotas.must_report_time(now):
            return
        command = NoteUsage(usages=usages, group_s=self._quotas.group_time_s(now))
        is_replicated = False
        try:
            await self._leadership.propose(command)
            is_replicated = True
        finally:
            # Without an answer the outcome is unknown, so the grants are replicated again.
            self._quotas.record_report(usages, is_reported=is_replicated)
