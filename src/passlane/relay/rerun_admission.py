"""Admits a further run of a request after one that may have run, so that limits apply to each run.

Owns nothing. The tenant's limit is decided by ``decisions.limits.quota_ledger`` and the program's
budget by ``turns.state``; a turn needs one reservation for both.
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


class RerunAdmission:
    """Admits further runs of one request.

    Parameters
    ----------
    account
        The turn's account in the store group; ``None`` for requests without one.
    forwarded_tokens
        Returns the number of tokens that the caller has received; a further run continues after
        them.
    """

    def __init__(
        self,
        context: RequestContext,
        account: TurnAccount | None,
        forwarded_tokens: Callable[[], int],
    ) -> None:
        self._context = context
        self._account = account
        self._forwarded_tokens = forwarded_tokens

    async def admit(self, limit_at: float) -> None:
        """Return when another run may be sent.

        Raises
        ------
        RequestFailedError
            When a limit is exhausted, or the store group did not answer.
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
                # Other answers follow only reservations that name a turn or request a slot.
                reason = RequestEndReason.STORE_DID_NOT_ANSWER
                raise RequestFailedError(reason, ErrorCode.PROTOCOL_ERROR.value)

    async def _ask(self, limit_at: float) -> QuotaAnswer | ReserveAnswer:
        if self._account is not None and self._account.has_budget:
            return await self._account.reserve_rerun(self._forwarded_tokens(), limit_at)
        if self._context.quota.limit is None:
            return QuotaGranted()
        is_in_program = self._context.call.program is not None
        return await self._context.quota.admit(is_in_program=is_in_program, limit_at=limit_at)
