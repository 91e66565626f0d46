"""The operators' HTTP interface and its client, with a replicated control group."""

import random
import unittest

import msgspec

from api.in_process_http import InProcessHttp
from control.control_cluster import running_control
from passlane.api.operators import MAX_BODY_BYTES, build_operator_application
from passlane.cli.client import ApiError, OperatorClient
from passlane.cli.waiting import describe_progress, is_in_force, wait_for_progress
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.settings.model import (
    AddressSettings,
    ProcessSettings,
    SecuritySettings,
    Settings,
    TokenSettings,
)
from passlane.simulation.runner import run_simulation

TOKEN = "operator-token-1"
ADDRESS = Address("127.0.0.1", 7900)
SETTINGS = Settings(
    process=ProcessSettings(name="a", roles=(), region="north", zone="z", data_folder="-"),
    addresses=AddressSettings(internal=ADDRESS, operators=ADDRESS),
    security=SecuritySettings(operators=(TokenSettings(token=TOKEN),)),
)
POLICY_PATH = "/v1/documents/policy/p"
BODY = b'{"source":"1"}'


class UnavailableGroup:
    async def execute(self, request, reply, *, timeout_s):
        raise PasslaneError(ErrorCode.UNAVAILABLE, "no replica answers")


class OperatorsTest(unittest.TestCase):
    def setUp(self):
        self.ring = RingLog(1_000)
        configure_logging(self.ring)

    def run_with_group(self, scenario):
        async def main():
            async with running_control(1) as cluster:
                addresses = tuple(peer.internal for peer in cluster.settings.members)
                application = build_operator_application(
                    msgspec.structs.replace(SETTINGS, control_addresses=addresses),
                    control=cluster.client_named("http"),
                    store=UnavailableGroup(),
                    ring=self.ring,
                    random=random.Random(1),
                )
                http = InProcessHttp(application)
                await scenario(cluster, http, OperatorClient(http, [ADDRESS], TOKEN))

        run_simulation(main, 1)

    def test_invalid_requests_get_a_code_and_change_nothing(self):
        new = {"if-none-match": "*"}
        invalid = b'{"source":"1","max_steps":0}'
        cases = [
            ("PUT", POLICY_PATH, BODY, {}, 428, "precondition_required"),
            ("PUT", POLICY_PATH, BODY, {"if-match": "x"}, 400, "bad_request"),
            ("PUT", POLICY_PATH, b"[", new, 400, "bad_request"),
            ("PUT", POLICY_PATH, invalid, new, 422, "invalid_document"),
            ("PUT", POLICY_PATH, b'{"source":"1","extra":1}', new, 422, "invalid_document"),
            ("PUT", "/v1/documents/poem/p", BODY, new, 422, "invalid_document"),
            ("PUT", POLICY_PATH, b"x" * (MAX_BODY_BYTES + 1), new, 413, "body_too_large"),
            ("PUT", POLICY_PATH, BODY, {"if-match": '"3"'}, 412, "version_conflict"),
            ("POST", POLICY_PATH, BODY, new, 405, "method_not_allowed"),
            ("GET", "/v1/nothing", b"", {}, 404, "not_found"),
            ("GET", POLICY_PATH, b"", {}, 404, "not_found"),
            ("GET", "/v1/programs", b"", {}, 503, "unavailable"),
            ("POST", "/v1/withdraw/9", b"", {}, 404, "not_found"),
            ("PUT", POLICY_PATH, BODY, {"if-match": "9" * 5_000}, 400, "bad_request"),
            ("PUT", POLICY_PATH, BODY, {"if-match": str(2**64)}, 400, "bad_request"),
            ("POST", f"/v1/withdraw/{'9' * 5_000}", b"", {}, 400, "bad_request"),
            ("POST", f"/v1/withdraw/{2**64}", b"", {}, 400, "bad_request"),
            ("GET", f"/v1/log?lines={'9' * 5_000}", b"", {}, 400, "bad_request"),
            ("PUT", POLICY_PATH, b"[" * 3_000, new, 400, "bad_request"),
            (
                "PUT",
                POLICY_PATH,
                b'{"source":"1","max_steps":%d}' % 2**64,
                new,
                422,
                "invalid_document",
            ),
            (
                "PUT",
                POLICY_PATH,
                b'{"source":"1","max_steps":' + b"9" * 400 + b"}",
                new,
                422,
                "invalid_document",
            ),
        ]

        async def scenario(cluster, http, client):
            for method, path, body, headers, status, code in cases:
                headers = {"authorization": f"Bearer {TOKEN}", **headers}
                answer = await http.fetch(method, path, headers, body)
                problem = msgspec.json.decode(answer.body)
                with self.subTest(method=method, path=path, code=code):
                    self.assertEqual((answer.status, problem["code"]), (status, code))
                    self.assertEqual(answer.headers["content-type"], "application/problem+json")
                    self.assertEqual(problem["verdict"], "not_run")
            self.assertEqual((await client.read_documents()).newest_revision, 0)

        self.run_with_group(scenario)

    def test_only_valid_tokens_are_accepted_and_none_is_logged(self):
        async def scenario(cluster, http, client):
            for headers in ({}, {"authorization": "Bearer wrong"}, {"authorization": TOKEN}):
                answer = await http.fetch("GET", "/v1/documents", headers)
                self.assertEqual(answer.status, 401)
            await client.put_document("policy", "p", BODY.decode(), 0)
            answer = await http.fetch("GET", "/v1/log", {"authorization": f"Bearer {TOKEN}"})
            self.assertNotIn(TOKEN, answer.body.decode())

        self.run_with_group(scenario)

    def test_change_with_lost_responses_is_retried_and_recorded_once(self):
        async def scenario(cluster, http, client):
            http.lose_answers = 2
            change = await client.put_document("policy", "p", BODY.decode(), 0)
            self.assertEqual((change.version, change.revision), (1, 1))
            self.assertEqual((await client.read_documents()).newest_revision, 1)

        self.run_with_group(scenario)

    def test_conflict_returns_the_current_document(self):
        async def scenario(cluster, http, client):
            await client.put_document("policy", "p", '{"source":"1"}', 0)
            await client.put_document("policy", "p", '{"source":"2"}', 1)
            with self.assertRaises(ApiError) as caught:
                await client.put_document("policy", "p", '{"source":"3"}', 1)
            self.assertEqual(caught.exception.current_version, 2)
            body = msgspec.json.decode(bytes(caught.exception.current.body))
            self.assertEqual(body["source"], "2")
            await cluster.until_in_force(2)
            with self.assertRaises(ApiError) as caught:
                await client.put_document("policy", "p", '{"source":"4"}', 1)
            self.assertTrue(caught.exception.current.is_accepted)

        self.run_with_group(scenario)

    def test_wait_for_progress_reports_the_region_that_delays_a_change(self):
        async def scenario(cluster, http, client):
            first = await client.put_document("policy", "p", '{"source":"1"}', 0)
            progress = await wait_for_progress(client, first.revision, 30.0, is_in_force)
            self.assertTrue(is_in_force(progress))
            cluster.sides["south"] = 1
            second = await client.put_document("policy", "p", '{"source":"2"}', 1)
            progress = await wait_for_progress(client, second.revision, 10.0, is_in_force)
            lines = "\n".join(describe_progress(progress, second.revision))
            self.assertIn("revision 2 is pending", lines)
            self.assertIn("region south: prepared 1, in force 1", lines)
            status = await client.read_status()
            self.assertEqual([change.revision for change in status.pending], [2])
            self.assertEqual(sum(member.is_leader for member in status.control_members), 1)
            self.assertIn("store group", status.problems[0])

        self.run_with_group(scenario)


if __name__ == "__main__":
    unittest.main()
