"""The bounds of a node are derived from its settings, its machine and its routes."""

import unittest
from unittest import mock

import anyio
import trio.testing
from structlog.testing import capture_logs

from passlane.daemon.fleet import node_bounds
from passlane.daemon.fleet.node_bounds import MAX_ROUTE_STALL_S, NodeBounds
from passlane.decisions.admission.node_load import Admission
from passlane.decisions.admission.reader_buffers import MAX_STALL_S
from passlane.messages.common import Address
from passlane.messages.fleet import FleetRole
from passlane.observability.metrics import Metrics
from passlane.settings.fleet import (
    BackendListSettings,
    FleetAddressSettings,
    FleetProcessSettings,
    FleetSettings,
    MachineSettings,
    NodeBoundsSettings,
)
from routes.test_checks import configuration, route


def settings(machine=None, **bounds):
    return FleetSettings(
        process=FleetProcessSettings(name="n", role=FleetRole.NODE, zone="a"),
        addresses=FleetAddressSettings(internal=Address("10.0.0.1", 1)),
        seeds=(Address("10.0.0.2", 1),),
        backend_list=BackendListSettings(address=Address("10.0.0.3", 1), rate_per_s=1.0),
        machine=machine or MachineSettings(),
        node_bounds=NodeBoundsSettings(**bounds),
    )


def run_for(bounds, seconds):
    """Sample for ``seconds`` on a virtual clock."""

    async def main():
        with anyio.move_on_after(seconds):
            await bounds.run()

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(main, backend="trio", backend_options={"clock": clock})


class NodeBoundsTest(unittest.TestCase):
    def bounds(self, *arguments, **more):
        return NodeBounds(settings(*arguments, **more), Metrics())

    def test_the_bound_for_all_callers_is_a_share_of_memory_unless_it_is_set(self):
        sampler = self.bounds(MachineSettings(memory_mb=128))
        self.assertEqual(sampler._bounds.for_all, 8_000_000)
        self.assertIsNone(self.bounds()._bounds.for_all)
        sampler = self.bounds(MachineSettings(memory_mb=128), all_callers_bytes=100_000)
        self.assertEqual(sampler._bounds.for_all, 100_000)

    def test_the_stall_bound_follows_the_target_latency_of_the_slowest_route(self):
        sampler = self.bounds()
        for target_s, stall_s in ((0.25, MAX_STALL_S), (0.75, 3.0), (60.0, MAX_ROUTE_STALL_S)):
            sampler.apply_configuration(configuration(route(target_latency_s=target_s)))
            self.assertEqual(sampler._bounds.longest_stall_s, stall_s)

    def test_memory_beyond_the_capacity_of_the_machine_stops_admission(self):
        sampler = self.bounds(MachineSettings(memory_mb=1), enabled=True)
        with capture_logs() as lines:
            run_for(sampler, 3.0)
        self.assertIs(sampler.admission.state, Admission.NOTHING)
        (line,) = lines
        self.assertEqual((line["event"], line["cause"]), ("node_admission_changed", "memory"))

    def test_an_unavailable_reading_is_logged_once_and_does_not_affect_admission(self):
        sampler = self.bounds(MachineSettings(memory_mb=1), enabled=True)
        failing = mock.Mock(side_effect=OSError("no such file"))
        with capture_logs() as lines, mock.patch.object(node_bounds, "resident_bytes", failing):
            run_for(sampler, 5.0)
        self.assertEqual([line["event"] for line in lines], ["usage_not_told"])
        self.assertEqual(failing.call_count, 1)
        self.assertIs(sampler.admission.state, Admission.ALL)

    def test_an_ended_answer_is_counted_once_in_the_metrics(self):
        metrics = Metrics()
        sampler = NodeBounds(settings(), metrics)
        sampler.unread_answers.ended["reader_stopped"] = 2
        metrics.expose()
        sampler.unread_answers.ended["reader_stopped"] = 3
        text = metrics.expose().decode()
        self.assertIn('passlane_answers_ended_unread_total{reason="reader_stopped"} 3.0', text)
        self.assertIn("passlane_loop_lag_seconds 0.0", text)
