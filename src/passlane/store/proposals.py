"""Proposing commands to the store group."""

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.base import Message, encode_message, message_decoder
from passlane.messages.store import StoreCommand, StoreResult
from passlane.replication.interfaces import ReplicatedGroup

RETRY_S = 0.1
"""Seconds between two proposals of a command whose fate is open."""

_results = message_decoder(StoreResult)


async def propose(group: ReplicatedGroup, command: StoreCommand) -> Message:
    """Replicate a command and return its result.

    Raises
    ------
    PasslaneError
        As ``ReplicatedGroup.propose``.
    """
    result: Message = _results.decode(await group.propose(encode_message(command)))
    return result


async def propose_until_decided(group: ReplicatedGroup, command: StoreCommand) -> Message | None:
    """Propose an idempotent command until it has a result.

    Returns ``None`` once this replica is no longer the leader.
    """
    while group.is_leader:
        try:
            return await propose(group, command)
        except PasslaneError as error:
            if error.code is ErrorCode.NOT_LEADER:
                return None
        await anyio.sleep(RETRY_S)
    return None
