"""Advances the age of the state of turns while this replica leads the store group.

It is for ``Leadership``, which lets no command overtake an age that is due, and for
``TurnService``, which advances the age at intervals. It owns when the age is proposed; which age is
decided in ``turns.state.age_clock``. Log lines: ``age_advanced``, ``age_not_advanced``.
"""

import anyio

from passlane.errors import PasslaneError, Verdict
from passlane.messages.base import encode_message
from passlane.messages.common import NotLeaderError
from passlane.messages.turns import AdvanceAge
from passlane.observability.logging import get_logger
from passlane.replication.interfaces import ReplicatedGroup
from passlane.turns.state.age_clock import AgeClock
from passlane.turns.state.machine import TurnStateMachine

AGE_UPDATE_INTERVAL_S = 1.0
"""Interval at which the leader advances the age. What passed since the last advance is lost with
all replicas, and is then kept for that much longer."""
MAX_AGE_LAG_S = 2.0
"""Time since the last advance after which no command is proposed before the next one. Together with
the time of a proposal it has to stay below ``RETENTION_MARGIN_S``."""

_log = get_logger(__name__)


class AgeUpdates:
    """Proposes the state's age, at intervals and before commands of a new leader."""

    def __init__(self, machine: TurnStateMachine, group: ReplicatedGroup) -> None:
        self._machine = machine
        self._group = group
        self._clock = AgeClock()
        machine.on_age(self._record_applied)

    async def run(self) -> None:
        """Advance the age at intervals while this replica leads."""
        while True:
            await anyio.sleep(AGE_UPDATE_INTERVAL_S)
            if not self._group.is_leader:
                continue
            try:
                await self._advance()
            except PasslaneError:
                # Logged already; the next advance includes this one.
                continue

    async def advance_if_overdue(self) -> None:
        """Advance the age if the leader has not done so for ``MAX_AGE_LAG_S`` or in this term.

        What is stored at an age that lags would be removed too early once the age has caught up.

        Raises
        ------
        PasslaneError
            As from ``ReplicatedGroup.propose``, with verdict ``not_run`` for the caller's command;
            ``NOT_LEADER`` also while a new leader has not applied an entry of its own term.
        """
        if not self._group.is_leader:
            # Entries of earlier terms may not be applied yet, so the age is not known.
            raise NotLeaderError("not the leader of the store group", self._group.leader_address)
        overdue_s = self._clock.overdue_s(self._group.term, anyio.current_time())
        if overdue_s <= MAX_AGE_LAG_S:
            return
        try:
            await self._advance()
        except PasslaneError as error:
            raise _error_for_command(error) from error

    async def _advance(self) -> None:
        term = self._group.term
        command = self._clock.advance(term, anyio.current_time())
        try:
            await self._group.propose(encode_message(command))
        except PasslaneError as error:
            if error.verdict is Verdict.NOT_RUN:
                self._clock.record_rejected(term, command)
            _log.info("age_not_advanced", code=error.code.value, term=term)
            raise
        self._log_advanced(term, command)

    def _record_applied(self, age_s: float) -> None:
        self._clock.record_applied(age_s, anyio.current_time())

    def _log_advanced(self, term: int, command: AdvanceAge) -> None:
        size = self._machine.size
        _log.info(
            "age_advanced",
            seconds=round(command.seconds, 3),
            age_s=round(self._machine.age_s, 3),
            term=term,
            programs=size.programs,
            turns=size.turns,
            turn_bytes=size.turn_bytes,
        )


def _error_for_command(error: PasslaneError) -> PasslaneError:
    """Return the error of a command that was not proposed because the age was not advanced."""
    if isinstance(error, NotLeaderError):
        return error
    message = f"the age of the state could not be advanced: {error.message}"
    return PasslaneError(
        error.code, message, verdict=Verdict.NOT_RUN, retry_after_s=error.retry_after_s
    )
