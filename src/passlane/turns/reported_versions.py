"""Software versions that serve resumable routes, on the leader of the store group.

It is for ``TurnService``. It owns nothing: what nodes announce is replicated before it is answered,
and is part of ``turns.state``. A version that was recorded lately is not replicated again. Log
line: ``served_versions_recorded``.
"""

from collections.abc import Sequence

import anyio

from passlane.messages.streams import ServedVersion
from passlane.messages.turns import AdvanceAge
from passlane.observability.logging import get_logger
from passlane.turns.leadership import Leadership
from passlane.turns.state.machine import TurnStateMachine

RENEWAL_INTERVAL_S = 3.0
"""Seconds within which a recorded version is not recorded again, whichever nodes announce it."""

_log = get_logger(__name__)


class ReportedVersions:
    """Replicates announced versions, and lists those of a route."""

    def __init__(self, machine: TurnStateMachine, leadership: Leadership) -> None:
        self._machine = machine
        self._leadership = leadership
        self._lock = anyio.Lock()

    async def record(self, announced: Sequence[ServedVersion]) -> None:
        """Record announced versions; return once they are replicated.

        Raises
        ------
        PasslaneError
            When they are not known to be replicated.
        """
        if not self._due(announced):
            return
        # Nodes announce a new version at the same moment; one command serves them all.
        async with self._lock:
            due = self._due(announced)
            if due:
                await self._replicate(due)

    def _due(self, announced: Sequence[ServedVersion]) -> tuple[ServedVersion, ...]:
        recorded_s = self._machine.version_recorded_s
        return tuple(v for v in announced if recorded_s(v) > RENEWAL_INTERVAL_S)

    async def _replicate(self, versions: tuple[ServedVersion, ...]) -> None:
        is_new = any(not self._machine.knows_version(version) for version in versions)
        await self._leadership.propose(AdvanceAge(seconds=0.0, served_versions=versions))
        if not is_new:
            return
        _log.info(
            "served_versions_recorded",
            versions=[str(version) for version in versions],
            age_s=round(self._machine.age_s, 3),
        )

    def find(self, address: str) -> tuple[ServedVersion, ...]:
        """Return the versions that have lately served routes of an address."""
        return self._machine.served_versions(address)
