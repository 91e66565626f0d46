"""Grants tenants' requests on the leader of the store group, and tells replicas what it granted.

It is for turns, their settlements and calls that are no turns. It owns when replicas are told;
what is granted is decided in ``decisions.limits.quota_ledger``, whose refusals the nodes log as
``quota_refused``. It relies on ``Leadership`` for replication.
"""

import anyio

from passlane.decisions.limits.quota_ledger import QuotaLedger
from passlane.errors import PasslaneError
from passlane.messages.quotas import QuotaAnswer, QuotaDraw, QuotaGranted, QuotaLimit
from passlane.messages.turns import NoteUsage
from passlane.observability.logging import get_logger
from passlane.turns.leadership import Leadership

USAGE_PERIOD_S = 0.15
"""Seconds after which the leader tells what it has granted to tenants; it tells at once where much
is untold, see ``QuotaLedger.must_tell``. Not measured; chosen."""

_log = get_logger(__name__)


class QuotaGrants:
    """Draws on tenants' limits, and the telling of what was granted."""

    def __init__(self, quotas: QuotaLedger, leadership: Leadership) -> None:
        self._quotas = quotas
        self._leadership = leadership
        self._telling = anyio.Lock()

    async def run(self) -> None:
        """Tell all replicas what was granted to tenants, while this one leads."""
        while True:
            await anyio.sleep(USAGE_PERIOD_S)
            if not self._leadership.is_held:
                continue
            try:
                async with self._telling:
                    await self._tell_now()
            except PasslaneError as error:
                # What is not told is little, and the allowed excess covers it.
                _log.info("usage_not_told", code=error.code.value)

    async def draw(self, draw: QuotaDraw) -> QuotaAnswer:
        """Grant or refuse; a grant may have to wait until replicas were told of others.

        Raises
        ------
        PasslaneError
            When they could not be told; nothing may be sent.
        """
        answer = self._quotas.draw(draw, anyio.current_time())
        if isinstance(answer, QuotaGranted) and self._quotas.must_tell(draw.limit):
            await self._tell_until_little_is_untold(draw.limit)
        return answer

    def note_sent(self, draw: QuotaDraw, granted_for: float) -> None:
        """Note that a request that was granted for a moment is sent now only."""
        self._quotas.note_sent(draw, granted_for, anyio.current_time())

    def give_back(self, draw: QuotaDraw) -> None:
        """Take back a request that was granted and will never be sent."""
        self._quotas.give_back(draw)

    async def _tell_until_little_is_untold(self, limit: QuotaLimit) -> None:
        """Return once replicas know of nearly all grants of a tenant, or raise."""
        async with self._telling:
            while self._quotas.must_tell(limit):
                await self._tell_now()

    async def _tell_now(self) -> None:
        """Tell all replicas what was granted; on return a majority holds it."""
        now = anyio.current_time()
        usages = self._quotas.usages_to_tell(now)
        if not usages:
            return
        told = NoteUsage(usages=usages, group_s=self._quotas.group_s(now))
        is_told = False
        try:
            await self._leadership.propose(told)
            is_told = True
        finally:
            # Without an answer it may be held by a majority or not; it is told once more then.
            self._quotas.note_told(usages, is_told=is_told)
