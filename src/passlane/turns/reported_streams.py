"""Where recent streams began, on the leader of the store group.

It is for ``TurnService``. It owns the origins that nodes have reported and that are not replicated
yet; the others are part of ``turns.state``. A stream's origin never changes, so a lookup may answer
from either. It relies on ``Leadership`` for replication.
"""

from collections.abc import Iterable

import anyio

from passlane.errors import PasslaneError
from passlane.messages.streams import StreamOrigin
from passlane.messages.turns import AdvanceAge
from passlane.observability.logging import get_logger
from passlane.turns.leadership import Leadership
from passlane.turns.state.machine import TurnStateMachine

REPLICATION_INTERVAL_S = 0.15
"""Interval at which new origins are replicated together; those of the last interval are lost with
the leader."""
MAX_UNREPLICATED_ORIGINS = 5_000
"""Bounds memory while the group can't replicate; the oldest give way."""

_log = get_logger(__name__)


class ReportedStreams:
    """Origins of streams, reported by nodes and replicated by the leader."""

    def __init__(self, machine: TurnStateMachine, leadership: Leadership) -> None:
        self._machine = machine
        self._leadership = leadership
        self._unreplicated: dict[str, StreamOrigin] = {}

    def record(self, origins: Iterable[StreamOrigin]) -> None:
        """Record reported origins; they can be looked up at once."""
        for origin in origins:
            self._unreplicated.setdefault(origin.stream_id, origin)
        excess = len(self._unreplicated) - MAX_UNREPLICATED_ORIGINS
        if excess <= 0:
            return
        for stream_id in list(self._unreplicated)[:excess]:
            del self._unreplicated[stream_id]
        _log.warning("stream_origins_dropped", count=excess, kept=MAX_UNREPLICATED_ORIGINS)

    def find(self, stream_id: str) -> StreamOrigin | None:
        """Return where a stream began; ``None`` if no node has reported it."""
        return self._unreplicated.get(stream_id) or self._machine.stream_origin(stream_id)

    async def run(self) -> None:
        """Replicate new origins at intervals while this replica leads."""
        while True:
            await anyio.sleep(REPLICATION_INTERVAL_S)
            if self._unreplicated and self._leadership.is_leading:
                await self._replicate(tuple(self._unreplicated.values()))

    async def _replicate(self, origins: tuple[StreamOrigin, ...]) -> None:
        command = AdvanceAge(seconds=0.0, begun_streams=origins)
        try:
            await self._leadership.propose(command)
        except PasslaneError as error:
            # They stay here and are replicated again.
            _log.info("stream_origins_not_replicated", count=len(origins), code=error.code.value)
            return
        for origin in origins:
            self._unreplicated.pop(origin.stream_id, None)
