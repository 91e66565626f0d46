"""A process that ends on an error nothing foresees tells of it in its own log."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from structlog.testing import capture_logs

from passlane.observability.unforeseen_errors import (
    MAX_ERRORS_LOGGED,
    MAX_MESSAGE_CHARACTERS,
    MAX_PLACES,
    log_ending_errors,
)

RUNS_ALONE = "starts processes"

SETTINGS = """
seeds = ["127.0.0.1:7003"]
[process]
name = "node-1"
role = "node"
zone = "a"
[addresses]
internal = "127.0.0.1:7000"
callers = "127.0.0.1:8001"
readiness = "127.0.0.1:8002"
[machine]
memory_mb = 260
descriptors = 4100
[backend_list]
address = "127.0.0.1:8080"
rate_per_s = 20.0
[timing]
grace_s = 4.0
[quotas]
window_s = 10.0
overage = 0.1
slack_requests = 1
"""
FAILING_DAEMON = """
import sys
from pathlib import Path
from passlane.daemon.fleet import process
from passlane.runtime.early_listening import ListeningSockets

async def fail(self):
    raise OverflowError("too large \\ud800")

process.FleetDaemon.run = fail
sys.exit(process.main(Path(sys.argv[1]), ListeningSockets(), 0.0))
"""


def raised(depth=0, message="x"):
    """Return an error that was raised below so many calls."""

    def fail(left):
        if left:
            fail(left - 1)
        raise ValueError(message)

    try:
        fail(depth)
    except ValueError as error:
        return error
    raise AssertionError


def logged(error):
    with capture_logs() as lines:
        log_ending_errors(error)
    return lines


class EndingErrorsTest(unittest.TestCase):
    def test_a_line_names_the_error_and_the_innermost_call(self):
        (line,) = logged(raised(2, "no such place"))
        self.assertEqual((line["event"], line["error"]), ("ended_by_error", "ValueError"))
        self.assertEqual(line["message"], "no such place")
        self.assertRegex(line["places"][-1], r"^observability/test_\w+\.py:\d+ fail$")

    def test_each_error_of_a_group_has_its_line(self):
        inner = ExceptionGroup("inner", [raised(message="a"), raised(message="b")])
        lines = logged(ExceptionGroup("outer", [inner, raised(message="c")]))
        self.assertEqual([line["message"] for line in lines], ["a", "b", "c"])

    def test_a_line_is_bounded(self):
        many = [raised(50, "x" * 100_000) for _ in range(50)]
        lines = logged(ExceptionGroup("many", many))
        self.assertEqual(len(lines), MAX_ERRORS_LOGGED)
        self.assertEqual(len(lines[0]["message"]), MAX_MESSAGE_CHARACTERS)
        self.assertEqual(len(lines[0]["places"]), MAX_PLACES)

    def test_a_process_writes_the_line_before_it_ends(self):
        with tempfile.TemporaryDirectory() as folder:
            settings = Path(folder) / "node.toml"
            settings.write_text(SETTINGS)
            ended = subprocess.run(
                [sys.executable, "-c", FAILING_DAEMON, str(settings)],
                capture_output=True, text=True, check=False,
            )  # fmt: skip
        self.assertEqual(ended.returncode, 1)
        self.assertIn("Traceback", ended.stderr)
        lines = [json.loads(line) for line in ended.stdout.splitlines()]
        (line,) = [line for line in lines if line["event"] == "ended_by_error"]
        self.assertEqual((line["error"], line["process"]), ("OverflowError", "node-1"))
        self.assertIn(r"\ud800", line["message"])


if __name__ == "__main__":
    unittest.main()
