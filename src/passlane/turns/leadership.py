"""Checks whether this replica leads the store group, and proposes commands to the group.

It is for the services that handle turns. It owns the term in which they last answered; in a new
term the quota ledger continues from the replicated grants, and the turn scheduler is reset. It
relies on ``ReplicatedGroup`` for the leader and for replication.
"""

import anyio

from passlane.decisions.limits.quota_ledger import QuotaLedger
from passlane.messages.base import Message, encode_message, message_decoder
from passlane.messages.common import NotLeaderError
from passlane.messages.turns import TurnResult
from passlane.replication.interfaces import ReplicatedGroup
from passlane.turns.age_updates import AgeUpdates
from passlane.turns.dispatch import TurnDispatcher

_result_decoder = message_decoder(TurnResult)


class Leadership:
    """Leadership of the store group as the turn services use it.

    Attributes
    ----------
    served_term
        The term in which this replica last answered as leader; -1 before any.
    """

    def __init__(
        self,
        group: ReplicatedGroup,
        quotas: QuotaLedger,
        dispatcher: TurnDispatcher,
        age: AgeUpdates,
    ) -> None:
        self._group = group
        self._age = age
        self._quotas = quotas
        self._dispatcher = dispatcher
        self.served_term = -1

    @property
    def is_leading(self) -> bool:
        """Whether this replica leads."""
        return self._group.is_leader

    @property
    def term(self) -> int:
        """The group's current term."""
        return self._group.term

    def require_leadership(self) -> None:
        """Raise unless this replica leads; initialize the leader's state in a new term.

        Raises
        ------
        NotLeaderError
            When this replica does not lead.
        """
        if not self._group.is_leader:
            raise NotLeaderError("not the leader of the store group", self._group.leader_address)
        self._quotas.enter_term(self._group.term, anyio.current_time())
        if self._group.term != self.served_term:
            self.served_term = self._group.term
            self._dispatcher.begin_term()

    async def confirm(self) -> None:
        """Return once this replica leads for certain, and has applied all that was committed.

        One that stood still or was cut off leads by its own state until it notices, while another
        one records what it doesn't know.

        Raises
        ------
        NotLeaderError
            When another replica may lead.
        """
        await self._group.read_barrier()
        self.require_leadership()

    async def propose(self, command: Message, *, may_be_deferred: bool = False) -> Message:
        """Replicate a command and return its result; it is applied at the present age of the state.

        Raises
        ------
        PasslaneError
            When the command is not known to be replicated; the verdict says whether it may be.
        """
        await self._age.advance_if_overdue()
        encoded = encode_message(command)
        result = await self._group.propose(encoded, may_be_deferred=may_be_deferred)
        decoded: Message = _result_decoder.decode(result)
        return decoded
