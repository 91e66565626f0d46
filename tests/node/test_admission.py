"""Admission of requests: refusals, and limiters of idle tenants that are dropped."""

import unittest

from passlane.configuration.documents import TenantBody
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import TenantId
from passlane.node.admission import MIN_LIMITERS_BEFORE_SWEEP, Admission

TENANT = TenantBody(service="s", calls_per_second=2.0, max_calls_in_flight=5)


class AdmissionTest(unittest.TestCase):
    def admit(self, admission: Admission, tenant: str, now: float) -> None:
        with admission.admit(TenantId(tenant), TENANT, now):
            pass

    def test_limiters_of_idle_tenants_are_dropped_among_many_tenants(self):
        admission = Admission(max_requests=100)
        for number in range(39_000):
            self.admit(admission, f"t{number}", number * 0.1)
        self.assertLessEqual(admission.tracked_tenants, MIN_LIMITERS_BEFORE_SWEEP)

    def test_limiter_of_a_tenant_without_remaining_rate_is_kept(self):
        """A new limiter would allow the tenant another burst."""
        admission = Admission(max_requests=100)
        self.admit(admission, "busy", 0.0)
        self.admit(admission, "busy", 0.0)
        for number in range(3 * MIN_LIMITERS_BEFORE_SWEEP):
            self.admit(admission, f"t{number}", 0.0)
        with self.assertRaises(PasslaneError) as caught:
            self.admit(admission, "busy", 0.0)
        self.assertIs(ErrorCode.LIMIT_EXCEEDED, caught.exception.code)
        self.assertIsNotNone(caught.exception.retry_after_s)

    def test_limiter_of_a_tenant_with_a_call_in_flight_is_kept(self):
        admission = Admission(max_requests=100)
        with admission.admit(TenantId("long"), TENANT, 0.0):
            for number in range(3 * MIN_LIMITERS_BEFORE_SWEEP):
                self.admit(admission, f"t{number}", 100.0)
            self.assertGreaterEqual(admission.tracked_tenants, 1)
            contexts = [admission.admit(TenantId("long"), TENANT, 100.0 + i) for i in range(5)]
            for context in contexts[:4]:
                context.__enter__()
            with self.assertRaises(PasslaneError) as caught:
                contexts[4].__enter__()
            self.assertIn("in flight", str(caught.exception))
            for context in contexts[:4]:
                context.__exit__(None, None, None)
        self.assertEqual(0, admission.in_flight)


if __name__ == "__main__":
    unittest.main()
