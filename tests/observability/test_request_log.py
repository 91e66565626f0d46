"""Tests of the request log summary: outcomes, reasons and waits by window."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

import msgspec

from passlane.cli.exit_codes import ExitCode
from passlane.cli.main import main
from passlane.observability.request_log import (
    Grouping,
    Outcome,
    Waits,
    read_requests,
    summarize,
)


def line(at, *, prefix="", **changes):
    values = {
        "event": "request_ended",
        "unix_time_s": at,
        "elapsed_s": 0.5,
        "kind": "stream",
        "priority": 0,
        "status": 200,
        "reason": "answered",
        "is_whole": True,
        "is_in_time": True,
        "reserved_s": 0.1,
        "first_part_s": 0.2,
    }
    return prefix + msgspec.json.encode(values | changes).decode() + "\n"


def summaries(*lines, window_s=2.0, by=Grouping.KIND):
    return summarize(read_requests(lines), window_s, by)


class RequestLogTest(unittest.TestCase):
    def test_outcomes(self):
        expected = {
            Outcome.IN_TIME: {},
            Outcome.LATE: {"is_in_time": False},
            Outcome.REFUSED: {"status": 503},
            Outcome.REJECTED: {"status": 402},
            Outcome.FAILED: {"status": 504},
            Outcome.BROKEN_OFF: {"is_whole": False},
        }
        for outcome, changes in expected.items():
            with self.subTest(outcome=outcome):
                (summary,) = summaries(line(100.0, **changes))
                self.assertEqual(summary.outcomes, {outcome: 1})

    def test_requests_are_assigned_to_windows_by_arrival(self):
        found = summaries(line(103.0), line(100.5), line(101.9, priority=1), line(103.2))
        self.assertEqual(
            [(s.starts_s, s.priority, s.outcomes[Outcome.IN_TIME]) for s in found],
            [(0.0, 0, 1), (0.0, 1, 1), (2.0, 0, 2)],
        )

    def test_waits_are_split_into_reservation_backend_and_delivery(self):
        (summary,) = summaries(line(100.0), line(100.1))
        self.assertEqual(summary.reservation, Waits(0.1, 0.1))
        self.assertEqual(summary.back_end, Waits(0.1, 0.1))
        self.assertEqual(summary.delivery, Waits(0.3, 0.3))

    def test_waits_for_a_slot_and_for_capacity_are_reported_separately(self):
        (summary,) = summaries(line(100.0, place_wait_s=0.05, room_wait_s=0.0), line(100.1))
        self.assertEqual(summary.place, Waits(0.05, 0.05))
        self.assertEqual(summary.room, Waits(0.0, 0.0))

    def test_requests_are_grouped_by_route_tenant_or_program(self):
        lines = (
            line(100.0, route="alarm", tenant="a", program_id="p"),
            line(100.1, route="alarm", tenant="b", program_id="q", priority=1),
            line(100.2, route="session", tenant="b", program_id=None),
        )
        expected = {
            Grouping.ROUTE: [("alarm", 2), ("session", 1)],
            Grouping.TENANT: [("a", 1), ("b", 2)],
            Grouping.PROGRAM: [("", 1), ("p", 1), ("q", 1)],
        }
        for by, groups in expected.items():
            with self.subTest(by=by):
                found = summaries(*lines, by=by)
                counted = [(s.group, s.outcomes[Outcome.IN_TIME]) for s in found]
                self.assertEqual(counted, groups)
                self.assertEqual({s.priority for s in found}, {None})

    def test_a_request_that_reached_no_backend_has_no_backend_wait(self):
        (summary,) = summaries(
            line(100.0, status=503, reason="store_unavailable", first_part_s=None, reserved_s=None)
        )
        self.assertEqual(summary.back_end, Waits(None, None))
        self.assertEqual(summary.reasons, {"store_unavailable": 1})

    def test_other_and_truncated_lines_are_skipped(self):
        whole = line(100.0, prefix="  35.1 node-1 ")
        truncated = line(100.0)[:40]
        other = '{"event":"started","note":"request_ended"}\n'
        self.assertEqual(len(list(read_requests([whole, truncated, other, "", "no brace"]))), 1)
        self.assertEqual(summaries(), [])


class RequestsCommandTest(unittest.TestCase):
    def run_command(self, *arguments, text=""):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text(text)
            output, errors = io.StringIO(), io.StringIO()
            with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
                code = main(["requests", str(path), *arguments])
            return code, output.getvalue(), errors.getvalue()

    def test_a_table_with_a_row_for_each_window(self):
        code, output, _ = self.run_command(text=line(100.0) + line(107.0, status=503))
        self.assertEqual(code, ExitCode.OK)
        header, first, second = output.splitlines()
        self.assertIn("reservation", header)
        self.assertIn("100/100 ms", first)
        self.assertTrue(second.startswith("6"))

    def test_a_table_by_route(self):
        text = line(100.0, route="alarm", place_wait_s=0.03)
        code, output, _ = self.run_command("--by=route", text=text)
        self.assertEqual(code, ExitCode.OK)
        header, row = output.splitlines()
        self.assertIn("route", header)
        self.assertNotIn("priority", header)
        self.assertIn("alarm", row)
        self.assertIn("30/30 ms", row)

    def test_an_unknown_grouping_is_a_clear_error(self):
        code, _, errors = self.run_command("--by=colour")
        self.assertNotEqual(code, ExitCode.OK)
        self.assertIn("--by", errors)

    def test_json(self):
        code, output, _ = self.run_command("--output", "json", text=line(100.0))
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(msgspec.json.decode(output)[0]["outcomes"], {"in time": 1})

    def test_invalid_input_is_a_clear_error(self):
        for window in ("0", "-1", "nan", "x"):
            with self.subTest(window=window):
                code, _, errors = self.run_command("--window=" + window)
                self.assertNotEqual(code, ExitCode.OK)
                self.assertIn("--window", errors)
        with contextlib.redirect_stderr(io.StringIO()) as errors:
            self.assertNotEqual(main(["requests", "/nowhere/log"]), ExitCode.OK)
        self.assertIn("/nowhere/log", errors.getvalue())
