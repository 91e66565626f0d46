"""A node's access to the store group, whose replicas it learns as the fleet changes."""

import random as random_module
from collections.abc import Callable, Sequence

import anyio

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import Message
from passlane.messages.common import Address, NotLeaderError
from passlane.messages.turns import (
    BudgetSpent,
    ReserveTurn,
    SettleTurn,
    TurnReserved,
    TurnSettled,
    TurnUnknown,
)
from passlane.observability.logging import get_logger
from passlane.transport.interfaces import Caller

ATTEMPT_TIMEOUT_S = 0.7
RETRY_PAUSE_S = 0.04
NOT_READY_RETRY_AFTER_S = 0.3

ReserveAnswer = TurnReserved | BudgetSpent | TurnUnknown

_log = get_logger(__name__)


class TurnStoreClient:
    """Sends commands to the store group's leader; both are safe to repeat.

    Parameters
    ----------
    addresses
        Returns the replicas' internal addresses as now known.
    """

    def __init__(
        self,
        caller: Caller,
        addresses: Callable[[], Sequence[Address]],
        random: random_module.Random,
    ) -> None:
        self._caller = caller
        self._addresses = addresses
        self._random = random
        self._leader: Address | None = None

    async def reserve(self, request: ReserveTurn, *, timeout_s: float) -> ReserveAnswer:
        """Reserve a turn's tokens and get its history.

        Raises
        ------
        PasslaneError
            When no leader answered in time; the reservation may have been made.
        """
        answer = await self._execute(request, timeout_s)
        if isinstance(answer, TurnReserved | BudgetSpent | TurnUnknown):
            return answer
        raise self._unexpected(answer)

    async def settle(self, request: SettleTurn, *, timeout_s: float) -> None:
        """Settle a turn; on return that is durable.

        Raises
        ------
        PasslaneError
            When no leader answered in time; it may have been settled.
        """
        answer = await self._execute(request, timeout_s)
        if not isinstance(answer, TurnSettled):
            raise self._unexpected(answer)

    async def _execute(self, request: Message, timeout_s: float) -> Message:
        deadline = anyio.current_time() + timeout_s
        error = self._unavailable("no store replica is known")
        while True:
            remaining_s = deadline - anyio.current_time()
            if remaining_s <= 0:
                raise error
            address = self._next_address()
            if address is not None:
                limit_s = min(remaining_s, ATTEMPT_TIMEOUT_S)
                try:
                    answer = await self._caller.call(address, request, Message, timeout_s=limit_s)
                except PasslaneError as failure:
                    error = failure
                    if self._note_failure(failure, address):
                        continue
                else:
                    self._leader = address
                    return answer
            await anyio.sleep(self._random.uniform(0.5, 1.0) * RETRY_PAUSE_S)

    def _next_address(self) -> Address | None:
        addresses = self._addresses()
        if self._leader is not None:
            return self._leader
        return self._random.choice(addresses) if addresses else None

    def _note_failure(self, error: PasslaneError, address: Address) -> bool:
        """Note where the leader may be; return whether to go there at once."""
        hint = error.leader if isinstance(error, NotLeaderError) else None
        if self._leader is not None:
            _log.info("store_leader_lost", address=str(address), code=error.code.value)
        had_leader = self._leader is not None
        self._leader = hint if hint != address else None
        return self._leader is not None and not had_leader

    @staticmethod
    def _unavailable(reason: str) -> PasslaneError:
        return PasslaneError(ErrorCode.UNAVAILABLE, reason, retry_after_s=NOT_READY_RETRY_AFTER_S)

    @staticmethod
    def _unexpected(answer: Message) -> PasslaneError:
        return PasslaneError(
            ErrorCode.PROTOCOL_ERROR,
            f"unexpected answer {type(answer).__name__}",
            verdict=Verdict.MAY_HAVE_RUN,
        )
