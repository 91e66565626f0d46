"""Operators' requests to any control replica, which are forwarded to the leader.

For: the platform's operator API (``platform.operator_api``) on each control replica.
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

LEADER_TIMEOUT_S = 0.85
"""Timeout of the leader's answer; callers try another replica when one is slow to answer."""
NO_CONFIGURATION_RETRY_AFTER_S = 1.0
"""Retry delay returned to an operator while there is no configuration."""


class FleetOperator:
    """Forwards operators' requests to the leader of the control group.

    Parameters
    ----------
    controls
        Returns the control replicas' internal addresses as currently known.
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
        """Replace the configuration; return the version that is then in effect.

        Raises
        ------
        PasslaneError
            ``INVALID_DOCUMENT`` for an invalid configuration; after any other error it may have
            been replaced.
        """
        check_configuration(configuration)
        request = ReplaceConfiguration(configuration)
        return (await self._forward(request, ConfigurationReplaced)).version

    async def read_configuration(self) -> RouteConfiguration:
        """Return the newest acknowledged configuration.

        Raises
        ------
        PasslaneError
            ``UNAVAILABLE`` while there is no configuration, or when no leader answered.
        """
        reply = await self._forward(ReadConfiguration(), CurrentConfiguration)
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
            ``NOT_FOUND`` for an unknown machine, ``VERSION_CONFLICT`` if too few machines would
            be left; after any other error the retirement may have begun. Safe to retry.
        """
        return await self._forward(RetireStore(name), StoreRetirement)

    async def read_retirement(self, name: str) -> StoreRetirement:
        """Return the state of a store machine's retirement.

        Raises
        ------
        PasslaneError
            ``NOT_FOUND`` if its retirement was never requested.
        """
        return await self._forward(ReadRetirement(name), StoreRetirement)

    async def _forward(self, request: Message, reply: type[ReplyType]) -> ReplyType:
        client = GroupClient(self._caller, self._controls(), self._random)
        return await client.execute(request, reply, timeout_s=LEADER_TIMEOUT_S)
