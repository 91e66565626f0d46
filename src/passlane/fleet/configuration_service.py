"""Applies new configurations and returns the newest one.

For: operators' requests, which any control replica forwards to the leader.
Owns: nothing; the configuration is part of the replicated state.
Relies on: ``LeaderState`` to propose and to notify the nodes, ``routes.checks`` for validation.
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
    """Replaces and reads the configuration on the leader.

    Each method raises ``NotLeaderError`` on other replicas.
    """

    def __init__(self, leader: LeaderState) -> None:
        self._leader = leader

    async def replace_configuration(self, request: ReplaceConfiguration) -> ConfigurationReplaced:
        """Replace the configuration; the reply confirms that it is durable.

        Raises
        ------
        PasslaneError
            ``INVALID_DOCUMENT`` for an invalid configuration; otherwise as raised by
            ``LeaderState.propose``.
        """
        self._leader.require_leadership()
        check_configuration(request.configuration)
        reply = await self._leader.propose(request, ConfigurationReplaced)
        self._leader.notify_changed()
        _log.info(
            "configuration_replaced",
            sent_version=request.configuration.version,
            held_version=reply.version,
            is_new=reply.is_new,
        )
        return reply

    async def read_configuration(self, request: ReadConfiguration) -> CurrentConfiguration:
        """Return the newest configuration, including all replacements acknowledged before."""
        self._leader.require_leadership()
        await self._leader.read_barrier()
        return CurrentConfiguration(configuration=self._leader.replicated.configuration)
