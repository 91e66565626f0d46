"""The call queues of a node, one for each model, and retry-after times of refused calls."""

from collections.abc import Iterator

from passlane.decisions.backends.fleet_view import FleetView
from passlane.decisions.inputs.call_events import CallArrived
from passlane.decisions.inputs.call_scheduler_config import QueueConfig
from passlane.decisions.order.call_queue import CallQueue, QueuedCall
from passlane.decisions.order.tenant_shares import TenantShares
from passlane.decisions.placement.call_placement import Placement
from passlane.identifiers import CallId

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0


class ModelQueues:
    """Waiting calls of all models.

    Parameters
    ----------
    config
        Maximum length and ordering of each queue.
    engines, placement, shares
        Engine speeds and tenant shares, used to estimate retry-after times.
    """

    def __init__(
        self,
        config: QueueConfig,
        engines: FleetView,
        placement: Placement,
        shares: TenantShares,
    ) -> None:
        self._config = config
        self._engines = engines
        self._placement = placement
        self._shares = shares
        self._queues: dict[str, CallQueue] = {}

    def __len__(self) -> int:
        """Return the number of waiting calls of all models."""
        return sum(len(queue) for queue in self._queues.values())

    def items(self) -> Iterator[tuple[str, CallQueue]]:
        """Iterate over models and their queues."""
        return iter(self._queues.items())

    def of_model(self, model: str) -> CallQueue:
        """Return the queue of a model, creating it if necessary."""
        queue = self._queues.get(model)
        if queue is None:
            queue = self._queues[model] = CallQueue(self._config)
        return queue

    def remove(self, call_id: CallId) -> bool:
        """Remove a call; return whether it was waiting."""
        return any(queue.remove(call_id) is not None for queue in self._queues.values())

    def take_expired(self, now: float) -> list[QueuedCall]:
        """Remove and return the calls whose deadline has passed."""
        return [queued for queue in self._queues.values() for queued in queue.take_expired(now)]

    def take_unserved(self, now: float) -> list[QueuedCall]:
        """Remove and return the calls whose model is no longer served by any engine."""
        unserved = [
            queued
            for model, queue in self._queues.items()
            if not self._engines.serves(model)
            for queued in queue.in_order(now, len(queue))
        ]
        for queued in unserved:
            self.of_model(queued.call.model).remove(queued.call.call_id)
        return unserved

    def next_deadline(self) -> float | None:
        """Return the earliest deadline among all waiting calls."""
        deadlines = [queue.next_deadline() for queue in self._queues.values()]
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    def retry_after_s(self, call: CallArrived, now: float) -> float:
        """Return the retry-after time of a refused call, in seconds.

        It is the larger of the expected times to serve the whole queue at the full rate and the
        tenant's waiting calls at the rate of its fair share, within bounds.
        """
        rate = self._served_per_s(call.model, now)
        if rate <= 0:
            return MAX_RETRY_AFTER_S
        queue = self.of_model(call.model)
        share = self._shares.fair_share(call.tenant_id)
        wait_s = max(len(queue), queue.waiting_count(call.tenant_id) / share) / rate
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _served_per_s(self, model: str, now: float) -> float:
        """Return how many calls per second the engines of a model serve with full batches."""
        rate = 0.0
        for engine in self._engines:
            if engine.leaving or not engine.has_model(model):
                continue
            batch = engine.body.max_batch
            answer_s = self._placement.mean_generated_tokens * engine.step_s(batch, now)
            rate += batch / max(answer_s, 1e-6)
        return rate
