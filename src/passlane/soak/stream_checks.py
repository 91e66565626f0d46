"""Judges a fleet at rest: do streams that break off go on while two versions serve?"""

from collections.abc import Sequence

import anyio

from passlane.soak.back_ends import StandInEngine
from passlane.soak.configuration import TOKENS_PER_EVENT
from passlane.soak.ledger import Ledger
from passlane.soak.streams import BUDGET_EVENTS, StreamCallers, TakenStream

STREAMS = 12
BREAKS_AFTER = 2
LEAST_SHARE = 0.5
"""Share of the streams that go on, as a part of the share of new streams that begin."""


class StreamChecks:
    """Runs when load and faults have ended."""

    def __init__(
        self, streams: StreamCallers, ledger: Ledger, engines: Sequence[StandInEngine]
    ) -> None:
        self._streams = streams
        self._ledger = ledger
        self._engines = engines

    async def run(self) -> None:
        """Begin streams, break them off, and take each of them up once."""
        begun = [await self._begin(f"calm-stream-{number}") for number in range(STREAMS)]
        taken = [stream for stream in begun if stream.versions]
        went_on = 0
        for stream in taken:
            name, _, _ = stream.first_attempt.rpartition(".")
            await self._streams.attempt(name, 1, stream)
            went_on += stream.is_complete
        least = LEAST_SHARE * len(taken) * len(taken) / STREAMS
        detail = f"{len(taken)} of {STREAMS} begun, {went_on} went on"
        now = anyio.current_time()
        self._ledger.check("streams-go-on", bool(taken) and went_on >= least, "", detail, now)

    async def _begin(self, name: str) -> TakenStream:
        """Begin a stream that breaks off."""
        self._ledger.begin_program(name, BUDGET_EVENTS * TOKENS_PER_EVENT, anyio.current_time())
        stream = TakenStream()
        for engine in self._engines:
            engine.breaks_after = BREAKS_AFTER
        await self._streams.attempt(name, 0, stream)
        for engine in self._engines:
            engine.breaks_after = None
        return stream
