"""A planned stop waits until every answer has been written."""

import unittest

import anyio

from passlane.daemon.shared.in_flight import InFlightRequests
from passlane.simulation.runner import run_simulation


class InFlightRequestsTest(unittest.TestCase):
    def test_waits_for_the_slowest_request(self):
        async def serve(scope, receive, send):
            await anyio.sleep(scope["takes_s"])
            if scope["takes_s"] == 2.0:
                raise OSError("the caller disconnected")

        async def request(application, takes_s):
            try:
                await application({"takes_s": takes_s}, None, None)
            except OSError:
                return

        async def main():
            application = InFlightRequests(serve)
            await application.wait_until_idle()
            async with anyio.create_task_group() as tasks:
                for takes_s in (1.0, 3.0, 2.0):
                    tasks.start_soon(request, application, takes_s)
                await anyio.sleep(0.5)
                await application.wait_until_idle()
                return anyio.current_time()

        self.assertEqual(run_simulation(main, 1), 3.0)


if __name__ == "__main__":
    unittest.main()
