"""Seeded discrete-event simulation of a plain service that many nodes share.

Each node has its own decision state and sees only its own calls. A back end refuses a call at once
if all of its slots are in use. Compares the service's policy with a baseline.
"""

import heapq
import itertools
import math
import random

import msgspec

from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.order.capacity_queue import WaitingCall
from passlane.decisions.order.service_capacity import ServiceCapacity
from passlane.decisions.placement.plain_placement import PlainCall, PlainView
from passlane.decisions.placement.request_placement import (
    NodeLocation,
    PlacementKey,
    choose_backend,
    record_failure,
    record_success,
)
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState

SERVICE = "tools"
ZONES = ("a", "b", "c")
IN_ZONE_LATENCY_S = 0.0001
CROSS_ZONE_LATENCY_S = 0.0014
HANDSHAKE_S = 0.001
IDLE_TIMEOUT_S = 4.0
SLOW_PERIOD_S = 0.6
SLOW_PERIOD_SHARE = 0.15
SLOW_PERIOD_FACTOR = 2.5


class CallKind(msgspec.Struct, frozen=True):
    """A route with its times in seconds and the share of turns that call it."""

    route: str
    work_s: float
    target_s: float
    deadline_s: float
    runs_once: bool
    share: float


KINDS = (
    CallKind("crew-alert", 0.013, 0.0823, 1.235, False, 0.7),
    CallKind("ride-commit", 0.0521, 0.253, 2.024, True, 0.4),
    CallKind("fare-charge", 0.0347, 0.203, 1.522, True, 0.2),
)
LONGER_KINDS = (
    CallKind("telemetry-read", 0.027, 0.155, 1.213, False, 0.7),
    CallKind("crew-dispatch", 0.108, 0.516, 3.013, True, 0.4),
    CallKind("parts-order", 0.0722, 0.311, 2.014, True, 0.2),
)


class Call(msgspec.Struct, eq=False):
    """One call and its result."""

    number: int
    kind: CallKind
    node: "Node"
    arrived_at: float
    work_s: float
    ended_at: float | None = None
    is_served: bool = False
    is_lost: bool = False
    sends: int = 0
    first_sent_at: float | None = None
    accepted_at: float = 0.0
    tried: set[str] = msgspec.field(default_factory=set)
    waiting: WaitingCall | None = None
    is_waiting: bool = False
    retry_after_s: float | None = None

    @property
    def limit_at(self):
        return self.arrived_at + self.kind.deadline_s


class BackEnd:
    """A back end that refuses calls if all slots are in use or while it is blocked."""

    def __init__(self, record, simulation):
        self.record = record
        self.simulation = simulation
        self.busy = 0
        self.is_blocked = False
        self.arrivals = []
        self.slow_periods = {}
        self.extra_slowness = 1.0
        self.lost_share = 0.0

    def slowness(self, now):
        period = int(now / SLOW_PERIOD_S)
        if period not in self.slow_periods:
            draw = random.Random(
                f"{self.simulation.seed}/{self.record.instance_id}/{period}"
            ).random()
            is_slow = draw < SLOW_PERIOD_SHARE
            self.slow_periods[period] = SLOW_PERIOD_FACTOR if is_slow else 1.0
        return self.slow_periods[period] * self.extra_slowness


class Connections:
    """Idle connections of one node, by instance id."""

    def __init__(self):
        self.idle = {}
        self.opened = 0

    def has_idle(self, instance_id, now):
        idle = self.idle.get(instance_id, [])
        return bool(idle) and now - idle[-1] < IDLE_TIMEOUT_S

    def take(self, instance_id, now):
        """Take an idle connection or open one; return whether there was an idle one."""
        idle = self.idle.setdefault(instance_id, [])
        idle[:] = [since for since in idle if now - since < IDLE_TIMEOUT_S]
        if idle:
            idle.pop()
            return True
        self.opened += 1
        return False

    def give_back(self, instance_id, now):
        self.idle.setdefault(instance_id, []).append(now)


class Node:
    """A node with its registry, its connections and the state of its policy."""

    def __init__(self, name, zone, records):
        self.location = NodeLocation(name, zone)
        self.registry = BackendRegistry()
        self.registry.update(records, 0.0)
        self.connections = Connections()
        self.room = ServiceCapacity(self.location, is_for_model=False)
        self.wake_at = math.inf


class BaselinePolicy:
    """Baseline: any order of back ends, a round every 20 ms, a timeout at 1/4 of the target."""

    pause_s = 0.02
    max_wait_share = 0.25

    def __init__(self, simulation):
        self.simulation = simulation

    def start(self, call):
        simulation, node, now = self.simulation, call.node, self.simulation.now
        if call.ended_at is not None:
            return
        health = node.registry.evaluate_health(SERVICE, now)
        connected = {
            each.record.instance_id
            for each in health.loads
            if node.connections.has_idle(each.record.instance_id, now)
        }
        choice = choose_backend(
            health.loads,
            PlacementKey("", node.location),
            call.tried,
            now,
            health.outliers,
            health.typical_s,
            connected,
        )
        if choice is not None:
            simulation.send(call, choice.load)
            return
        times_out_at = call.arrived_at + self.max_wait_share * call.kind.target_s
        if now + self.pause_s > times_out_at:
            simulation.end(call, is_served=False)
            return
        call.tried.clear()
        simulation.at(now + self.pause_s, lambda: self.start(call))

    def refused(self, call, backend_load):
        self.start(call)

    def broken(self, call, backend_load):
        self.start(call)

    def answered(self, call, backend_load, seconds):
        pass


class ServicePolicy:
    """The policy of ``passlane.decisions.order.service_capacity``."""

    def __init__(self, simulation):
        self.simulation = simulation

    def start(self, call, *, offered="", must_try=False):
        simulation, node, now = self.simulation, call.node, self.simulation.now
        call.is_waiting = False
        if call.ended_at is not None:
            return
        if not must_try and call.waiting is None and len(node.room):
            self._wait(call)
            return
        health = node.registry.evaluate_health(SERVICE, now)
        left_s = node.room.gives_up_at(call.kind.route, call.limit_at) - now
        plain_call = PlainCall(call.kind.route, call.kind.runs_once, left_s)
        connected = {
            each.record.instance_id
            for each in health.loads
            if node.connections.has_idle(each.record.instance_id, now)
        }
        choice = node.room.plain.choose(
            PlainView(health.loads, now, connected, health.outliers),
            plain_call,
            tried=call.tried,
            offered=offered,
            must_try=must_try,
        )
        if choice is None:
            self._wait(call)
        else:
            simulation.send(call, choice.load)

    def refused(self, call, backend_load):
        node, now = call.node, self.simulation.now
        node.room.plain.record_refused(backend_load.record.instance_id, now)
        if call.waiting is not None:
            call.waiting.refusals += 1
            self._wait(call)
        else:
            self.start(call)

    def broken(self, call, backend_load):
        call.waiting = None
        call.node.room.plain.record_broken(backend_load.record.instance_id, self.simulation.now)
        self.start(call)

    def answered(self, call, backend_load, seconds):
        node, now = call.node, self.simulation.now
        if call.waiting is not None:
            node.room.note_wait_ended(call.waiting, now)
        instance_id = backend_load.record.instance_id
        next_call = node.room.note_answered(instance_id, call.kind.route, seconds, now)
        if next_call is not None:
            self.start(
                self.simulation.calls[int(next_call.request_id)], offered=instance_id, must_try=True
            )
        self._schedule_wake(node)

    def _wait(self, call):
        node, now = call.node, self.simulation.now
        call.tried.clear()
        if call.waiting is None:
            call.waiting = WaitingCall(
                request_id=str(call.number),
                priority=2,
                arrived_at=call.arrived_at,
                give_up_at=node.room.gives_up_at(call.kind.route, call.limit_at),
                joined_at=now,
            )
        if now >= call.waiting.give_up_at:
            self._refuse(call)
            return
        call.is_waiting = True
        node.room.join(call.waiting, now, self.simulation.pause_random.random(), 6)
        self.simulation.at(call.waiting.give_up_at, lambda: self._time_out(call))
        self._schedule_wake(node)

    def _time_out(self, call):
        if call.ended_at is None and call.is_waiting:
            call.node.room.leave(call.waiting)
            self._refuse(call)
            self._schedule_wake(call.node)

    def _refuse(self, call):
        room, now = call.node.room, self.simulation.now
        room.note_wait_ended(call.waiting, now)
        call.retry_after_s = room.retry_after_s(now, self.simulation.pause_random.random())
        self.simulation.end(call, is_served=False)

    def _schedule_wake(self, node):
        first = node.room.first
        if first is None:
            return
        wake_at = max(self.simulation.now, node.room.wakes_at(first))
        if wake_at < node.wake_at or node.wake_at <= self.simulation.now:
            node.wake_at = wake_at
            self.simulation.at(wake_at, lambda: self._wake(node, wake_at))

    def _wake(self, node, wake_at):
        if node.wake_at != wake_at:
            return
        node.wake_at = math.inf
        first = node.room.first
        if (
            first is not None
            and node.room.try_acquire_permit(first, self.simulation.now) is not None
        ):
            self.start(self.simulation.calls[int(first.request_id)], must_try=True)
        self._schedule_wake(node)


class Results(msgspec.Struct, frozen=True):
    """Results of a simulation; all but ``calls`` are counts per 100 calls.

    Attributes
    ----------
    refused
        Calls that were not served.
    missed
        Calls that were refused or served later than their target.
    rejections
        Attempts that a back end refused.
    connections
        Connections opened.
    """

    calls: int
    refused: float
    missed: float
    rejections: float
    connections: float


class PlainServiceSimulation:
    """Runs calls through a policy and counts the results of callers and back ends."""

    def __init__(
        self, policy, *, seed=1, nodes=61, back_ends=5, slots=6, keeps_refused=True, kinds=KINDS
    ):
        self.seed = seed
        self.load_random = random.Random(seed)
        self.pause_random = random.Random(seed + 1)
        self.loss_random = random.Random(seed + 2)
        self.now = 0.0
        self.keeps_refused = keeps_refused
        self.kinds = kinds
        self.records = [
            BackendRecord(
                f"i-{number}",
                SERVICE,
                Address("10.0.0.1", 80 + number),
                ZONES[number % len(ZONES)],
                slots,
                BackendState.READY,
            )
            for number in range(back_ends)
        ]
        self.back_ends = {r.instance_id: BackEnd(r, self) for r in self.records}
        self.nodes = [
            Node(f"node-{number}", ZONES[number % len(ZONES)], self.records)
            for number in range(nodes)
        ]
        self.calls = []
        self.rejections = 0
        self.sends = 0
        self._events = []
        self._order = itertools.count()
        self.policy = policy(self)

    def at(self, when, action):
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, until=math.inf):
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def offer(self, calls_per_s, seconds, *, swing=0.0, period_s=6.0, start=0.0):
        """Add calls of turns that end at random nodes; the calls of a turn arrive at once."""
        calls_per_turn = sum(kind.share for kind in self.kinds)
        when = start
        while True:
            wave = 1.0 + swing * math.sin(2 * math.pi * when / period_s)
            when += self.load_random.expovariate(calls_per_s * wave / calls_per_turn)
            if when >= start + seconds:
                return
            node = self.load_random.choice(self.nodes)
            for kind in self.kinds:
                if self.load_random.random() < kind.share:
                    self.add(kind, node, when)

    def block(self, start, seconds):
        """Let all back ends refuse every call for some time, as if other callers filled them."""
        for is_blocked, when in ((True, start), (False, start + seconds)):
            self.at(when, lambda is_blocked=is_blocked: self._set_blocked(is_blocked))

    def _set_blocked(self, is_blocked):
        for back_end in self.back_ends.values():
            back_end.is_blocked = is_blocked

    def slow_down(self, instance_id, factor, start, seconds):
        """Slow down one back end by a factor for some time."""
        back_end = self.back_ends[instance_id]
        for slowness, when in ((factor, start), (1.0, start + seconds)):
            self.at(when, lambda slowness=slowness: setattr(back_end, "extra_slowness", slowness))

    def lose_answers(self, instances, share, start, seconds):
        """Let some back ends lose the answers of a share of the calls that they have run."""
        for lost_share, when in ((share, start), (0.0, start + seconds)):
            for instance_id in instances:
                back_end = self.back_ends[instance_id]
                self.at(
                    when,
                    lambda back_end=back_end, share=lost_share: setattr(
                        back_end, "lost_share", share
                    ),
                )

    def apply_list_at(self, when, records):
        """Apply a list at all nodes at the same time, the worst case for a thundering herd."""

        def apply():
            for node in self.nodes:
                node.registry.update(records, self.now)

        self.at(when, apply)

    def add(self, kind, node, when):
        work_s = self.load_random.expovariate(1 / kind.work_s)
        call = Call(len(self.calls), kind, node, when, work_s)
        self.calls.append(call)
        self.at(when, lambda: self.policy.start(call))
        self.at(call.limit_at, lambda: self.end(call, is_served=False))
        return call

    def end(self, call, *, is_served):
        if call.ended_at is None:
            call.ended_at = self.now
            call.is_served = is_served

    def latency_s(self, node, record):
        return IN_ZONE_LATENCY_S if node.location.zone == record.zone else CROSS_ZONE_LATENCY_S

    def send(self, call, load):
        call.sends += 1
        self.sends += 1
        call.tried.add(load.record.instance_id)
        sent_at = self.now
        latency_s = self.latency_s(call.node, load.record)
        is_kept = call.node.connections.take(load.record.instance_id, self.now)
        connect_s = 0.0 if is_kept else 2 * latency_s + HANDSHAKE_S
        load.in_flight += 1
        watch = load.health.watch(self.now)
        self.at(
            self.now + connect_s + latency_s,
            lambda: self._arrive(call, load, watch, sent_at, latency_s),
        )

    def _arrive(self, call, load, watch, sent_at, latency_s):
        back_end = self.back_ends[load.record.instance_id]
        back_end.arrivals.append(self.now)
        if back_end.is_blocked or back_end.busy >= back_end.record.slots:
            self.rejections += 1
            self.at(self.now + latency_s, lambda: self._refused(call, load, watch))
            return
        back_end.busy += 1
        call.accepted_at = self.now
        work_s = call.work_s * back_end.slowness(self.now)
        self.at(self.now + work_s, lambda: self._free(back_end))
        is_lost = self.loss_random.random() < back_end.lost_share
        if is_lost:
            self.at(self.now + work_s + latency_s, lambda: self._broken(call, load, watch))
            return
        self.at(self.now + work_s + latency_s, lambda: self._answered(call, load, watch, sent_at))

    def _free(self, back_end):
        back_end.busy -= 1

    def _refused(self, call, load, watch):
        load.in_flight -= 1
        watch.dropped(self.now, 1.0)
        if self.keeps_refused:
            call.node.connections.give_back(load.record.instance_id, self.now)
        if call.ended_at is None:
            self.policy.refused(call, load)

    def _broken(self, call, load, watch):
        load.in_flight -= 1
        watch.failed(self.now)
        record_failure(load, self.now)
        if call.kind.runs_once:
            call.is_lost = True
            self.end(call, is_served=False)
        self.policy.broken(call, load)

    def _answered(self, call, load, watch, sent_at):
        record_success(load)
        load.in_flight -= 1
        watch.progressed(self.now)
        watch.succeeded(self.now)
        call.node.connections.give_back(load.record.instance_id, self.now)
        self.end(call, is_served=True)
        self.policy.answered(call, load, self.now - sent_at)

    def results(self):
        count = len(self.calls)
        overdue = sum(
            1
            for call in self.calls
            if call.is_served and call.ended_at - call.arrived_at > call.kind.target_s
        )
        refused = sum(1 for call in self.calls if not call.is_served)
        opened = sum(node.connections.opened for node in self.nodes)
        return Results(
            calls=count,
            refused=round(100 * refused / count, 2),
            missed=round(100 * (overdue + refused) / count, 2),
            rejections=round(100 * self.rejections / count, 1),
            connections=round(100 * opened / count, 1),
        )
