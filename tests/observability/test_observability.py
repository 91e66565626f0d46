"""Tests of the ring log, redaction, log timestamps, metrics and the health endpoints."""

import contextlib
import random
import unittest

import anyio
import msgspec
import structlog

from passlane.observability.health import HealthApplication
from passlane.observability.logging import configure_logging, get_logger
from passlane.observability.metrics import Metrics
from passlane.observability.ring import RingLog
from passlane.observability.standard_output import StandardOutputLog
from passlane.simulation.disk import SimulatedDisk
from passlane.simulation.runner import run_simulation


def decoded_lines(ring):
    return [msgspec.json.decode(line) for line in ring.lines()]


class RingLogTest(unittest.TestCase):
    def test_keeps_the_newest_lines(self):
        ring = RingLog(3)
        for number in range(5):
            ring.add({"event": str(number)})
        self.assertEqual([line["event"] for line in decoded_lines(ring)], ["2", "3", "4"])
        self.assertEqual(len(ring.lines(2)), 2)
        self.assertEqual(ring.lines(0), [])

    def test_each_dump_is_a_new_durable_file(self):
        async def main():
            disk = SimulatedDisk(random.Random(1))
            ring = RingLog(10)
            ring.add({"event": "first"})
            names = [await ring.write_out(disk, "ring", "node")]
            ring.add({"event": "second"})
            names.append(await ring.write_out(disk, "ring", "store"))
            disk.lose_power()
            return names, [disk.read(name) for name in names]

        names, contents = run_simulation(main, 1)
        self.assertEqual(names, ["ring/000001-node.jsonl", "ring/000002-store.jsonl"])
        self.assertEqual([len(content.splitlines()) for content in contents], [1, 2])


class LoggingTest(unittest.TestCase):
    def setUp(self):
        self.ring = RingLog(10)
        configure_logging(self.ring)

    def test_lines_carry_component_and_identity_but_no_secrets(self):
        configure_logging(self.ring, process="node-1")
        self.addCleanup(structlog.contextvars.unbind_contextvars, "process")
        get_logger("node").info("asked", token="very-secret", authorization="Bearer x")
        (line,) = decoded_lines(self.ring)
        self.assertEqual((line["component"], line["process"]), ("node", "node-1"))
        self.assertNotIn(b"very-secret", b"".join(self.ring.lines()))
        self.assertNotIn(b"Bearer x", b"".join(self.ring.lines()))

    def test_time_is_that_of_the_loop_and_errors_carry_their_traceback(self):
        async def main():
            await anyio.sleep(5.0)
            with contextlib.suppress(ValueError):
                try:
                    raise ValueError("broken")
                except ValueError:
                    get_logger("node").exception("failed")
                    raise

        run_simulation(main, 1)
        (line,) = decoded_lines(self.ring)
        self.assertEqual(line["time_s"], 5.0)
        self.assertIn("ValueError: broken", line["exception"])

    def test_only_lines_for_standard_output_carry_the_time_of_day(self):
        get_logger("node").info("in a simulated run")
        configure_logging(self.ring, StandardOutputLog(descriptor=-1))
        self.addCleanup(configure_logging, self.ring)
        get_logger("node").info("in a process")
        simulated, real = decoded_lines(self.ring)
        self.assertNotIn("unix_time_s", simulated)
        self.assertGreater(real["unix_time_s"], 0)


class MetricsTest(unittest.TestCase):
    def test_one_name_returns_the_same_metric_and_instances_are_separate(self):
        one, other = Metrics(), Metrics()
        one.counter("calls", "Calls", ("kind",)).labels("model").inc()
        one.counter("calls", "Calls", ("kind",)).labels("model").inc()
        self.assertIn(b'passlane_calls_total{kind="model"} 2.0', one.expose())
        self.assertNotIn(b"calls", other.expose())


class HealthTest(unittest.TestCase):
    def request(self, path, checks):
        sent = []

        async def send(event):
            sent.append(event)

        async def inner(scope, receive, send):
            await send({"type": "http.response.start", "status": 418, "headers": []})

        async def main():
            application = HealthApplication(Metrics(), checks, inner)
            await application({"type": "http", "path": path}, None, send)

        run_simulation(main, 1)
        body = b"".join(event.get("body", b"") for event in sent)
        return sent[0]["status"], body

    def test_ready_only_when_every_part_is(self):
        parts = {"node": lambda: True, "not_draining": lambda: False}
        status, body = self.request("/readyz", parts)
        self.assertEqual(status, 503)
        self.assertEqual(msgspec.json.decode(body)["parts"], {"node": True, "not_draining": False})
        self.assertEqual(self.request("/readyz", {"node": lambda: True})[0], 200)

    def test_healthy_while_not_ready_and_other_paths_are_forwarded(self):
        parts = {"node": lambda: False}
        self.assertEqual(self.request("/healthz", parts)[0], 200)
        self.assertEqual(self.request("/metrics", parts)[0], 200)
        self.assertEqual(self.request("/v1/documents", parts)[0], 418)


if __name__ == "__main__":
    unittest.main()
