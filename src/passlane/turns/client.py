"""A node's client of the store group.

It is for the relay of turns. It owns the requests in flight to the group's leader, and retries
them at the new leader when leadership moves. It relies on ``StoreLeaderFinder`` to find the
leader, and on commands that are safe to repeat.

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
from passlane.messages.engine_ends import AttemptFate, EngineEnd
from passlane.messages.quotas import (
    DrawQuota,
    QuotaAnswer,
    QuotaRequest,
)
from passlane.messages.streams import ServedVersion, StreamOrigin
from passlane.messages.turn_outputs import ForwardedEvents
from passlane.messages.turns import (
    FindTurnStore,
    ReserveAnswer,
    ReserveTurn,
    SettleTurn,
    TurnReserved,
    TurnSettled,
    TurnStoreFound,
)
from passlane.transport.interfaces import Caller
from passlane.turns.leader_finder import StoreLeaderFinder

ANSWER_TIMEOUT_S = 1.5
"""Timeout of a reservation or a quota draw; longer than an election of the group."""
UNAVAILABLE_TIMEOUT_S = 0.3
"""The same while the group is unavailable; short, so that the caller can fall back early."""
ANSWER_OVERDUE_S = 0.12
"""Time without an answer after which the leader is suspected."""
SLOT_ANSWER_OVERDUE_S = 0.6
"""The same for a reservation that may wait for a slot of an engine; answers to other requests of
this node show earlier whether the leader is alive."""
SLOT_TIMEOUT_S = 3.0
"""Timeout of a reservation that waits for a slot: turns of running programs are not refused, and
callers close a stream that is silent for two seconds or longer."""
OVERDUE_CHECK_INTERVAL_S = 0.06
"""Interval between two checks for overdue answers."""
REFUSED_REQUESTS_TIMEOUT_S = 12.0
"""Timeout of a request for the refused requests, which the leader holds until they change; longer
than it does so."""
RETRY_DELAY_S = 0.02
"""Delay between a failed attempt and the next."""
FINAL_ERRORS = frozenset({ErrorCode.BODY_TOO_LARGE, ErrorCode.FRAME_TOO_LARGE})
"""Errors of the request itself: no leader would answer it otherwise."""


class Reservation(msgspec.Struct, frozen=True):
    """The result of a reservation.

    Attributes
    ----------
    may_be_reserved
        Whether tokens are reserved or may be: an earlier attempt whose answer was lost may
        have reserved them, even if the retry was refused. They must be settled.
    """

    answer: ReserveAnswer
    may_be_reserved: bool


class _Outcome(msgspec.Struct, frozen=True):
    """The answer to a command, and whether an earlier attempt of it may have run."""

    answer: Message
    may_have_run_before: bool


class _Attempt(msgspec.Struct, eq=False):
    """A request in flight to a replica; ``overdue_at`` is infinite if its answer may take long."""

    address: Address
    overdue_at: float
    scope: anyio.CancelScope


class TurnStoreClient:
    """Sends commands to the store group's leader; all commands are safe to repeat.

    Parameters
    ----------
    addresses
        Returns the replicas' internal addresses as currently known.
    """

    def __init__(
        self,
        caller: Caller,
        addresses: Callable[[], Sequence[Address]],
        random: random_module.Random,
    ) -> None:
        self._caller = caller
        self._finder = StoreLeaderFinder(caller, addresses, random, self._cancel_stale_attempts)
        self._in_flight: set[_Attempt] = set()
        self._watched: set[_Attempt] = set()
        self._has_watched = anyio.Event()

    @property
    def is_unavailable(self) -> bool:
        """Whether the leader has been unconfirmed for so long that the group is unavailable."""
        return self._finder.is_unavailable

    @property
    def outage_s(self) -> float:
        """Seconds for which the group's leader has been unconfirmed; 0 while it is confirmed."""
        return self._finder.unconfirmed_s

    async def wait_for_leader(self) -> None:
        """Wait until the group's leader is found."""
        await self._finder.wait_for_leader(math.inf)

    async def run(self) -> None:
        """Search for the leader whenever it is unconfirmed, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._finder.run)
            tasks.start_soon(self._check_overdue_attempts)

    async def reserve(self, request: ReserveTurn, *, timeout_s: float) -> Reservation:
        """Reserve a turn's tokens and get its history.

        Raises
        ------
        PasslaneError
            When no leader answered in time; the reservation may have been made. The timeout
            is shorter while the group is unavailable.
        """
        waits_for_slot = request.demand is not None
        max_wait_s = SLOT_TIMEOUT_S if waits_for_slot else ANSWER_TIMEOUT_S
        overdue_after_s = SLOT_ANSWER_OVERDUE_S if waits_for_slot else ANSWER_OVERDUE_S
        outcome = await self._execute(
            request, self._limited_timeout_s(min(timeout_s, max_wait_s)), overdue_after_s
        )
        answer = outcome.answer
        if not isinstance(answer, ReserveAnswer):
            raise self._unexpected_answer(answer)
        may_be_reserved = isinstance(answer, TurnReserved) or outcome.may_have_run_before
        return Reservation(answer, may_be_reserved)

    async def draw_quota(self, draw: QuotaRequest, *, timeout_s: float) -> QuotaAnswer:
        """Draw a tenant's quota for a request outside turns.

        Raises
        ------
        PasslaneError
            When no leader answered in time; then the request must not be sent.
        """
        answer = (await self._execute(DrawQuota(draw), self._limited_timeout_s(timeout_s))).answer
        if isinstance(answer, QuotaAnswer):
            return answer
        raise self._unexpected_answer(answer)

    def _limited_timeout_s(self, timeout_s: float) -> float:
        """Return the timeout of an answer, which is shorter while the group is unavailable."""
        return min(timeout_s, UNAVAILABLE_TIMEOUT_S) if self.is_unavailable else timeout_s

    async def settle(self, request: SettleTurn, *, timeout_s: float) -> TurnSettled:
        """Settle a turn; on return the settlement is durable.

        Raises
        ------
        PasslaneError
            When no leader answered in time; it may have been settled.
        """
        answer = (await self._execute(request, timeout_s)).answer
        if isinstance(answer, TurnSettled):
            return answer
        raise self._unexpected_answer(answer)

    async def report_streams(self, origins: tuple[StreamOrigin, ...], *, timeout_s: float) -> None:
        """Report where streams began.

        Raises
        ------
        PasslaneError
            When no leader answered in time; it may know them.
        """
        await self._find(FindTurnStore(begun_streams=origins), timeout_s)

    async def report_forwarded(
        self, reports: tuple[ForwardedEvents, ...], *, timeout_s: float
    ) -> None:
        """Report events that were forwarded to callers; on return they are durable.

        Raises
        ------
        PasslaneError
            When no leader answered in time; it may have stored them.
        """
        await self._find(FindTurnStore(forwarded_events=reports), timeout_s)

    async def announce_versions(
        self, versions: tuple[ServedVersion, ...], *, timeout_s: float
    ) -> None:
        """Announce versions at which streams may begin; on return they are durable.

        Raises
        ------
        PasslaneError
            When no leader answered in time; it may have recorded them.
        """
        await self._find(FindTurnStore(served_versions=versions), timeout_s)

    async def find_stream(
        self, stream_id: str, address: str, *, timeout_s: float
    ) -> TurnStoreFound:
        """Return where a stream began, and the versions at which streams of its route may have.

        ``stream_id`` is empty for a stream that is not named; ``address`` has its host and path.

        Raises
        ------
        PasslaneError
            When no leader answered in time.
        """
        timeout_s = self._limited_timeout_s(min(timeout_s, ANSWER_TIMEOUT_S))
        return await self._find(FindTurnStore(stream_id=stream_id, address=address), timeout_s)

    async def report_engine_ends(
        self,
        ends: tuple[EngineEnd, ...],
        fates: tuple[AttemptFate, ...],
        *,
        timeout_s: float,
    ) -> TurnStoreFound:
        """Report what became of engines under requests; the answer has the refused requests.

        Raises
        ------
        PasslaneError
            When no leader answered in time; it may have recorded them.
        """
        # A revision that no leader has is answered at once.
        request = FindTurnStore(engine_ends=ends, attempt_fates=fates, refused_revision="")
        return await self._find(request, timeout_s)

    async def wait_for_refused(self, known_revision: str) -> TurnStoreFound:
        """Return the refused requests once they differ from those of a revision, or after a while.

        Raises
        ------
        PasslaneError
            When no leader answered in time.
        """
        request = FindTurnStore(refused_revision=known_revision)
        timeout_s = REFUSED_REQUESTS_TIMEOUT_S
        return await self._find(request, timeout_s, overdue_after_s=math.inf)

    async def _find(
        self,
        request: FindTurnStore,
        timeout_s: float,
        overdue_after_s: float = ANSWER_OVERDUE_S,
    ) -> TurnStoreFound:
        answer = (await self._execute(request, timeout_s, overdue_after_s)).answer
        if isinstance(answer, TurnStoreFound):
            return answer
        raise self._unexpected_answer(answer)

    async def _execute(
        self, request: Message, timeout_s: float, overdue_after_s: float = ANSWER_OVERDUE_S
    ) -> _Outcome:
        """Send a request to the leader, and to a new leader if it changes, until answered."""
        deadline = anyio.current_time() + timeout_s
        may_have_run = False
        while True:
            address = await self._finder.wait_for_leader(deadline)
            remaining_s = deadline - anyio.current_time()
            if remaining_s <= 0:
                raise PasslaneError(ErrorCode.TIMEOUT, "the store group did not answer in time")
            try:
                answer = await self._attempt(address, request, remaining_s, overdue_after_s)
            except PasslaneError as error:
                if error.code in FINAL_ERRORS:
                    raise
                may_have_run |= error.verdict is not Verdict.NOT_RUN
                self._record_failure(error, address)
                await anyio.sleep(RETRY_DELAY_S)
                continue
            if answer is not None:
                self._finder.confirm(address)
                return _Outcome(answer, may_have_run)
            may_have_run = True

    async def _attempt(
        self, address: Address, request: Message, timeout_s: float, overdue_after_s: float
    ) -> Message | None:
        """Return a replica's answer; ``None`` when another replica became the leader."""
        attempt = _Attempt(address, anyio.current_time() + overdue_after_s, anyio.CancelScope())
        self._in_flight.add(attempt)
        if attempt.overdue_at < math.inf:
            self._watched.add(attempt)
            self._has_watched.set()
        try:
            with attempt.scope:
                return await self._caller.call(address, request, Message, timeout_s=timeout_s)
        finally:
            self._in_flight.discard(attempt)
            self._watched.discard(attempt)
        return None

    async def _check_overdue_attempts(self) -> None:
        """Suspect the leader while an answer of it is overdue."""
        while True:
            await self._has_watched.wait()
            while self._watched:
                await anyio.sleep(OVERDUE_CHECK_INTERVAL_S)
                now = anyio.current_time()
                for attempt in self._watched:
                    if attempt.overdue_at <= now:
                        self._finder.suspect(attempt.address)
            self._has_watched = anyio.Event()

    def _cancel_stale_attempts(self) -> None:
        """Cancel attempts that wait for a replica that no longer leads."""
        for attempt in self._in_flight:
            if attempt.address != self._finder.leader:
                attempt.scope.cancel()

    def _record_failure(self, error: PasslaneError, address: Address) -> None:
        """Report a failed attempt to the finder, which logs only the loss of the leader.

        The request itself is retried, or ends with an error that its caller logs.
        """
        hint = error.leader if isinstance(error, NotLeaderError) else None
        if error.code is ErrorCode.TIMEOUT:
            # The request's own deadline passed; the search shows whether the leader is gone.
            self._finder.suspect(address)
            return
        self._finder.mark_failed(address, hint, error.code.value)

    @staticmethod
    def _unexpected_answer(answer: Message) -> PasslaneError:
        return PasslaneError(
            ErrorCode.PROTOCOL_ERROR,
            f"unexpected answer of type {type(answer).__name__}",
            verdict=Verdict.MAY_HAVE_RUN,
        )
