"""Ended requests are counted when metrics are exposed, or when many are buffered."""

import unittest

from passlane.observability.metrics import Metrics
from passlane.relay.request_metrics import MAX_UNCOUNTED, RequestMetrics


class RequestMetricsTest(unittest.TestCase):
    def setUp(self):
        self.metrics = Metrics()
        self.requests = RequestMetrics(self.metrics)

    def exposed(self):
        return self.metrics.expose().decode()

    def test_every_request_is_exposed_once(self):
        self.requests.record_end("stream", 200, 0.2)
        self.requests.record_end("stream", 503, 0.01)
        for _ in range(2):
            text = self.exposed()
            self.assertIn('relayed_requests_total{kind="stream",status="200"} 1.0', text)
            self.assertIn('relayed_requests_total{kind="stream",status="503"} 1.0', text)
            self.assertIn('relayed_request_seconds_count{kind="stream"} 2.0', text)

    def test_waits_for_capacity_are_counted_by_outcome(self):
        self.requests.record_end("repeatable", 200, 0.2, room_wait_s=0.05)
        self.requests.record_end("repeatable", 503, 0.9, room_wait_s=0.8)
        self.requests.record_end("repeatable", 200, 0.02)
        text = self.exposed()
        name = "relayed_request_room_wait_seconds_count"
        for outcome in ("served", "unserved"):
            self.assertIn(f'{name}{{kind="repeatable",outcome="{outcome}"}} 1.0', text)

    def test_without_exposure_the_number_of_buffered_requests_is_bounded(self):
        for _ in range(2 * MAX_UNCOUNTED + 7):
            self.requests.record_end("repeatable", 200, 0.01)
        self.assertEqual(len(self.requests._uncounted), 7)
        total = (
            f'relayed_requests_total{{kind="repeatable",status="200"}} {2 * MAX_UNCOUNTED + 7}.0'
        )
        self.assertIn(total, self.exposed())


if __name__ == "__main__":
    unittest.main()
