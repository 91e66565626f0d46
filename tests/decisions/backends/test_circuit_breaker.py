"""When the circuit breaker opens, and when it allows a probe."""

import unittest

from passlane.decisions.backends.circuit_breaker import BreakerState, CircuitBreaker
from passlane.decisions.inputs.call_scheduler_config import BreakerConfig


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

    def test_no_opening_time_while_a_probe_is_in_flight(self):
        """Guards against busy polling by a caller that waits for the result of the probe."""
        breaker = CircuitBreaker(BreakerConfig(failures_to_open=1, open_s=1.0))
        breaker.record_failure(0.0)
        breaker.record_start(1.0)
        self.assertFalse(breaker.allows(1.5))
        self.assertIsNone(breaker.opens_next_at(1.5))


if __name__ == "__main__":
    unittest.main()
