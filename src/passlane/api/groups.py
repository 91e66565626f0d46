"""The replicated groups as the operators' interface reaches them."""

from typing import Any, Protocol

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.base import Message

_NO_ANSWER = frozenset(
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
    """Says which group it was when none of its replicas answers as leader.

    Parameters
    ----------
    name
        For people, such as ``control group``.
    group
        Carries out the requests.
    """

    def __init__(self, name: str, group: GroupExecutor) -> None:
        self._name = name
        self._group = group

    async def execute(self, request: Message, reply: type[Any], *, timeout_s: float) -> Any:
        """Return the leader's reply; raise as the group does."""
        try:
            return await self._group.execute(request, reply, timeout_s=timeout_s)
        except PasslaneError as error:
            if error.code not in _NO_ANSWER:
                raise
            raise PasslaneError(
                ErrorCode.UNAVAILABLE,
                f"no leader of the {self._name} answered within {timeout_s:g} s "
                f"(last: {error.message})",
                verdict=error.verdict,
                retry_after_s=error.retry_after_s,
            ) from error
