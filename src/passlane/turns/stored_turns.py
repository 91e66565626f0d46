"""Refuses turns that could not be stored or served again, on the leader of the store group.

It is for ``TurnService``, before anything is reserved. It owns the turns that were admitted and are
not settled; ``decisions.limits.turn_storage`` decides. Log lines: ``turn_too_large``,
``turns_full``.
"""

import anyio

from passlane.decisions.limits.turn_storage import (
    MAX_INPUT_BYTES,
    TURN_OVERHEAD_BYTES,
    TurnStorage,
    fits_chain,
)
from passlane.messages.placement import TurnRefused, TurnsFull, TurnTooLarge
from passlane.messages.turns import ReserveTurn
from passlane.observability.logging import get_logger
from passlane.turns.state.machine import TurnStateMachine

MIN_RETRY_AFTER_S = 0.5
"""Minimum retry interval of a refused turn."""

_log = get_logger(__name__)


class StoredTurns:
    """Admits turns that are to be stored.

    Parameters
    ----------
    max_bytes
        Bound on the bytes of stored turns; ``None`` for none.
    """

    def __init__(self, machine: TurnStateMachine, max_bytes: int | None) -> None:
        self._machine = machine
        self._storage = TurnStorage(max_bytes)

    def begin_term(self) -> None:
        """Forget the turns that an earlier term of this replica admitted."""
        self._storage = TurnStorage(self._storage.max_bytes)

    def admit(self, request: ReserveTurn) -> TurnRefused | None:
        """Return the refusal of a turn; ``None`` if it can be stored or is not to be."""
        if request.input_bytes is None:
            return None
        history_bytes = self._machine.history_bytes(request.previous)
        if not fits_chain(history_bytes, request.input_bytes):
            return self._refuse_chain(request, history_bytes)
        missing_bytes = self._storage.missing_bytes(
            request.attempt_id, request.input_bytes, self._stored_bytes
        )
        if missing_bytes:
            return self._refuse_for_memory(request, missing_bytes)
        self._storage.admit(request.attempt_id, request.input_bytes, anyio.current_time())
        return None

    def release(self, attempt_id: str) -> None:
        """Count a turn no longer among those that are yet to be stored."""
        self._storage.release(attempt_id)

    @property
    def _stored_bytes(self) -> int:
        size = self._machine.size
        return size.turn_bytes + size.output_bytes + size.turns * TURN_OVERHEAD_BYTES

    def _refuse_chain(self, request: ReserveTurn, history_bytes: int) -> TurnRefused:
        assert request.input_bytes is not None
        too_large = TurnTooLarge(history_bytes, request.input_bytes, MAX_INPUT_BYTES)
        _log.info(
            "turn_too_large",
            request_id=request.attempt_id,
            previous_turn=request.previous,
            history_bytes=history_bytes,
            input_bytes=request.input_bytes,
            max_bytes=MAX_INPUT_BYTES,
        )
        return TurnRefused(retry_after_s=0.0, waiting=0, busy_share=0.0, too_large=too_large)

    def _refuse_for_memory(self, request: ReserveTurn, missing_bytes: int) -> TurnRefused:
        assert self._storage.max_bytes is not None
        full = TurnsFull(self._stored_bytes, self._storage.pending_bytes, self._storage.max_bytes)
        free_after_s = self._machine.time_until_freed_s(missing_bytes)
        retry_after_s = max(MIN_RETRY_AFTER_S, free_after_s)
        _log.info(
            "turns_full",
            request_id=request.attempt_id,
            input_bytes=request.input_bytes,
            stored_bytes=full.stored_bytes,
            pending_bytes=full.pending_bytes,
            max_bytes=full.max_bytes,
            retry_after_s=round(retry_after_s, 1),
        )
        return TurnRefused(retry_after_s=retry_after_s, waiting=0, busy_share=0.0, full=full)
