"""Answers whether this replica of the store group leads, and sends commands to the group.

It is for the parts that serve turns. It owns the term that they last served; when that changes,
the ledger of quotas goes on from what others granted, and the scheduler of turns begins anew. It
relies on the group (``ReplicatedGroup``) for who leads and for replication.
"""

import anyio

from passlane.decisions.limits.quota_ledger import QuotaLedger
from passlane.messages.base import Message, encode_message, message_decoder
from passlane.messages.common import NotLeaderError
from passlane.messages.turns import TurnResult
from passlane.replication.interfaces import ReplicatedGroup
from passlane.turns.dispatch import TurnDispatcher

_result_decoder = message_decoder(TurnResult)


class Leadership:
    """The lead of the store group, as far as turns are served under it.

    Attributes
    ----------
    served_term
        The term under which this replica last served a turn; -1 before any.
    """

    def __init__(
        self, group: ReplicatedGroup, quotas: QuotaLedger, dispatcher: TurnDispatcher
    ) -> None:
        self._group = group
        self._quotas = quotas
        self._dispatcher = dispatcher
        self.served_term = -1

    @property
    def is_held(self) -> bool:
        """Whether this replica leads."""
        return self._group.is_leader

    @property
    def term(self) -> int:
        """The group's term."""
        return self._group.term

    def require(self) -> None:
        """Refuse unless this replica leads; in a new term, go on from what others granted.

        Raises
        ------
        NotLeaderError
            When it does not lead.
        """
        if not self._group.is_leader:
            raise NotLeaderError("not the leader of the store group", self._group.leader_address)
        self._quotas.enter_term(self._group.term, anyio.current_time())
        if self._group.term != self.served_term:
            self.served_term = self._group.term
            self._dispatcher.begin_term()

    async def propose(self, command: Message, *, may_be_deferred: bool = False) -> Message:
        """Have a command replicated and return its result.

        Raises
        ------
        PasslaneError
            When it is not known to be replicated; the verdict tells whether it may be.
        """
        encoded = encode_message(command)
        result = await self._group.propose(encoded, may_be_deferred=may_be_deferred)
        decoded: Message = _result_decoder.decode(result)
        return decoded
