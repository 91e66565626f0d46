"""Counts one request against its tenant's limit over all nodes.

Owns nothing: the node's part of a limit is in ``decisions.limits.allowances``, the limit itself is
kept by the store group (``decisions.limits.quota_ledger``).
"""

import anyio

from passlane.decisions.limits.allowances import Allowances
from passlane.messages.quotas import QuotaAnswer, QuotaDraw, QuotaGranted, QuotaLimit, QuotaUse
from passlane.messages.turns import TurnSettled
from passlane.routes.tenants import Identity
from passlane.turns.client import ANSWER_TIMEOUT_S, TurnStoreClient


def limit_of(identity: Identity, version: int) -> QuotaLimit | None:
    """Return the limit that a request counts against; ``None`` without one."""
    tenant = identity.tenant
    if tenant is None or not tenant.is_limited:
        return None
    return QuotaLimit(
        tenant=tenant.name, rate_per_s=tenant.rate_per_s, burst=tenant.burst, version=version
    )


class RequestQuota:
    """What one request draws from its tenant's limit.

    Turns draw with their reservation, and with their settlement for the tool calls that are
    likely to follow. Other requests use what the node holds, and ask if it holds nothing.

    Parameters
    ----------
    limit
        ``None`` if the request counts against no limit.
    allowances
        What this node holds, of all tenants.
    """

    def __init__(
        self, limit: QuotaLimit | None, allowances: Allowances, store: TurnStoreClient
    ) -> None:
        self.limit = limit
        self._allowances = allowances
        self._store = store

    @property
    def store_outage_s(self) -> float:
        """For how long whoever grants has been in doubt; 0 while it is not."""
        return self._store.outage_s

    async def admit(self, *, is_in_program: bool, limit_at: float) -> QuotaAnswer:
        """Draw for a request that is no turn.

        Raises
        ------
        PasslaneError
            When whoever grants did not answer; the request must not be sent.
        """
        now = anyio.current_time()
        if self.limit is None or self._allowances.take(self.limit.tenant, now):
            return QuotaGranted()
        use = QuotaUse.CONTINUE_PROGRAM if is_in_program else QuotaUse.ALONE
        timeout_s = min(ANSWER_TIMEOUT_S, limit_at - now)
        return await self._store.draw_quota(
            QuotaDraw(limit=self.limit, use=use), timeout_s=timeout_s
        )

    def draw_for_turn(self, route: str) -> QuotaDraw | None:
        """Return the draw that goes with the reservation of a turn on a route.

        Whether the turn begins its program is known to the store group alone.
        """
        if self.limit is None:
            return None
        return QuotaDraw(limit=self.limit, use=QuotaUse.BEGIN_PROGRAM, route=route)

    def draw_after_turn(self) -> QuotaDraw | None:
        """Return the draw that goes with the settlement of a whole turn, if any is wanted."""
        if self.limit is None:
            return None
        ahead = self._allowances.wanted_after_turn(self.limit.tenant, anyio.current_time())
        return QuotaDraw(limit=self.limit, use=None, ahead=ahead) if ahead else None

    def note_settled(self, settled: TurnSettled, asked_at: float) -> None:
        """Hold what was granted with a settlement that was asked for at ``asked_at``."""
        if self.limit is not None:
            self._allowances.hold(self.limit.tenant, settled.ahead, asked_at)
