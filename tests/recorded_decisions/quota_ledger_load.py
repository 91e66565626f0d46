"""Tenants at their limits, for the quota ledger.

Three ledgers act as the replicas of a group: the leader replicates usage to the followers.
Leadership changes occasionally, and some replication messages are lost. Limits change with
configuration versions.
"""

from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from recorded_decisions.names import (
    QuotaGranted,
    QuotaLedger,
    QuotaLimit,
    QuotaPurpose,
    QuotaRequest,
    QuotaRules,
    TenantUsage,
)
from recorded_decisions.recording import Step

SEED = 20_260_102
STEPS_OF_EACH = 2_500
MEAN_STEP_S = 0.01
IDLE_S = 10.3
STEPS_BETWEEN_IDLE = 600
STEPS_AFTER_IDLE = 3
REPLICAS = 3
RULES = (
    QuotaRules(window_s=5.0, overage=0.13, slack=3.0),
    QuotaRules(window_s=1.0, puts_programs_first=False),
)
RATES = {"north": 2.0, "up": 3.0, "south": 12.0, "east": 7.0, "west": 400.0, "none": 0.0}
ROUTES = ("", "alarm", "session")
USES = (*QuotaPurpose, QuotaPurpose.CONTINUE_PROGRAM, QuotaPurpose.CONTINUE_PROGRAM, None)


class _Load:
    """A group of ledgers with one set of rules."""

    def __init__(self, random: Random, rules: QuotaRules) -> None:
        self._random = random
        self._ledgers = [QuotaLedger(rules) for _ in range(REPLICAS)]
        self._leader = self._ledgers[0]
        self._term = 0
        self._version = 1
        self._now = 100.0
        self._granted: list[tuple[QuotaRequest, float]] = []
        self._pending_usages: list[tuple[TenantUsage, ...]] = []
        self._events: dict[Callable[[], Step], int] = {
            self._draw: 80,
            self._must_tell: 6,
            self._note_sent: 4,
            self._give_back: 4,
            self._tell: 5,
            self._note_told: 5,
            self._enter_term: 2,
            self._change_leader: 1,
            self._look: 2,
        }

    def steps(self) -> Iterator[Step]:
        yield self._change_leader()
        acts, weights = list(self._events), list(self._events.values())
        for number in range(1, STEPS_OF_EACH):
            is_idle = number % STEPS_BETWEEN_IDLE == 0
            self._now += IDLE_S if is_idle else self._random.expovariate(1 / MEAN_STEP_S)
            yield self._random.choices(acts, weights)[0]()
            if is_idle:
                yield self._draw()
                yield from (self._give_back() for _ in range(STEPS_AFTER_IDLE))

    def _step(self, kind: str, event: Any, given: Any) -> Step:
        return Step(kind, self._now, event, given)

    def _limit(self) -> QuotaLimit:
        """Return a tenant's limit, sometimes in an older version."""
        tenant = self._random.choice(tuple(RATES))
        if self._random.random() < 0.03:
            self._version += 1
        version = max(1, self._version - self._random.choice((0, 0, 0, 1)))
        return QuotaLimit(
            tenant=tenant,
            rate_per_s=RATES[tenant] * (1.0 + 0.013 * (version % 40)),
            burst=(version % 7) * 0.9,
            version=version,
        )

    def _draw(self) -> Step:
        draw = QuotaRequest(
            limit=self._limit(),
            use=self._random.choice(USES),
            route=self._random.choice(ROUTES),
            ahead=self._random.choice((0, 0, 0, 5, 40)),
        )
        answer = self._leader.draw(draw, self._now)
        if isinstance(answer, QuotaGranted) and draw.use is not None:
            self._granted.append((draw, self._now + answer.start_after_s))
        use = "ahead" if draw.use is None else draw.use.value
        must_tell = self._leader.must_tell(draw.limit)
        return self._step(f"draw {use}", draw, [answer, must_tell, len(self._leader)])

    def _must_tell(self) -> Step:
        limit = self._limit()
        return self._step("must tell", limit, self._leader.must_tell(limit))

    def _note_sent(self) -> Step:
        if not self._granted:
            return self._look()
        draw, granted_for = self._granted.pop()
        sent_at = max(self._now, granted_for) + self._random.choice((0.0, 0.05, 0.3))
        self._leader.note_sent(draw, granted_for, sent_at)
        return self._step("sent late", draw, self._state())

    def _give_back(self) -> Step:
        if not self._granted:
            return self._look()
        draw, _ = self._granted.pop()
        self._leader.refund(draw)
        return self._step("given back", draw, self._state())

    def _tell(self) -> Step:
        usages = self._leader.take_unreported(self._now)
        self._pending_usages.append(usages)
        return self._step("tell", None, usages)

    def _note_told(self) -> Step:
        if not self._pending_usages:
            return self._look()
        usages = self._pending_usages.pop(0)
        is_reported = self._random.random() < 0.8
        self._leader.record_report(usages, is_reported=is_reported)
        if is_reported:
            self._replicate(usages)
        return self._step(f"told {is_reported}", usages, self._state())

    def _replicate(self, usages: tuple[TenantUsage, ...]) -> None:
        group_s = self._leader.group_time_s(self._now)
        for ledger in self._ledgers:
            if ledger is self._leader or self._random.random() < 0.9:
                ledger.apply_replicated(usages, group_s)

    def _enter_term(self) -> Step:
        """Enter the term in which the leader already leads."""
        self._leader.enter_term(self._term, self._now)
        return self._step("same term", self._term, self._state())

    def _change_leader(self) -> Step:
        self._leader = self._random.choice(self._ledgers)
        self._term += 1
        self._granted = []
        self._pending_usages = []
        self._leader.enter_term(self._term, self._now)
        return self._step("new term", self._term, self._state())

    def _look(self) -> Step:
        return self._step("look", None, self._state())

    def _state(self) -> list[Any]:
        return [[len(ledger), ledger.group_time_s(self._now)] for ledger in self._ledgers]


def quota_ledger_steps() -> Iterator[Step]:
    """Yield the steps of the recorded run, for each group of ledgers in sequence."""
    for rules in RULES:
        yield from _Load(Random(SEED), rules).steps()
