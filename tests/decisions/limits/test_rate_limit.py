"""Circuit breaker, retry budget, rate limit and the watched subset of engines."""

import unittest

from passlane.configuration.documents import EngineBody
from passlane.decisions.backends.circuit_breaker import BreakerState, CircuitBreaker
from passlane.decisions.backends.watched_engines import watched_engines
from passlane.decisions.failure.retry_budget import RetryBudget, RetryBudgetConfig
from passlane.decisions.inputs.call_scheduler_config import BreakerConfig
from passlane.decisions.limits.rate_limit import TenantLimiter, TenantLimits
from passlane.identifiers import EngineId
from passlane.messages.common import Address


class CircuitBreakerTest(unittest.TestCase):
    def test_stays_open_longer_each_time_the_probe_fails(self):
        breaker = CircuitBreaker(BreakerConfig(failures_to_open=2, open_s=1.0, max_open_s=3.0))
        breaker.record_failure(0.0)
        self.assertTrue(breaker.allows(0.0))
        breaker.record_failure(0.0)
        now, open_times = 0.0, []
        for _ in range(3):
            self.assertFalse(breaker.allows(now))
            opens_at = breaker.opens_next_at(now)
            open_times.append(opens_at - now)
            now = opens_at
            self.assertTrue(breaker.allows(now))
            breaker.record_start(now)
            self.assertFalse(breaker.allows(now), "only one probe at a time")
            breaker.record_failure(now)
        self.assertEqual([1.0, 2.0, 3.0], open_times)
        now = breaker.opens_next_at(now)
        breaker.record_start(now)
        breaker.record_success()
        self.assertIs(BreakerState.CLOSED, breaker.state(now))

    def test_no_time_is_named_while_a_probe_is_under_way(self):
        """Its end decides; whoever waits must not look again and again until then."""
        breaker = CircuitBreaker(BreakerConfig(failures_to_open=1, open_s=1.0))
        breaker.record_failure(0.0)
        breaker.record_start(1.0)
        self.assertFalse(breaker.allows(1.5))
        self.assertIsNone(breaker.opens_next_at(1.5))


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_a_share_of_requests(self):
        budget = RetryBudget(RetryBudgetConfig(retries_per_request=0.1, max_retries=2.0))
        self.assertEqual([True, True, False], [budget.try_spend() for _ in range(3)])
        retries = 0
        for _ in range(1_000):
            budget.record_request()
            retries += budget.try_spend()
        self.assertAlmostEqual(100, retries, delta=1)


class TenantLimiterTest(unittest.TestCase):
    def test_rate_and_concurrency(self):
        limiter = TenantLimiter(TenantLimits(calls_per_second=2, max_calls_in_flight=3))
        admissions = [limiter.admit(0.0) for _ in range(3)]
        self.assertEqual([True, True, False], [item.admitted for item in admissions])
        self.assertAlmostEqual(0.5, admissions[2].retry_after_s)
        self.assertTrue(limiter.admit(0.5).admitted)
        self.assertIn("in flight", limiter.admit(1.5).reason)
        limiter.release()
        self.assertTrue(limiter.admit(1.5).admitted)


class WatchedEnginesTest(unittest.TestCase):
    def engines(self, count: int) -> dict[EngineId, EngineBody]:
        address = Address(host="127.0.0.1", port=1)
        return {
            EngineId(f"e{n}"): EngineBody(address=address, zone=f"z{n % 4}", models=(f"m{n % 3}",))
            for n in range(count)
        }

    def test_bounded_spread_and_stable(self):
        engines = self.engines(300)
        counts = dict.fromkeys(engines, 0)
        for number in range(100):
            watched = watched_engines(f"n{number}", "z1", engines, 8)
            self.assertEqual(24, len(watched))
            self.assertEqual(4, len({engines[engine_id].zone for engine_id in watched}))
            for engine_id in watched:
                counts[engine_id] += 1
        self.assertGreater(sum(count > 0 for count in counts.values()), 280)
        before = watched_engines("n1", "z1", engines, 8)
        removed = next(iter(before))
        del engines[removed]
        after = watched_engines("n1", "z1", engines, 8)
        self.assertEqual(before - {removed}, before & after)
        self.assertEqual(1, len(after - before))

    def test_leaving_engines_are_replaced_in_the_subset(self):
        """Else a node whose whole subset leaves could place nothing, though others serve."""
        engines = self.engines(300)
        leaving = watched_engines("n1", "z1", engines, 8)
        after = watched_engines("n1", "z1", engines, 8, leaving)
        self.assertEqual(24, len(after))
        self.assertFalse(after & leaving)

    def test_leaving_engines_do_not_count_as_serving(self):
        engines = self.engines(3)
        self.assertEqual(
            frozenset({EngineId("e1"), EngineId("e2")}),
            watched_engines("n1", "z1", engines, 8, frozenset({EngineId("e0")})),
        )


if __name__ == "__main__":
    unittest.main()
