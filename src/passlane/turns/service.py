"""Serves turns on one replica of the store group; only the leader answers."""

import anyio
import msgspec

from passlane.errors import PasslaneError
from passlane.messages.base import Message, encode_message, message_decoder
from passlane.messages.common import NotLeaderError
from passlane.messages.turns import (
    AdvanceAge,
    FindTurnStore,
    ReserveTurn,
    SettleTurn,
    TurnReserved,
    TurnResult,
    TurnStoreFound,
)
from passlane.observability.logging import get_logger
from passlane.replication.interfaces import ReplicatedGroup
from passlane.transport.interfaces import Router
from passlane.turns.machine import TurnStateMachine

AGE_STEP_S = 5.0
"""The leader tells so often that time has passed."""

_result_decoder = message_decoder(TurnResult)
_log = get_logger(__name__)


class TurnService:
    """Proposes reservations and settlements, and reads histories."""

    def __init__(self, group: ReplicatedGroup, machine: TurnStateMachine, router: Router) -> None:
        self._group = group
        self._machine = machine
        router.add_unary(ReserveTurn, self.reserve)
        router.add_unary(SettleTurn, self.settle)
        router.add_unary(FindTurnStore, self.find)

    async def run(self) -> None:
        """Advance the age of the state while this replica leads, until cancelled."""
        while True:
            await anyio.sleep(AGE_STEP_S)
            if not self._group.is_leader:
                continue
            try:
                await self._propose(AdvanceAge(seconds=AGE_STEP_S))
            except PasslaneError as error:
                # The next step follows; too low an age only keeps records for longer.
                _log.info("age_not_advanced", code=error.code.value)

    async def reserve(self, request: ReserveTurn) -> Message:
        """Reserve a turn's tokens; the reply holds the history that goes before its input."""
        self._require_leadership()
        result = await self._propose(request)
        if isinstance(result, TurnReserved) and request.previous is not None:
            history = self._machine.history_of(request.previous)
            return msgspec.structs.replace(result, history=history)
        return result

    async def settle(self, request: SettleTurn) -> Message:
        """Settle a turn; the reply means that it is durable on a majority."""
        self._require_leadership()
        return await self._propose(request)

    async def find(self, request: FindTurnStore) -> Message:
        """Tell a node that lost the store group that its leader is here."""
        self._require_leadership()
        return TurnStoreFound(term=self._group.term)

    def _require_leadership(self) -> None:
        if not self._group.is_leader:
            raise NotLeaderError("not the leader of the store group", self._group.leader_address)

    async def _propose(self, command: Message) -> Message:
        result: Message = _result_decoder.decode(await self._group.propose(encode_message(command)))
        return result
