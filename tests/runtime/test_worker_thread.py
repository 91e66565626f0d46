"""Tests of blocking work on a dedicated thread: results, errors, cancellation and stop."""

import threading
import time
import unittest

import anyio

from passlane.runtime.worker_thread import WorkerThread

RUNS_ALONE = "starts threads"


class WorkerThreadTest(unittest.TestCase):
    def test_the_loop_is_not_blocked_while_the_work_runs(self):
        threads = []

        def work():
            time.sleep(0.1)
            threads.append(threading.get_ident())

        async def main():
            worker = WorkerThread(work)
            ticks = 0
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(worker.run)
                while not threads:
                    await anyio.sleep(0.01)
                    ticks += 1
            await worker.run()
            worker.stop()
            return ticks

        self.assertGreaterEqual(anyio.run(main), 3)
        self.assertEqual(len(threads), 2)
        self.assertEqual(len(set(threads)), 1)
        self.assertNotEqual(threads[0], threading.get_ident())

    def test_an_error_is_raised_to_the_caller_and_the_thread_continues(self):
        errors = [OSError("the disk failed"), None]

        def work():
            error = errors.pop(0)
            if error is not None:
                raise error

        async def main():
            worker = WorkerThread(work)
            with self.assertRaises(OSError):
                await worker.run()
            await worker.run()
            worker.stop()

        anyio.run(main)
        self.assertEqual(errors, [])

    def test_a_cancelled_caller_waits_until_the_work_is_done(self):
        done = threading.Event()

        def work():
            time.sleep(0.1)
            done.set()

        async def main():
            worker = WorkerThread(work)
            with anyio.move_on_after(0.01) as scope:
                await worker.run()
                await anyio.sleep(1.0)
            self.assertTrue(done.is_set())
            self.assertTrue(scope.cancelled_caught)
            worker.stop()

        anyio.run(main)

    def test_the_thread_ends_after_pending_calls(self):
        async def main():
            worker = WorkerThread(lambda: None)
            await worker.run()
            thread = worker._thread
            worker.stop()
            return thread

        thread = anyio.run(main)
        thread.join(5.0)
        self.assertFalse(thread.is_alive())


if __name__ == "__main__":
    unittest.main()
