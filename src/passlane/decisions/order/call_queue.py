"""Queue of the calls that wait for one model, and the order in which they are served.

Order, first rule first:

1. class: lower first; a lane moves up one class for each ``class_step_s`` that its
   longest-waiting call has waited;
2. tenants of a class share by weighted fair queuing: the one that has had the least
   service for its weight comes first;
3. calls of one lane are ordered by arrival plus ``attained service / ageing rate``: least
   attained service first, but a second of waiting makes up for ``ageing_tokens_per_s``;
4. a call whose deadline is near goes to the front of its lane.

A lane holds the calls of one tenant and class; the first calls of programs have lanes of
their own, so that the calls of programs under way can go on while new ones must wait.
Because attained service is capped, no call that arrived ``starvation_bound_s`` later
than another goes ahead of it in its lane, unless its deadline is near.
"""

import bisect
import heapq
from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from passlane.decisions.inputs.call_events import CallArrived
from passlane.decisions.inputs.call_scheduler_config import Ordering, QueueConfig
from passlane.identifiers import CallId, TenantId


class _LaneKey(NamedTuple):
    """Calls that share a lane."""

    tenant_id: TenantId
    service_class: int
    is_first: bool


_ARRIVAL_LANE = _LaneKey(TenantId(""), 0, False)


@dataclass(frozen=True, slots=True)
class QueuedCall:
    """A waiting call with its place in the lane's order.

    ``is_first`` tells that it begins a program of its own.
    """

    call: CallArrived
    is_first: bool
    arrived_at: float
    due: float
    number: int

    @property
    def order_key(self) -> tuple[float, int]:
        """Sorts calls of a lane; the number breaks ties by arrival."""
        return (self.due, self.number)


@dataclass(slots=True)
class _Lane:
    """Waiting calls of one lane, sorted by ``order_key``.

    ``arrivals`` holds the same calls' times of arrival by their number, oldest first.
    """

    tenant_id: TenantId
    service_class: int
    calls: list[QueuedCall] = field(default_factory=list)
    arrivals: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def add(self, queued: QueuedCall) -> None:
        """Put a call in its place."""
        bisect.insort(self.calls, queued, key=lambda item: item.order_key)
        self.arrivals[queued.number] = queued.arrived_at

    def remove(self, queued: QueuedCall) -> None:
        """Take out a call that is in the lane."""
        index = bisect.bisect_left(self.calls, queued.order_key, key=lambda item: item.order_key)
        del self.calls[index]
        del self.arrivals[queued.number]

    def effective_class(self, now: float, class_step_s: float) -> int:
        """Return the class, one better for each ``class_step_s`` that the oldest call waited."""
        if self.service_class <= 0 or class_step_s <= 0:
            return self.service_class
        waited_s = now - next(iter(self.arrivals.values()))
        return max(0, self.service_class - int(waited_s / class_step_s))


class CallQueue:
    """Waiting calls of one model at one node, of bounded length.

    Parameters
    ----------
    config
        Bound and order.
    """

    def __init__(self, config: QueueConfig) -> None:
        self._config = config
        self._lanes: dict[_LaneKey, _Lane] = {}
        self._calls: dict[CallId, QueuedCall] = {}
        self._deadlines: list[tuple[float, int, CallId]] = []
        self._service: dict[TenantId, float] = {}
        self._waiting_of: Counter[TenantId] = Counter()
        self._virtual_time = 0.0
        self._next_number = 0

    def __len__(self) -> int:
        """Return how many calls wait."""
        return len(self._calls)

    def __contains__(self, call_id: CallId) -> bool:
        """Return whether the call waits here."""
        return call_id in self._calls

    def has_room_for(self, tenant_id: TenantId) -> bool:
        """Return whether another call of the tenant may wait here.

        No tenant may fill the queue by itself: each has its share, and room for one
        more tenant's share is kept free.
        """
        if len(self._calls) >= self._config.max_calls:
            return False
        if self._config.ordering is Ordering.ARRIVAL:
            return True
        share = self._config.max_calls // (len(self._waiting_of) + 1)
        return self._waiting_of[tenant_id] < max(share, 1)

    def add(
        self, call: CallArrived, attained_tokens: int, now: float, *, is_first: bool = False
    ) -> None:
        """Queue a call whose program has attained that much service so far.

        ``is_first`` tells that it begins a program of its own.
        """
        due = self._due(call, attained_tokens, now)
        queued = QueuedCall(call, is_first, now, due, self._next_number)
        self._next_number += 1
        key = self._lane_key(queued)
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = _Lane(key.tenant_id, key.service_class)
        lane.add(queued)
        self._calls[call.call_id] = queued
        self._waiting_of[call.tenant_id] += 1
        heapq.heappush(self._deadlines, (call.deadline, queued.number, call.call_id))
        # A tenant that was idle does not save up service for later.
        self._service[call.tenant_id] = max(
            self._service.get(call.tenant_id, 0.0), self._virtual_time
        )

    def remove(self, call_id: CallId) -> QueuedCall | None:
        """Take a call out; return it, or ``None`` if it does not wait here."""
        queued = self._calls.pop(call_id, None)
        if queued is None:
            return None
        tenant_id = queued.call.tenant_id
        self._waiting_of[tenant_id] -= 1
        if self._waiting_of[tenant_id] == 0:
            del self._waiting_of[tenant_id]
        key = self._lane_key(queued)
        lane = self._lanes[key]
        lane.remove(queued)
        if not lane.calls:
            del self._lanes[key]
        return queued

    def charge(self, call: CallArrived, tokens: float) -> None:
        """Count service of a started call towards its tenant's share."""
        start = self._service.get(call.tenant_id, self._virtual_time)
        self._virtual_time = max(self._virtual_time, start)
        self._service[call.tenant_id] = start + tokens / max(call.weight, 0.01)
        if len(self._service) > 4 * len(self._lanes) + 1_000:
            self._forget_idle_tenants()

    def waiting_of(self, tenant_id: TenantId) -> int:
        """Return how many calls of a tenant wait here."""
        return self._waiting_of[tenant_id]

    def in_order(self, now: float, lane_limit: int) -> Iterator[QueuedCall]:
        """Yield waiting calls, up to ``lane_limit`` of each lane, the first to be served first.

        The queue may be changed only after the iteration has been left.
        """
        heads: list[tuple[int, float, float, int, int, _Lane]] = []
        for lane in self._lanes.values():
            effective = lane.effective_class(now, self._config.class_step_s)
            first = lane.calls[0]
            service = self._service.get(lane.tenant_id, 0.0)
            heads.append((effective, service, first.due, first.number, 0, lane))
        heapq.heapify(heads)
        while heads:
            effective, service, _, _, index, lane = heads[0]
            queued = lane.calls[index]
            yield queued
            following = index + 1
            if following >= min(len(lane.calls), lane_limit):
                heapq.heappop(heads)
                continue
            next_call = lane.calls[following]
            service += queued.call.max_tokens / max(queued.call.weight, 0.01)
            entry = (effective, service, next_call.due, next_call.number, following, lane)
            heapq.heapreplace(heads, entry)

    def take_expired(self, now: float) -> list[QueuedCall]:
        """Take out and return the calls whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, number, call_id = heapq.heappop(self._deadlines)
            queued = self._calls.get(call_id)
            if queued is not None and queued.number == number:
                self.remove(call_id)
                expired.append(queued)
        return expired

    def next_deadline(self) -> float | None:
        """Return the earliest deadline among the waiting calls."""
        while self._deadlines:
            deadline, number, call_id = self._deadlines[0]
            queued = self._calls.get(call_id)
            if queued is not None and queued.number == number:
                return deadline
            heapq.heappop(self._deadlines)
        return None

    def _due(self, call: CallArrived, attained_tokens: int, now: float) -> float:
        if self._config.ordering is Ordering.ARRIVAL:
            return now
        counted = min(attained_tokens, self._config.max_attained_tokens)
        due = now + counted / self._config.ageing_tokens_per_s
        return min(due, call.deadline - self._config.urgent_s)

    def _lane_key(self, queued: QueuedCall) -> _LaneKey:
        if self._config.ordering is Ordering.ARRIVAL:
            return _ARRIVAL_LANE
        return _LaneKey(queued.call.tenant_id, queued.call.service_class, queued.is_first)

    def _forget_idle_tenants(self) -> None:
        self._service = {
            tenant_id: service
            for tenant_id, service in self._service.items()
            if tenant_id in self._waiting_of or service > self._virtual_time
        }
