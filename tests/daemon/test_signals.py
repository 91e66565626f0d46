"""Signals that a process of a fleet receives while it stops."""

import signal
import tempfile
import time
import unittest
from pathlib import Path

from daemon.node_start import running_node, wait_for_line

RUNS_ALONE = "starts processes"
DRAINING = '"event":"draining"'
STOPPED = '"event":"stopped"'
STOP_TIMEOUT_S = 20.0


class SignalsWhileStoppingTest(unittest.TestCase):
    def test_sighup_does_not_end_a_process_that_drains(self):
        with tempfile.TemporaryDirectory() as folder, running_node(Path(folder)) as running:
            running.process.terminate()
            wait_for_line(running, DRAINING)
            for _ in range(3):
                running.process.send_signal(signal.SIGHUP)
                time.sleep(0.1)
            self.assertIsNone(running.process.poll())
            self.assertEqual(running.process.wait(STOP_TIMEOUT_S), 0)
            self.assertIn(STOPPED, running.log.read_text())


if __name__ == "__main__":
    unittest.main()
