"""Puts configurations in force and tells operators the newest one.

For: the answer to operators' requests, which any control replica passes on to the leader.
Owns: nothing; a configuration is part of the replicated state.
Relies on: ``LeaderState`` to propose and to wake the nodes, ``routes.checks`` for what is valid.
"""

from passlane.fleet.leader_state import LeaderState
from passlane.messages.routes import (
    ConfigurationReplaced,
    CurrentConfiguration,
    ReadConfiguration,
    ReplaceConfiguration,
)
from passlane.observability.logging import get_logger
from passlane.routes.checks import check_configuration

_log = get_logger(__name__)


class ConfigurationService:
    """Replaces and reads the configuration; only the leader does.

    Each method raises ``NotLeaderError`` at another replica.
    """

    def __init__(self, leader: LeaderState) -> None:
        self._leader = leader

    async def replace_configuration(self, request: ReplaceConfiguration) -> ConfigurationReplaced:
        """Put a configuration in force; the reply means that it lasts.

        Raises
        ------
        PasslaneError
            ``INVALID_DOCUMENT`` for an invalid one; else as ``LeaderState.propose`` raises it.
        """
        self._leader.require_leadership()
        check_configuration(request.configuration)
        reply = await self._leader.propose(request, ConfigurationReplaced)
        self._leader.wake_waiting()
        _log.info(
            "configuration_replaced",
            sent_version=request.configuration.version,
            held_version=reply.version,
            is_new=reply.is_new,
        )
        return reply

    async def read_configuration(self, request: ReadConfiguration) -> CurrentConfiguration:
        """Return the newest configuration, which includes all acknowledged before the call."""
        self._leader.require_leadership()
        await self._leader.read_barrier()
        return CurrentConfiguration(configuration=self._leader.replicated.configuration)
