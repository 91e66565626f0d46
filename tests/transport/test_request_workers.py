"""Tests of the worker tasks that serve requests."""

import unittest

import anyio

from passlane.simulation.runner import run_simulation
from passlane.transport.request_workers import MAX_IDLE_WORKERS, RequestWorkers


class RequestWorkersTest(unittest.TestCase):
    def setUp(self):
        self.served = []
        self.tasks_of_jobs = []
        self.cancelled = []

    def simulate(self, body):
        async def main():
            async with anyio.create_task_group() as tasks:
                await body(RequestWorkers(tasks, self.serve))
                tasks.cancel_scope.cancel()

        run_simulation(main, seed=1)

    async def serve(self, job):
        name, scope = job
        self.tasks_of_jobs.append(anyio.get_current_task().id)
        with scope:
            try:
                await anyio.sleep(0.01)
            except anyio.get_cancelled_exc_class():
                self.cancelled.append(name)
                raise
            self.served.append(name)

    def test_jobs_run_concurrently_and_their_tasks_are_reused(self):
        async def body(workers):
            for round_number in range(3):
                for number in range(MAX_IDLE_WORKERS):
                    workers.submit((f"{round_number}-{number}", anyio.CancelScope()))
                await anyio.sleep(0.011)
                self.assertEqual(len(self.served), (round_number + 1) * MAX_IDLE_WORKERS)

        self.simulate(body)
        self.assertEqual(len(set(self.tasks_of_jobs)), MAX_IDLE_WORKERS)

    def test_tasks_above_the_maximum_of_idle_ones_end(self):
        async def body(workers):
            for number in range(50):
                workers.submit((number, anyio.CancelScope()))
            await anyio.sleep(0.02)
            self.assertEqual(sorted(self.served), list(range(50)))
            self.assertEqual(len(workers._idle), MAX_IDLE_WORKERS)

        self.simulate(body)

    def test_cancelling_a_job_ends_only_that_job_and_its_task_is_reused(self):
        async def body(workers):
            scope = anyio.CancelScope()
            workers.submit(("cancelled", scope))
            workers.submit(("completed", anyio.CancelScope()))
            await anyio.sleep(0.001)
            scope.cancel()
            await anyio.sleep(0.02)
            workers.submit(("next", anyio.CancelScope()))
            workers.submit(("after next", anyio.CancelScope()))
            await anyio.sleep(0.02)

        self.simulate(body)
        self.assertEqual(self.cancelled, ["cancelled"])
        self.assertEqual(sorted(self.served), ["after next", "completed", "next"])
        self.assertEqual(len(set(self.tasks_of_jobs)), 2)


if __name__ == "__main__":
    unittest.main()
