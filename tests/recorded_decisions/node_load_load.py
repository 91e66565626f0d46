"""Readings of a node that is overloaded and recovers, and callers waiting for a first part."""

from collections.abc import Iterator

from recorded_decisions.names import (
    NodeCapacity,
    NodeLoad,
    NodeReading,
    Route,
    RouteKind,
    first_part_due_at,
    outage_retry_after_s,
)
from recorded_decisions.recording import Step
from recorded_decisions.world import World

SEED = 20_260_105
STEPS = 4_000
READING_PERIOD_S = 0.1
PHASE_S = 4.0
CAPACITIES = (
    NodeCapacity(held_bytes=1_000, under_way=200, resident_bytes=5_000, descriptors=300),
    NodeCapacity(late_loop_s=0.1, under_way=100),
)


class _Load(World):
    """One node with two sets of limits."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.nodes = [NodeLoad(capacity) for capacity in CAPACITIES]
        self.later(0.0, self.read)
        self.later(0.05, self.ask)
        self.later(0.05, self.wait)

    def read(self) -> Step:
        self.later(self.random.uniform(0.5, 1.5) * READING_PERIOD_S, self.read)
        reading = self.reading()
        changes = [node.observe(reading, self.now) for node in self.nodes]
        return Step("reading", self.now, reading, changes)

    def reading(self) -> NodeReading:
        """Return a reading in which one resource at a time is scarce, alternating by period."""
        scarce = int(self.now / PHASE_S) % 6

        def used(kind: int, limit: int) -> int:
            share = self.random.uniform(0.6, 1.0) if kind == scarce else 0.4
            return int(share * limit)

        is_known = self.random.random() < 0.9
        return NodeReading(
            loop_lag_s=self.random.uniform(0.0, 0.3) if scarce == 0 else 0.01,
            held_bytes=used(1, 1_000),
            under_way=used(2, 200),
            resident_bytes=used(3, 5_000) if is_known else None,
            descriptors=used(4, 300) if is_known else None,
        )

    def ask(self) -> Step:
        self.later(self.random.expovariate(10.0), self.ask)
        given = [
            [
                node.admission,
                node.refuses(is_new_program=True),
                node.refuses(is_new_program=False),
                node.retry_after_s(self.now),
            ]
            for node in self.nodes
        ]
        return Step("ask", self.now, None, given)

    def wait(self) -> Step:
        self.later(self.random.expovariate(5.0), self.wait)
        route = Route(
            name="route",
            host="host",
            path_prefix="/",
            kind=self.random.choice(tuple(RouteKind)),
            timeout_s=10.0,
            target_latency_s=self.random.uniform(0.1, 2.0),
            target_gap_s=self.random.uniform(0.0, 1.0),
            priority=0,
            shares=(),
            max_attempts=2,
        )
        limit_at = self.now + self.random.uniform(0.5, 20.0)
        due_at = first_part_due_at(route, self.now, limit_at)
        retry_s = outage_retry_after_s(self.random.uniform(0.0, 2.0))
        return Step(f"wait {route.kind.value}", self.now, route, [due_at, retry_s])


def node_load_steps() -> Iterator[Step]:
    """Yield the steps of the recorded run."""
    return _Load(SEED).play(STEPS)
