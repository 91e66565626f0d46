"""A node's access to the store group, whose replicas it learns as the fleet changes."""

import random as random_module
from collections.abc import Callable, Sequence

import anyio

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import Message
from passlane.messages.common import Address, NotLeaderError
from passlane.messages.turns import (
    BudgetSpent,
    FindTurnStore,
    ReserveTurn,
    SettleTurn,
    TurnReserved,
    TurnSettled,
    TurnUnknown,
)
from passlane.observability.logging import get_logger
from passlane.transport.interfaces import Caller

ATTEMPT_TIMEOUT_S = 0.5
LOST_AFTER_S = 1.0
"""The store group counts as lost once nothing was heard of its leader for this long."""
PROBE_PERIOD_S = 0.4
TIMEOUT_WHILE_LOST_S = 0.3
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
        self._failing_since: float | None = None

    @property
    def is_lost(self) -> bool:
        """Whether requests have failed for so long that the group counts as lost."""
        since = self._failing_since
        return since is not None and anyio.current_time() - since >= LOST_AFTER_S

    async def run(self) -> None:
        """Look for the leader while requests fail, until cancelled."""
        while True:
            await anyio.sleep(PROBE_PERIOD_S)
            if self._failing_since is None:
                continue
            try:
                await self._execute(FindTurnStore(), PROBE_PERIOD_S)
            except PasslaneError as error:
                _log.debug("store_not_found", code=error.code.value)

    async def reserve(self, request: ReserveTurn, *, timeout_s: float) -> ReserveAnswer:
        """Reserve a turn's tokens and get its history.

        Raises
        ------
        PasslaneError
            When no leader answered in time; the reservation may have been made. While
            the group is lost that is said early, so that the caller turns elsewhere.
        """
        limit_s = min(timeout_s, TIMEOUT_WHILE_LOST_S) if self.is_lost else timeout_s
        answer = await self._execute(request, limit_s)
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
                    self._note_success(address)
                    return answer
            await anyio.sleep(self._random.uniform(0.5, 1.0) * RETRY_PAUSE_S)

    def _next_address(self) -> Address | None:
        addresses = self._addresses()
        if self._leader is not None:
            return self._leader
        return self._random.choice(addresses) if addresses else None

    def _note_success(self, address: Address) -> None:
        """Note which replica leads."""
        if self._failing_since is not None:
            lost_s = anyio.current_time() - self._failing_since
            _log.info("store_leader_found", address=str(address), lost_s=round(lost_s, 3))
        self._leader = address
        self._failing_since = None

    def _note_failure(self, error: PasslaneError, address: Address) -> bool:
        """Note where the leader may be; return whether to go there at once."""
        if self._failing_since is None:
            self._failing_since = anyio.current_time()
            _log.info("store_leader_lost", address=str(address), code=error.code.value)
        hint = error.leader if isinstance(error, NotLeaderError) else None
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
