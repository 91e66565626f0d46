"""The explanation of a program, from the command line's client to the program's leader."""

import random
import unittest

import msgspec

from api.in_process_http import InProcessHttp
from node.fakes import make_settings
from node.nodes import PROGRAM, Fleet, chat, run_in_fleet
from passlane.api.operators import build_operator_application
from passlane.cli.client import OperatorClient
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address
from passlane.observability.ring import RingLog
from passlane.settings.model import SecuritySettings, TokenSettings

TOKEN = "operator-secret"
ADDRESS = Address("127.0.0.1", 1)


def operator_client(fleet: Fleet) -> OperatorClient:
    settings = msgspec.structs.replace(
        make_settings("n0", 7000),
        security=SecuritySettings(operators=(TokenSettings(token=TOKEN),)),
    )
    application = build_operator_application(
        settings,
        control=fleet.store,
        store=fleet.store,
        ring=RingLog(1_000),
        random=random.Random(1),
        caller=fleet.network,  # type: ignore[arg-type]
    )
    return OperatorClient(InProcessHttp(application), [ADDRESS], TOKEN)


class ExplanationTest(unittest.TestCase):
    def test_leader_explains_the_last_call(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.call(chat())
            found = await operator_client(fleet).explain_program(PROGRAM)
            self.assertEqual(found.leader, "n0")
            self.assertIn("engine-", found.placement)
            self.assertIn("class 1", found.policy)

        run_in_fleet(scenario, nodes=2)

    def test_unknown_program_is_an_error(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            with self.assertRaises(PasslaneError) as raised:
                await operator_client(fleet).explain_program("p-none")
            self.assertEqual(raised.exception.code, ErrorCode.UNKNOWN_PROGRAM)

        run_in_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
