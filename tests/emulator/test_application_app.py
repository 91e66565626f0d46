"""The emulated application over HTTP, asked by the product's own client."""

import random
import unittest

import anyio

from passlane.backends.application_client import ApplicationClient
from passlane.emulator.application_app import build_tool_application
from passlane.emulator.application_model import ApplicationModel, ApplicationSettings
from passlane.emulator.http_server import ByteStreamHttpServer
from passlane.messages.backends import OperationState, ToolRequest
from passlane.messages.common import Address
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.simulation.event_log import EventLog
from passlane.simulation.network import DelayModel, SimulatedNetwork
from passlane.simulation.runner import run_simulation

APPLICATION = Address("10.0.0.1", 8200)
CALLER_HOST = "10.0.0.2"
OPERATION = "program/call"


class ApplicationOverHttpTest(unittest.TestCase):
    def test_status_is_found_for_an_operation_with_a_slash_in_its_id(self) -> None:
        async def ask() -> tuple[OperationState, str]:
            zones = {APPLICATION.host: "zone-a", CALLER_HOST: "zone-a"}
            network = SimulatedNetwork(random.Random(1), DelayModel(zones), EventLog())
            server = ByteStreamHttpServer(network.host(APPLICATION.host))
            model = ApplicationModel(ApplicationSettings(), random.Random(1))
            client = ApplicationClient(
                SingleConnectionHttpClient(network.host(CALLER_HOST)), APPLICATION
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve, APPLICATION, build_tool_application(model))
                await anyio.sleep(0.1)
                request = ToolRequest(operation_id=OPERATION, attempt_id="a", arguments="{}")
                ran = await client.run_tool("charge", request, timeout_s=5.0)
                status = await client.read_status(OPERATION)
                tasks.cancel_scope.cancel()
            self.assertEqual(status.result, ran.result)
            return status.state, status.operation_id

        self.assertEqual(run_simulation(ask, seed=1), (OperationState.DONE, OPERATION))


if __name__ == "__main__":
    unittest.main()
