"""Counts one request against its tenant's limit, which applies to all nodes together.

Owns nothing: the node's share of a limit is in ``decisions.limits.allowances``, and the store
group stores the limit itself (``decisions.limits.quota_ledger``).
"""

import anyio

from passlane.decisions.limits.allowances import Allowances
from passlane.messages.quotas import (
    QuotaAnswer,
    QuotaGranted,
    QuotaLimit,
    QuotaPurpose,
    QuotaRequest,
)
from passlane.messages.turns import TurnSettled
from passlane.routes.tenants import Identity
from passlane.turns.client import ANSWER_TIMEOUT_S, TurnStoreClient


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

    Parameters
    ----------
    limit
        ``None`` if no limit applies to the request.
    allowances
        The node's allowances for all tenants.
    """

    def __init__(
        self, limit: QuotaLimit | None, allowances: Allowances, store: TurnStoreClient
    ) -> None:
        self.limit = limit
        self._allowances = allowances
        self._store = store

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
        if self.limit is None or self._allowances.spend(self.limit.tenant, now):
            return QuotaGranted()
        use = QuotaPurpose.CONTINUE_PROGRAM if is_in_program else QuotaPurpose.STANDALONE
        timeout_s = min(ANSWER_TIMEOUT_S, limit_at - now)
        return await self._store.draw_quota(
            QuotaRequest(limit=self.limit, use=use), timeout_s=timeout_s
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
