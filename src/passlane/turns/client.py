"""A node's access to the store group, whose replicas it learns as the fleet changes.

It is for the relay of turns. It owns the requests on their way to the group's leader, and sends
one again where another replica turns out to lead. It relies on ``StoreLeaderFinder`` for who
leads, and on commands that are safe to repeat.

Times are in seconds.
"""

import math
import random as random_module
from collections.abc import Callable, Sequence

import anyio
import msgspec

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import Message
from passlane.messages.common import Address, NotLeaderError
from passlane.messages.quotas import (
    DrawQuota,
    QuotaAnswer,
    QuotaDraw,
)
from passlane.messages.turns import (
    ReserveAnswer,
    ReserveTurn,
    SettleTurn,
    TurnReserved,
    TurnSettled,
)
from passlane.transport.interfaces import Caller
from passlane.turns.leader_finder import StoreLeaderFinder

ANSWER_TIMEOUT_S = 1.5
"""Seconds that a reservation or a draw waits for its answer: an election of the group takes less,
0.4 s (docs/design/store-groups.md). Not measured; chosen."""
TIMEOUT_WHILE_LOST_S = 0.3
"""The same while the group counts as lost, so that the caller may soon turn elsewhere. Not
measured; chosen."""
SLOW_ANSWER_S = 0.12
"""Seconds after which an answer that has not come puts the leader in doubt. Not measured;
chosen."""
SLOW_SLOT_S = 0.6
"""The same for a reservation that may wait for a slot of an engine; its answers and those to other
requests of this node tell meanwhile whether the leader is there. Not measured; chosen."""
SLOT_TIMEOUT_S = 3.0
"""Seconds that a reservation waits for a slot: turns under way are not refused, and a caller
leaves a stream that stays silent for two seconds or longer. Not measured; chosen."""
WATCH_PERIOD_S = 0.06
"""Seconds between two looks for answers that are overdue. Not measured; chosen."""
RETRY_PAUSE_S = 0.02
"""Seconds between a failed attempt and the next. Not measured; chosen."""


class Reservation(msgspec.Struct, frozen=True):
    """What came of a reservation.

    Attributes
    ----------
    may_stand
        Whether tokens are reserved, or may be: an earlier try, whose answer was lost, may
        have reserved them although the repeat was refused. They are to be settled.
    """

    answer: ReserveAnswer
    may_stand: bool


class _Outcome(msgspec.Struct, frozen=True):
    """The answer to a command, and whether an earlier try of it may have been carried out."""

    answer: Message
    may_have_run_before: bool


class _Attempt(msgspec.Struct, eq=False):
    """A request on its way to a replica."""

    address: Address
    overdue_at: float
    scope: anyio.CancelScope


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
        self._finder = StoreLeaderFinder(caller, addresses, random, self._leave_former_leader)
        self._under_way: set[_Attempt] = set()
        self._has_work = anyio.Event()

    @property
    def is_lost(self) -> bool:
        """Whether the group's leader was not heard for so long that it counts as lost."""
        return self._finder.is_lost

    @property
    def outage_s(self) -> float:
        """For how long the group's leader has been in doubt; 0 while it is not."""
        return self._finder.doubt_s

    async def wait_for_leader(self) -> None:
        """Return once the group's leader is found."""
        await self._finder.wait_for_leader(math.inf)

    async def run(self) -> None:
        """Look for the leader while it is in doubt, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._finder.run)
            tasks.start_soon(self._watch_attempts)

    async def reserve(self, request: ReserveTurn, *, timeout_s: float) -> Reservation:
        """Reserve a turn's tokens and get its history.

        Raises
        ------
        PasslaneError
            When no leader answered in time; the reservation may have been made. While
            the group is lost that is said early, so that the caller turns elsewhere.
        """
        waits_for_slot = request.demand is not None
        longest_s = SLOT_TIMEOUT_S if waits_for_slot else ANSWER_TIMEOUT_S
        slow_s = SLOW_SLOT_S if waits_for_slot else SLOW_ANSWER_S
        outcome = await self._execute(request, self._shortened(min(timeout_s, longest_s)), slow_s)
        answer = outcome.answer
        if not isinstance(answer, ReserveAnswer):
            raise self._unexpected(answer)
        may_stand = isinstance(answer, TurnReserved) or outcome.may_have_run_before
        return Reservation(answer, may_stand)

    async def draw_quota(self, draw: QuotaDraw, *, timeout_s: float) -> QuotaAnswer:
        """Count a request that is no turn against its tenant's limit.

        Raises
        ------
        PasslaneError
            When no leader answered in time; then the request must not be sent.
        """
        answer = (await self._execute(DrawQuota(draw), self._shortened(timeout_s))).answer
        if isinstance(answer, QuotaAnswer):
            return answer
        raise self._unexpected(answer)

    def _shortened(self, timeout_s: float) -> float:
        """Return how long to wait for an answer: while the group is lost, only for a moment."""
        return min(timeout_s, TIMEOUT_WHILE_LOST_S) if self.is_lost else timeout_s

    async def settle(self, request: SettleTurn, *, timeout_s: float) -> TurnSettled:
        """Settle a turn; on return that is durable.

        Raises
        ------
        PasslaneError
            When no leader answered in time; it may have been settled.
        """
        answer = (await self._execute(request, timeout_s)).answer
        if isinstance(answer, TurnSettled):
            return answer
        raise self._unexpected(answer)

    async def _execute(
        self, request: Message, timeout_s: float, slow_s: float = SLOW_ANSWER_S
    ) -> _Outcome:
        """Send a request to the leader, and to the next one if it moves, until it is answered."""
        deadline = anyio.current_time() + timeout_s
        may_have_run = False
        while True:
            address = await self._finder.wait_for_leader(deadline)
            remaining_s = deadline - anyio.current_time()
            if remaining_s <= 0:
                raise PasslaneError(ErrorCode.TIMEOUT, "the store group did not answer in time")
            try:
                answer = await self._attempt(address, request, remaining_s, slow_s)
            except PasslaneError as error:
                may_have_run |= error.verdict is not Verdict.NOT_RUN
                self._note_failure(error, address)
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            if answer is not None:
                self._finder.confirm(address)
                return _Outcome(answer, may_have_run)
            may_have_run = True

    async def _attempt(
        self, address: Address, request: Message, timeout_s: float, slow_s: float
    ) -> Message | None:
        """Return a replica's answer; ``None`` when another replica turned out to lead."""
        attempt = _Attempt(address, anyio.current_time() + slow_s, anyio.CancelScope())
        self._under_way.add(attempt)
        self._has_work.set()
        try:
            with attempt.scope:
                return await self._caller.call(address, request, Message, timeout_s=timeout_s)
        finally:
            self._under_way.discard(attempt)
        return None

    async def _watch_attempts(self) -> None:
        """Put the leader in doubt while an answer of it is overdue."""
        while True:
            await self._has_work.wait()
            while self._under_way:
                await anyio.sleep(WATCH_PERIOD_S)
                now = anyio.current_time()
                for attempt in self._under_way:
                    if attempt.overdue_at <= now:
                        self._finder.suspect(attempt.address)
            self._has_work = anyio.Event()

    def _leave_former_leader(self) -> None:
        """Call back requests that wait for a replica that no longer leads."""
        for attempt in self._under_way:
            if attempt.address != self._finder.leader:
                attempt.scope.cancel()

    def _note_failure(self, error: PasslaneError, address: Address) -> None:
        """Let the finder judge a failed attempt; it logs the loss of a leader, and only that.

        The request itself is tried again or ends with an error that its caller logs.
        """
        hint = error.leader if isinstance(error, NotLeaderError) else None
        if error.code is ErrorCode.TIMEOUT:
            # The request's own time is over; the search shows whether the leader is gone.
            self._finder.suspect(address)
            return
        self._finder.reject(address, hint, error.code.value)

    @staticmethod
    def _unexpected(answer: Message) -> PasslaneError:
        return PasslaneError(
            ErrorCode.PROTOCOL_ERROR,
            f"unexpected answer {type(answer).__name__}",
            verdict=Verdict.MAY_HAVE_RUN,
        )
