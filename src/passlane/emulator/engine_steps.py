"""Steps of an emulated engine: what one computes and how long it takes."""

from collections.abc import Sequence
from dataclasses import dataclass

from passlane.emulator.engine_queue import EngineRequest
from passlane.emulator.engine_settings import EngineModelSettings

PrefillChunk = tuple[EngineRequest, int]
"""A request and how many of its prompt tokens a step computes."""


@dataclass(slots=True)
class PlannedStep:
    """What the step under way computes; ``extra_s`` is a stall before it."""

    started_at: float
    duration_s: float
    decoding: list[EngineRequest]
    prefill: list[PrefillChunk]
    extra_s: float = 0.0

    @property
    def ends_at(self) -> float:
        """Time at which the step ends."""
        return self.started_at + self.extra_s + self.duration_s


def plan_prefill(running: Sequence[EngineRequest], budget: int) -> list[PrefillChunk]:
    """Share a step's budget of tokens among the requests that are still in prefill."""
    planned: list[PrefillChunk] = []
    for request in running:
        chunk = min(request.prefill_left, budget)
        if chunk > 0:
            planned.append((request, chunk))
            budget -= chunk
    return planned


def step_duration_s(
    settings: EngineModelSettings,
    decoding: Sequence[EngineRequest],
    prefill: Sequence[PrefillChunk],
) -> float:
    """Return how long a step takes, in seconds."""
    prefill_tokens = sum(chunk for _, chunk in prefill)
    return (
        settings.step_base_s
        + settings.step_sequence_s * len(decoding)
        + settings.step_prefill_token_s * prefill_tokens
    )
