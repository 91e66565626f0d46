"""Tasks that work for one request."""

import unittest

import anyio
from structlog.testing import capture_logs

from passlane.relay.background_reports import BackgroundReports
from passlane.supervision.contained import run_contained


class ContainedTaskTest(unittest.TestCase):
    """Guards against an unforeseen error of such a task that ends the process."""

    def test_an_error_is_logged_and_ends_no_other_task(self):
        async def fail(reason):
            raise OverflowError(reason)

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run_contained, fail, "too large")
                await anyio.sleep(0.01)
                ended.append("the other task")

        ended = []
        with capture_logs() as lines:
            anyio.run(main)
        self.assertEqual(ended, ["the other task"])
        (line,) = lines
        self.assertEqual((line["event"], line["log_level"]), ("task_failed", "error"))
        self.assertIn("fail", line["task"])

    def test_cancellation_goes_on(self):
        async def main():
            with anyio.move_on_after(0.01) as scope:
                await run_contained(anyio.sleep, 10.0)
            self.assertTrue(scope.cancelled_caught)

        anyio.run(main)

    def test_a_report_that_fails_is_sent_again_with_the_next_fact(self):
        sent = []

        async def send(facts):
            sent.append(facts)
            if len(sent) == 1:
                raise OverflowError
            return True

        async def main():
            async with anyio.create_task_group() as tasks:
                reports = BackgroundReports(send, lambda facts: None, 1.0, tasks)
                reports.add("first")
                await anyio.sleep(0.01)
                reports.add("second")
                await reports.wait_until_reported("first")

        anyio.run(main)
        self.assertEqual(sent, [("first",), ("first", "second")])


if __name__ == "__main__":
    unittest.main()
