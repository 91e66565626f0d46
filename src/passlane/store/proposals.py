"""Proposing commands to the store group.

Encodes commands, decodes their results, and retries idempotent commands.
"""

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.base import Message, encode_message, message_decoder
from passlane.messages.store import StoreCommand, StoreResult
from passlane.replication.interfaces import ReplicatedGroup

RETRY_INTERVAL_S = 0.1
"""Interval between two proposals of a command whose outcome is unknown."""

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
    """Propose an idempotent command, with retries, until it has a result.

    Returns ``None`` once this replica is no longer the leader.
    """
    while group.is_leader:
        try:
            return await propose(group, command)
        except PasslaneError as error:
            if error.code is ErrorCode.NOT_LEADER:
                return None
        await anyio.sleep(RETRY_INTERVAL_S)
    return None
