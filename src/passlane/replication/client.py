"""Sends requests to the leader of a replicated group, wherever it is."""

import random as random_module
from collections.abc import Sequence
from typing import TypeVar

import anyio

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import Message
from passlane.messages.common import Address, NotLeaderError
from passlane.replication.backoff import Backoff
from passlane.transport.interfaces import Caller

ReplyType = TypeVar("ReplyType", bound=Message)

FIRST_PAUSE_S = 0.01
LONGEST_PAUSE_S = 0.5
ATTEMPT_TIMEOUT_S = 2.0

_RETRIED_CODES = frozenset(
    {
        ErrorCode.UNAVAILABLE,
        ErrorCode.NOT_LEADER,
        ErrorCode.CONNECTION_LOST,
        ErrorCode.TIMEOUT,
        ErrorCode.LEASE_LOST,
    }
)


class GroupClient:
    """Finds the leader, follows hints to it, and repeats idempotent requests.

    Parameters
    ----------
    caller
        Sends the requests.
    addresses
        Internal addresses of the group's replicas.
    random
        For the order of tries and the jitter of pauses.
    """

    def __init__(
        self, caller: Caller, addresses: Sequence[Address], random: random_module.Random
    ) -> None:
        if not addresses:
            raise ValueError("a group needs at least one address")
        self._caller = caller
        self._addresses = list(addresses)
        self._random = random
        self._leader: Address | None = None

    async def execute(
        self, request: Message, reply: type[ReplyType], *, timeout_s: float
    ) -> ReplyType:
        """Return the leader's reply to ``request``, which must be idempotent.

        Raises
        ------
        PasslaneError
            As the leader answered; after ``timeout_s`` the last error, with verdict
            ``may_have_run`` if any try may have run.
        """
        deadline = anyio.current_time() + timeout_s
        backoff = Backoff(self._random, FIRST_PAUSE_S, LONGEST_PAUSE_S)
        verdict = Verdict.NOT_RUN
        follows_hint = False
        while True:
            address = self._leader or self._random.choice(self._addresses)
            try:
                return await self._try(address, request, reply, deadline)
            except PasslaneError as error:
                if error.code not in _RETRIED_CODES:
                    raise
                if error.verdict is not Verdict.NOT_RUN:
                    verdict = Verdict.MAY_HAVE_RUN
                hint = self._note_failure(error, address)
                last_error = error
            # A first hint is followed at once; two replicas may point at each other.
            follows_hint = hint and not follows_hint
            if not follows_hint:
                await backoff.pause()
            if anyio.current_time() >= deadline:
                raise self._final_error(last_error, verdict) from last_error

    async def _try(
        self, address: Address, request: Message, reply: type[ReplyType], deadline: float
    ) -> ReplyType:
        """Send the request to one replica; one that answers is taken for the leader."""
        remaining_s = deadline - anyio.current_time()
        result = await self._caller.call(
            address, request, reply, timeout_s=min(remaining_s, ATTEMPT_TIMEOUT_S)
        )
        self._leader = address
        return result

    def _note_failure(self, error: PasslaneError, address: Address) -> bool:
        """Choose where to try next; return whether the error named a leader."""
        leader = error.leader if isinstance(error, NotLeaderError) else None
        self._leader = None if leader == address else leader
        return self._leader is not None

    @staticmethod
    def _final_error(error: PasslaneError, verdict: Verdict) -> PasslaneError:
        """Return ``error`` with the verdict over all tries."""
        if error.verdict is verdict:
            return error
        return PasslaneError(
            error.code, error.message, verdict=verdict, retry_after_s=error.retry_after_s
        )
