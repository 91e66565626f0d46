"""Admits one more run of a request after one that may have run: limits hold for what runs.

Owns nothing. The tenant's limit is decided by ``decisions.limits.quota_ledger``, the program's
budget by ``turns.state``; both are asked with one reservation where the request is a turn.
"""

from collections.abc import Callable

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.quotas import QuotaAnswer, QuotaGranted, QuotaRefused
from passlane.messages.turns import BudgetSpent, ReserveAnswer, TurnReserved
from passlane.relay.context import RequestContext
from passlane.relay.end_reasons import RequestEndReason
from passlane.relay.request_errors import RequestFailedError
from passlane.relay.turn_account import TurnAccount


class AnotherRun:
    """Admits further runs of one request.

    Parameters
    ----------
    account
        The turn's account in the store group; ``None`` for requests without one.
    passed_on_tokens
        Returns what the caller has got so far: a further run goes on behind it.
    """

    def __init__(
        self,
        context: RequestContext,
        account: TurnAccount | None,
        passed_on_tokens: Callable[[], int],
    ) -> None:
        self._context = context
        self._account = account
        self._passed_on_tokens = passed_on_tokens

    async def admit(self, limit_at: float) -> None:
        """Return when another run may be sent.

        Raises
        ------
        RequestFailedError
            When a limit leaves no room for it, or nobody answered for it.
        """
        try:
            answer = await self._ask(limit_at)
        except PasslaneError as error:
            reason = RequestEndReason.STORE_DID_NOT_ANSWER
            raise RequestFailedError(reason, error.code.value) from error
        match answer:
            case TurnReserved() | QuotaGranted():
                await anyio.sleep(answer.start_after_s)
            case QuotaRefused():
                raise RequestFailedError(RequestEndReason.QUOTA_SPENT)
            case BudgetSpent():
                raise RequestFailedError(RequestEndReason.BUDGET_SPENT)
            case _:
                # Only a reservation that names a turn or asks for a slot is answered otherwise.
                reason = RequestEndReason.STORE_DID_NOT_ANSWER
                raise RequestFailedError(reason, ErrorCode.PROTOCOL_ERROR.value)

    async def _ask(self, limit_at: float) -> QuotaAnswer | ReserveAnswer:
        if self._account is not None and self._account.has_budget:
            return await self._account.reserve_another_run(self._passed_on_tokens(), limit_at)
        if self._context.quota.limit is None:
            return QuotaGranted()
        is_in_program = self._context.call.program is not None
        return await self._context.quota.admit(is_in_program=is_in_program, limit_at=limit_at)
