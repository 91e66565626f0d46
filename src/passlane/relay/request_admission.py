"""Counts one request or reserves its turn before anything is sent to a backend.

Owns nothing: the tenant's limit and the program's budget are decided in the store group
(``decisions.limits.quota_ledger``, ``turns.state``), as is capacity for a new program
(``decisions.admission.program_admission``). Converts their answers to refusals for the caller.
"""

import anyio

from passlane.decisions.admission.history_room import RETRY_AFTER_S
from passlane.decisions.failure.engine_ends import MAX_ENDED_ENGINES
from passlane.decisions.failure.retry_after import retry_after_outage_s
from passlane.decisions.limits.turn_storage import MAX_INPUT_BYTES, fits_chain
from passlane.errors import PasslaneError
from passlane.messages.engine_ends import EnginesEnded
from passlane.messages.placement import TurnRefused, TurnsFull, TurnTooLarge
from passlane.messages.quotas import QuotaRefused
from passlane.messages.turn_outputs import OutputUnknown
from passlane.messages.turns import BudgetSpent, TurnReserved, TurnUnknown
from passlane.observability.logging import get_logger
from passlane.relay.context import RequestContext
from passlane.relay.end_reasons import RequestEndReason
from passlane.relay.progress import RequestProgress
from passlane.relay.request_errors import Refusal, RequestRefusedError
from passlane.relay.turn_account import TurnAccount

_log = get_logger(__name__)


class RequestAdmission:
    """Admits one request by its tenant's limit, its program's budget and engine capacity.

    Parameters
    ----------
    account
        The turn's account in the store group; ``None`` for requests without one.
    """

    def __init__(
        self, context: RequestContext, account: TurnAccount | None, progress: RequestProgress
    ) -> None:
        self._context = context
        self._account = account
        self._progress = progress

    async def admit(self, limit_at: float) -> TurnReserved:
        """Reserve a turn or count another request, and wait until it may start.

        Raises
        ------
        RequestRefusedError
            When it is refused, or the store group did not answer.
        """
        try:
            if self._account is not None:
                admitted = await self._reserve(self._account, limit_at)
            else:
                admitted = await self._draw_quota(limit_at)
        except PasslaneError as error:
            retry_after_s = retry_after_outage_s(self._context.quota.store_outage_s)
            reason = RequestEndReason.STORE_DID_NOT_ANSWER
            refusal = Refusal.of(reason, retry_after_s, error.code.value)
            raise RequestRefusedError(refusal) from error
        if self._context.quota.limit is not None:
            self._progress.quota_wait_s = admitted.start_after_s + admitted.limit_wait_s
            await anyio.sleep(admitted.start_after_s)
        return admitted

    async def _draw_quota(self, limit_at: float) -> TurnReserved:
        """Count a request without an account against its tenant's limit."""
        is_in_program = self._context.call.program is not None
        answer = await self._context.quota.admit(is_in_program=is_in_program, limit_at=limit_at)
        if isinstance(answer, QuotaRefused):
            raise self._quota_refusal(answer)
        return TurnReserved(start_after_s=answer.start_after_s)

    async def _reserve(self, account: TurnAccount, limit_at: float) -> TurnReserved:
        if account.output_request is not None:
            await self._context.outputs.wait_until_reported(account.output_request.request_key)
        answer = await account.reserve(limit_at)
        self._progress.reserved_s = self._elapsed_s()
        match answer:
            case QuotaRefused():
                raise self._quota_refusal(answer)
            case TurnRefused():
                raise self._refusal_of_turn(answer)
            case BudgetSpent():
                raise RequestRefusedError(Refusal.of(RequestEndReason.BUDGET_SPENT))
            case TurnUnknown():
                raise RequestRefusedError(Refusal.of(RequestEndReason.TURN_UNKNOWN))
        if account.lacks_output(answer):
            raise RequestRefusedError(Refusal.of(RequestEndReason.STREAM_EVENTS_UNKNOWN))
        self._progress.place_wait_s = answer.place_wait_s
        self._check_size(answer)
        return answer

    def _refusal_of_turn(self, refused: TurnRefused) -> RequestRefusedError:
        if refused.too_large is not None:
            return self._size_refusal(refused.too_large)
        if refused.full is not None:
            return self._storage_refusal(refused.full, round(refused.retry_after_s, 3))
        if refused.histories_full is not None:
            return RequestRefusedError(
                Refusal.of(RequestEndReason.HISTORIES_FULL, round(refused.retry_after_s, 3))
            )
        if refused.output_unknown is not None:
            return self._output_refusal(refused.output_unknown)
        if refused.engines_ended is not None:
            return self._ends_refusal(refused.engines_ended, round(refused.retry_after_s, 3))
        return self._capacity_refusal(refused)

    def _check_size(self, reserved: TurnReserved) -> None:
        """Refuse a turn that a store of an older build admitted although it is too large."""
        input_bytes = len(self._context.call.body)
        history_bytes = len(reserved.history)
        if self._context.route.keeps_turns and not fits_chain(history_bytes, input_bytes):
            raise self._size_refusal(TurnTooLarge(history_bytes, input_bytes, MAX_INPUT_BYTES))

    def take_history(self, reserved: TurnReserved) -> None:
        """Hold the history of a turn; the caller gives it back to ``context.histories``.

        Raises
        ------
        RequestRefusedError
            When the node holds too many.
        """
        history_bytes = reserved.fetched_bytes
        histories = self._context.histories
        if histories.take(history_bytes):
            return
        _log.info(
            "node_histories_full",
            request_id=self._context.call.request_id,
            previous_turn=self._context.call.previous_turn,
            history_bytes=history_bytes,
            held_bytes=histories.held_bytes,
            max_bytes=histories.max_bytes,
            retry_after_s=RETRY_AFTER_S,
        )
        raise RequestRefusedError(Refusal.of(RequestEndReason.NODE_HISTORIES_FULL, RETRY_AFTER_S))

    def _size_refusal(self, refused: TurnTooLarge) -> RequestRefusedError:
        """Log why a turn is too large to be stored; return the refusal."""
        _log.info(
            "turn_too_large",
            request_id=self._context.call.request_id,
            previous_turn=self._context.call.previous_turn,
            history_bytes=refused.history_bytes,
            input_bytes=refused.input_bytes,
            max_bytes=refused.max_bytes,
        )
        return RequestRefusedError(Refusal.of(RequestEndReason.TURN_TOO_LARGE))

    def _ends_refusal(self, refused: EnginesEnded, retry_after_s: float) -> RequestRefusedError:
        """Log which engines may have ended under a turn's request; return the refusal."""
        _log.info(
            "turn_refused_for_engines",
            request_id=self._context.call.request_id,
            request_key=refused.request_key,
            ended=refused.ended,
            unknown=refused.unknown,
            running=refused.running,
            most=MAX_ENDED_ENGINES,
            retry_after_s=retry_after_s,
        )
        self._progress.request_key = refused.request_key
        is_certain = refused.is_certain
        reason = RequestEndReason.ENGINES_ENDED if is_certain else RequestEndReason.ENGINES_UNKNOWN
        return RequestRefusedError(Refusal.of(reason, retry_after_s))

    def _output_refusal(self, unknown: OutputUnknown) -> RequestRefusedError:
        """Log which events of a resumed stream are not known; return the refusal."""
        _log.info(
            "turn_output_unknown",
            request_id=self._context.call.request_id,
            resumes=self._context.call.resumes,
            last_event_id=unknown.last_event_id,
            known_events=unknown.known_events,
        )
        # Nothing is known to change this, so there is no time after which to retry.
        return RequestRefusedError(Refusal.of(RequestEndReason.STREAM_EVENTS_UNKNOWN))

    def _storage_refusal(self, refused: TurnsFull, retry_after_s: float) -> RequestRefusedError:
        """Log why there is no memory to store a turn; return the refusal."""
        _log.info(
            "turns_full",
            request_id=self._context.call.request_id,
            input_bytes=len(self._context.call.body),
            stored_bytes=refused.stored_bytes,
            pending_bytes=refused.pending_bytes,
            max_bytes=refused.max_bytes,
            retry_after_s=retry_after_s,
        )
        return RequestRefusedError(Refusal.of(RequestEndReason.TURNS_FULL, retry_after_s))

    def _elapsed_s(self) -> float:
        return anyio.current_time() - self._context.call.arrived_at

    def _quota_refusal(self, refused: QuotaRefused) -> RequestRefusedError:
        """Log why a request exceeds its tenant's limit; return the refusal."""
        _log.info(
            "quota_refused",
            request_id=self._context.call.request_id,
            tenant=self._context.identity.tenant_name,
            limit_version=refused.version,
            window_capacity=round(refused.capacity, 1),
            window_used=round(refused.used, 1),
            retry_after_s=round(refused.retry_after_s, 3),
            asked_s=round(self._elapsed_s(), 4),
        )
        retry_after_s = round(refused.retry_after_s, 3)
        return RequestRefusedError(Refusal.of(RequestEndReason.QUOTA_SPENT, retry_after_s))

    def _capacity_refusal(self, refused: TurnRefused) -> RequestRefusedError:
        """Log why there is no capacity for a new program; return the refusal."""
        _log.info(
            "room_refused",
            request_id=self._context.call.request_id,
            tenant=self._context.identity.tenant_name,
            urgency=self._context.identity.queue_rank_on(self._context.route),
            waiting=refused.waiting,
            busy_share=round(refused.busy_share, 3),
            retry_after_s=round(refused.retry_after_s, 3),
            asked_s=round(self._elapsed_s(), 4),
        )
        retry_after_s = round(refused.retry_after_s, 3)
        return RequestRefusedError(Refusal.of(RequestEndReason.NO_ROOM, retry_after_s))
