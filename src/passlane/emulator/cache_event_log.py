"""Cache events as an engine publishes them: numbered, late and with gaps."""

import random
from collections import deque
from dataclasses import dataclass

from passlane.emulator.engine_settings import EngineModelSettings
from passlane.identifiers import ProgramId
from passlane.messages.backends import CacheEvent, CacheEventKind


@dataclass(frozen=True, slots=True)
class _Published:
    """An event and the time from which readers see it."""

    visible_at: float
    event: CacheEvent


class CacheEventLog:
    """Numbers cache events and hands them to readers after a drawn delay."""

    def __init__(self, settings: EngineModelSettings, generator: random.Random) -> None:
        self._settings = settings
        self._random = generator
        self._published: deque[_Published] = deque(maxlen=settings.event_history)
        self._last_visible_at = 0.0
        self.last_number = 0

    def record(self, kind: CacheEventKind, program_id: ProgramId, tokens: int, now: float) -> None:
        """Number an event; publish it later, or never when it is drawn to be lost."""
        self.last_number += 1
        if self._random.random() < self._settings.event_loss_probability:
            return
        delay = self._random.uniform(
            self._settings.event_delay_min_s, self._settings.event_delay_max_s
        )
        # Readers name the last number they saw, so events must appear in their order.
        self._last_visible_at = max(self._last_visible_at, now + delay)
        event = CacheEvent(number=self.last_number, kind=kind, program_id=program_id, tokens=tokens)
        self._published.append(_Published(self._last_visible_at, event))

    def last_published(self, now: float) -> int:
        """Return the number of the newest event that readers see by ``now``; 0 for none."""
        for published in reversed(self._published):
            if published.visible_at <= now:
                return published.event.number
        return 0

    def events_after(self, number: int, now: float) -> tuple[CacheEvent, ...]:
        """Return the events after ``number`` that are published by ``now``, in order."""
        newer: list[CacheEvent] = []
        for published in reversed(self._published):
            if published.event.number <= number:
                break
            if published.visible_at <= now:
                newer.append(published.event)
        return tuple(reversed(newer))
