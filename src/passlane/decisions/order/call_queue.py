"""Queue of the calls that wait for one model, and the order in which they are served.

The order, by decreasing precedence:

1. Class: lower first. A lane moves up one class for each ``class_step_s`` that its oldest call
   has waited.
2. Weighted fair queuing among the tenants of a class: the tenant with the least service per
   weight first.
3. Within a lane, arrival time plus ``attained service / aging rate``: least attained service
   first, where one second of waiting offsets ``ageing_tokens_per_s``.
4. A call close to its deadline moves to the front of its lane.

A lane contains the calls of one tenant and class. First calls of programs have separate lanes, so
that calls of programs under way can start while new programs must wait. Attained service is
capped, so a call never overtakes one in its lane that arrived ``starvation_bound_s`` earlier,
unless its deadline is near.
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
    """Key of a lane: calls with the same key share it."""

    tenant_id: TenantId
    service_class: int
    is_first: bool


_ARRIVAL_LANE = _LaneKey(TenantId(""), 0, False)


@dataclass(frozen=True, slots=True)
class QueuedCall:
    """A waiting call with its sort key.

    Attributes
    ----------
    call
        The call.
    is_first
        Whether it is the first call of a program.
    arrived_at
        Time of its arrival.
    sort_time
        Arrival time shifted by attained service or deadline; calls are sorted by it.
    number
        Sequence number of its arrival.
    """

    call: CallArrived
    is_first: bool
    arrived_at: float
    sort_time: float
    number: int

    @property
    def order_key(self) -> tuple[float, int]:
        """Sort key within a lane; the number breaks ties by arrival."""
        return (self.sort_time, self.number)


@dataclass(slots=True)
class _Lane:
    """Waiting calls of one lane, sorted by ``order_key``.

    ``arrivals`` maps the numbers of the same calls to their arrival times, oldest first.
    """

    tenant_id: TenantId
    service_class: int
    calls: list[QueuedCall] = field(default_factory=list)
    arrivals: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def add(self, queued: QueuedCall) -> None:
        """Insert a call in order."""
        bisect.insort(self.calls, queued, key=lambda item: item.order_key)
        self.arrivals[queued.number] = queued.arrived_at

    def remove(self, queued: QueuedCall) -> None:
        """Remove a call that is in the lane."""
        index = bisect.bisect_left(self.calls, queued.order_key, key=lambda item: item.order_key)
        del self.calls[index]
        del self.arrivals[queued.number]

    def effective_class(self, now: float, class_step_s: float) -> int:
        """Return the class, reduced by one per ``class_step_s`` that the oldest call waited."""
        if self.service_class <= 0 or class_step_s <= 0:
            return self.service_class
        waited_s = now - next(iter(self.arrivals.values()))
        return max(0, self.service_class - int(waited_s / class_step_s))


class CallQueue:
    """Bounded queue of the calls that wait for one model at one node.

    Parameters
    ----------
    config
        Maximum length and ordering.
    """

    def __init__(self, config: QueueConfig) -> None:
        self._config = config
        self._lanes: dict[_LaneKey, _Lane] = {}
        self._calls: dict[CallId, QueuedCall] = {}
        self._deadlines: list[tuple[float, int, CallId]] = []
        self._service: dict[TenantId, float] = {}
        self._waiting_counts: Counter[TenantId] = Counter()
        self._virtual_time = 0.0
        self._next_number = 0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._calls)

    def __contains__(self, call_id: CallId) -> bool:
        """Return whether the call is in the queue."""
        return call_id in self._calls

    def has_room_for(self, tenant_id: TenantId) -> bool:
        """Return whether another call of the tenant may be queued.

        1. A full queue accepts no call.
        2. With ordering by arrival any other call is accepted.
        3. Otherwise each tenant may use an equal share of the queue, where the share of one more
           tenant is kept free, and at least one entry.
        """
        if len(self._calls) >= self._config.max_calls:
            return False
        if self._config.ordering is Ordering.ARRIVAL:
            return True
        share = self._config.max_calls // (len(self._waiting_counts) + 1)
        return self._waiting_counts[tenant_id] < max(share, 1)

    def add(
        self, call: CallArrived, attained_tokens: int, now: float, *, is_first: bool = False
    ) -> None:
        """Queue a call.

        Parameters
        ----------
        call
            The call.
        attained_tokens
            Service that its program has attained so far, in tokens.
        now
            Current time.
        is_first
            Whether it is the first call of a program.
        """
        sort_time = self._sort_time(call, attained_tokens, now)
        queued = QueuedCall(call, is_first, now, sort_time, self._next_number)
        self._next_number += 1
        key = self._lane_key(queued)
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = _Lane(key.tenant_id, key.service_class)
        lane.add(queued)
        self._calls[call.call_id] = queued
        self._waiting_counts[call.tenant_id] += 1
        heapq.heappush(self._deadlines, (call.deadline, queued.number, call.call_id))
        # An idle tenant does not accumulate credit.
        self._service[call.tenant_id] = max(
            self._service.get(call.tenant_id, 0.0), self._virtual_time
        )

    def remove(self, call_id: CallId) -> QueuedCall | None:
        """Remove and return a call; ``None`` if it is not in the queue."""
        queued = self._calls.pop(call_id, None)
        if queued is None:
            return None
        tenant_id = queued.call.tenant_id
        self._waiting_counts[tenant_id] -= 1
        if self._waiting_counts[tenant_id] == 0:
            del self._waiting_counts[tenant_id]
        key = self._lane_key(queued)
        lane = self._lanes[key]
        lane.remove(queued)
        if not lane.calls:
            del self._lanes[key]
        return queued

    def charge(self, call: CallArrived, tokens: float) -> None:
        """Charge the service of a started call to its tenant's share."""
        start = self._service.get(call.tenant_id, self._virtual_time)
        self._virtual_time = max(self._virtual_time, start)
        self._service[call.tenant_id] = start + tokens / max(call.weight, 0.01)
        if len(self._service) > 4 * len(self._lanes) + 1_000:
            self._remove_idle_tenants()

    def waiting_count(self, tenant_id: TenantId) -> int:
        """Return the number of waiting calls of a tenant."""
        return self._waiting_counts[tenant_id]

    def in_order(self, now: float, lane_limit: int) -> Iterator[QueuedCall]:
        """Yield waiting calls in the order of service, up to ``lane_limit`` of each lane.

        The queue must not be modified during the iteration.
        """
        heads: list[tuple[int, float, float, int, int, _Lane]] = []
        for lane in self._lanes.values():
            effective = lane.effective_class(now, self._config.class_step_s)
            first = lane.calls[0]
            service = self._service.get(lane.tenant_id, 0.0)
            heads.append((effective, service, first.sort_time, first.number, 0, lane))
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
            entry = (effective, service, next_call.sort_time, next_call.number, following, lane)
            heapq.heapreplace(heads, entry)

    def take_expired(self, now: float) -> list[QueuedCall]:
        """Remove and return the calls whose deadline has passed."""
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

    def _sort_time(self, call: CallArrived, attained_tokens: int, now: float) -> float:
        if self._config.ordering is Ordering.ARRIVAL:
            return now
        capped_tokens = min(attained_tokens, self._config.max_attained_tokens)
        sort_time = now + capped_tokens / self._config.ageing_tokens_per_s
        return min(sort_time, call.deadline - self._config.urgent_s)

    def _lane_key(self, queued: QueuedCall) -> _LaneKey:
        if self._config.ordering is Ordering.ARRIVAL:
            return _ARRIVAL_LANE
        return _LaneKey(queued.call.tenant_id, queued.call.service_class, queued.is_first)

    def _remove_idle_tenants(self) -> None:
        self._service = {
            tenant_id: service
            for tenant_id, service in self._service.items()
            if tenant_id in self._waiting_counts or service > self._virtual_time
        }
