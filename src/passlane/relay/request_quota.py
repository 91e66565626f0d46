"""Counts one request against its tenant's limit, which applies to all nodes together.

Owns nothing: the node's share of a limit is in ``decisions.limits.allowances``, and the store
group stores the limit itself (``decisions.limits.quota_ledger``).
"""

import anyio
from anyio.abc import TaskGroup

from passlane.decisions.limits.allowances import Allowances
from passlane.decisions.limits.quota_ledger import DELIVERY_JITTER_S
from passlane.errors import PasslaneError
from passlane.messages.quotas import (
    QuotaAnswer,
    QuotaGranted,
    QuotaLimit,
    QuotaPurpose,
    QuotaRequest,
)
from passlane.messages.turns import TurnSettled
from passlane.observability.logging import get_logger
from passlane.routes.tenants import Identity
from passlane.supervision.contained import run_contained
from passlane.turns.client import ANSWER_TIMEOUT_S, TurnStoreClient

_log = get_logger(__name__)


def limit_of(identity: Identity, version: int) -> QuotaLimit | None:
    """Return the limit that applies to a request; ``None`` without one."""
    tenant = identity.tenant
    if tenant is None or not tenant.is_limited:
        return None
    return QuotaLimit(
        tenant=tenant.name, rate_per_s=tenant.rate_per_s, burst=tenant.burst, version=version
    )


class RequestQuota:
    """What one request draws from its tenant's limit.

    1. A turn draws with its reservation.
    2. The settlement of a turn also draws for the tool calls that are likely to follow.
    3. Any other request uses the node's allowance, and draws from the store group if that is empty.
       If it then waits for a back end, the store group is told when it was sent.

    Parameters
    ----------
    limit
        ``None`` if no limit applies to the request.
    allowances
        The node's allowances for all tenants.
    tasks
        Task group for reports of late sends, which outlive a request.
    """

    def __init__(
        self,
        limit: QuotaLimit | None,
        allowances: Allowances,
        store: TurnStoreClient,
        tasks: TaskGroup,
    ) -> None:
        self.limit = limit
        self._allowances = allowances
        self._store = store
        self._tasks = tasks
        self._granted_at: float | None = None

    @property
    def store_outage_s(self) -> float:
        """Seconds for which the store group's leader has been in doubt; 0 while it is not."""
        return self._store.outage_s

    async def admit(self, *, is_in_program: bool, limit_at: float) -> QuotaAnswer:
        """Draw for a request that is not a turn.

        Raises
        ------
        PasslaneError
            When the store group did not answer; the request must not be sent.
        """
        now = anyio.current_time()
        if self.limit is None:
            return QuotaGranted()
        if self._allowances.spend(self.limit.tenant, now):
            self._granted_at = now
            return QuotaGranted()
        use = QuotaPurpose.CONTINUE_PROGRAM if is_in_program else QuotaPurpose.STANDALONE
        timeout_s = min(ANSWER_TIMEOUT_S, limit_at - now)
        answer = await self._store.draw_quota(
            QuotaRequest(limit=self.limit, use=use), timeout_s=timeout_s
        )
        if isinstance(answer, QuotaGranted):
            self._granted_at = anyio.current_time() + answer.start_after_s
        return answer

    def record_run(self, sent_at: float) -> None:
        """Record that the request was sent at ``sent_at`` and may have run.

        A grant counts from its own time. If the request was sent so much later that it may fall
        into another window, the store group is told in the background.
        """
        granted_at, self._granted_at = self._granted_at, None
        if self.limit is None or granted_at is None:
            return
        if sent_at - granted_at > DELIVERY_JITTER_S:
            self._tasks.start_soon(run_contained, self._report_late_send, self.limit, granted_at)

    async def _report_late_send(self, limit: QuotaLimit, granted_at: float) -> None:
        sent_after_s = anyio.current_time() - granted_at
        draw = QuotaRequest(limit=limit, use=None, sent_after_s=sent_after_s)
        try:
            await self._store.draw_quota(draw, timeout_s=ANSWER_TIMEOUT_S)
        except PasslaneError as error:
            # It counts from its grant then, as without a report.
            _log.info(
                "late_send_not_reported",
                tenant=limit.tenant,
                sent_after_s=round(sent_after_s, 3),
                code=error.code.value,
            )

    def draw_for_turn(self, route: str) -> QuotaRequest | None:
        """Return the draw for the reservation of a turn on a route.

        Only the store group can tell whether the turn is the first of its program.
        """
        if self.limit is None:
            return None
        return QuotaRequest(limit=self.limit, use=QuotaPurpose.BEGIN_PROGRAM, route=route)

    def draw_after_turn(self) -> QuotaRequest | None:
        """Return the draw for the settlement of a completed turn; ``None`` if none is needed."""
        if self.limit is None:
            return None
        ahead = self._allowances.prefetch_count(self.limit.tenant, anyio.current_time())
        return QuotaRequest(limit=self.limit, use=None, ahead=ahead) if ahead else None

    def record_settlement(self, settled: TurnSettled, asked_at: float) -> None:
        """Add what was granted with a settlement, which was requested at ``asked_at``."""
        if self.limit is not None:
            self._allowances.add_grant(self.limit.tenant, settled.ahead, asked_at)
