"""Access of the operators' interface to the control group and the store group."""

from typing import Any, Protocol

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.base import Message

_NO_LEADER_CODES = frozenset(
    {
        ErrorCode.UNAVAILABLE,
        ErrorCode.NOT_LEADER,
        ErrorCode.CONNECTION_LOST,
        ErrorCode.TIMEOUT,
        ErrorCode.LEASE_LOST,
    }
)


class GroupExecutor(Protocol):
    """Sends a request to the leader of a group; see ``replication.client.GroupClient``."""

    async def execute(self, request: Message, reply: type[Any], *, timeout_s: float) -> Any:
        """Return the leader's reply."""
        ...


class NamedGroup:
    """Adds the group's name to the error when no leader of the group answers.

    Parameters
    ----------
    name
        Name in error messages, such as ``control group``.
    group
        Executes the requests.
    """

    def __init__(self, name: str, group: GroupExecutor) -> None:
        self._name = name
        self._group = group

    async def execute(self, request: Message, reply: type[Any], *, timeout_s: float) -> Any:
        """Return the leader's reply; raise ``UNAVAILABLE`` when no leader answers."""
        try:
            return await self._group.execute(request, reply, timeout_s=timeout_s)
        except PasslaneError as error:
            if error.code not in _NO_LEADER_CODES:
                raise
            raise PasslaneError(
                ErrorCode.UNAVAILABLE,
                f"no leader of the {self._name} answered within {timeout_s:g} s "
                f"(last: {error.message})",
                verdict=error.verdict,
                retry_after_s=error.retry_after_s,
            ) from error
