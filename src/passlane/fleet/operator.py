"""What operators may ask of any control replica; the leader answers.

For: the platform's interface for operators (``platform.operator_api``) on each control replica.
Owns: nothing.
Relies on: a caller that reaches control replicas, and ``GroupClient`` to find the leader.
"""

import random as random_module
from collections.abc import Callable, Sequence

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.base import Message
from passlane.messages.common import Address
from passlane.messages.fleet import ReadRetirement, RetireStore, StoreRetirement
from passlane.messages.routes import (
    ConfigurationReplaced,
    CurrentConfiguration,
    ReadConfiguration,
    ReplaceConfiguration,
    RouteConfiguration,
)
from passlane.replication.client import GroupClient, ReplyType
from passlane.routes.checks import check_configuration
from passlane.transport.interfaces import Caller

ANSWER_LIMIT_S = 0.85
"""Seconds for the leader's answer: callers turn to another replica after one without any."""
NO_CONFIGURATION_RETRY_AFTER_S = 1.0
"""Seconds that an operator is told to wait for a first configuration. Not measured; chosen."""


class FleetOperator:
    """Passes operators' requests to the leader of the control group.

    Parameters
    ----------
    controls
        Returns the control replicas' internal addresses as now known.
    """

    def __init__(
        self,
        caller: Caller,
        controls: Callable[[], Sequence[Address]],
        random: random_module.Random,
    ) -> None:
        self._caller = caller
        self._controls = controls
        self._random = random

    async def replace_configuration(self, configuration: RouteConfiguration) -> int:
        """Put a configuration in force; return the version held then.

        Raises
        ------
        PasslaneError
            ``INVALID_DOCUMENT`` for an invalid one; else it may have been put in force.
        """
        check_configuration(configuration)
        request = ReplaceConfiguration(configuration)
        return (await self._execute(request, ConfigurationReplaced)).version

    async def read_configuration(self) -> RouteConfiguration:
        """Return the newest acknowledged configuration, or raise ``PasslaneError``."""
        reply = await self._execute(ReadConfiguration(), CurrentConfiguration)
        if reply.configuration is None:
            raise PasslaneError(
                ErrorCode.UNAVAILABLE,
                "there is no configuration yet",
                retry_after_s=NO_CONFIGURATION_RETRY_AFTER_S,
            )
        return reply.configuration

    async def retire_store(self, name: str) -> StoreRetirement:
        """Begin to retire a store machine.

        Raises
        ------
        PasslaneError
            ``NOT_FOUND`` for an unknown machine, ``VERSION_CONFLICT`` if too few would be left;
            else the order may have been recorded. The same order may be sent again.
        """
        return await self._execute(RetireStore(name), StoreRetirement)

    async def read_retirement(self, name: str) -> StoreRetirement:
        """Return how far the retirement of a store machine is, or raise ``PasslaneError``.

        ``NOT_FOUND`` means that its retirement was never ordered.
        """
        return await self._execute(ReadRetirement(name), StoreRetirement)

    async def _execute(self, request: Message, reply: type[ReplyType]) -> ReplyType:
        client = GroupClient(self._caller, self._controls(), self._random)
        return await client.execute(request, reply, timeout_s=ANSWER_LIMIT_S)
