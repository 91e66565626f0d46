"""Client of a replicated group: finds the leader and retries requests."""

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

INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.5
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
    """Finds the leader, follows leader hints, and retries idempotent requests.

    Parameters
    ----------
    caller
        Sends the requests.
    addresses
        Internal addresses of the group's replicas.
    random
        Chooses the replica to try and the jitter of the backoff.
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
            The error that the leader returned; after ``timeout_s`` the last error, with
            verdict ``may_have_run`` if any attempt may have run.
        """
        deadline = anyio.current_time() + timeout_s
        backoff = Backoff(self._random, INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        verdict = Verdict.NOT_RUN
        follows_hint = False
        while True:
            address = self._leader or self._random.choice(self._addresses)
            try:
                return await self._send_attempt(address, request, reply, deadline)
            except PasslaneError as error:
                if error.code not in _RETRIED_CODES:
                    raise
                if error.verdict is not Verdict.NOT_RUN:
                    verdict = Verdict.MAY_HAVE_RUN
                hint = self._update_leader_hint(error, address)
                last_error = error
            # Only one hint in a row is followed without a pause, because two replicas may
            # name each other as the leader.
            follows_hint = hint and not follows_hint
            if not follows_hint:
                await backoff.pause()
            if anyio.current_time() >= deadline:
                raise self._final_error(last_error, verdict) from last_error

    async def _send_attempt(
        self, address: Address, request: Message, reply: type[ReplyType], deadline: float
    ) -> ReplyType:
        """Send the request to one replica; a replica that replies is assumed to lead."""
        remaining_s = deadline - anyio.current_time()
        result = await self._caller.call(
            address, request, reply, timeout_s=min(remaining_s, ATTEMPT_TIMEOUT_S)
        )
        self._leader = address
        return result

    def _update_leader_hint(self, error: PasslaneError, address: Address) -> bool:
        """Set the replica to try next; return whether the error named a leader."""
        leader = error.leader if isinstance(error, NotLeaderError) else None
        self._leader = None if leader == address else leader
        return self._leader is not None

    @staticmethod
    def _final_error(error: PasslaneError, verdict: Verdict) -> PasslaneError:
        """Return ``error`` with the combined verdict of all attempts."""
        if error.verdict is verdict:
            return error
        return PasslaneError(
            error.code, error.message, verdict=verdict, retry_after_s=error.retry_after_s
        )
