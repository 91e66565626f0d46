"""The command line: exit codes, output and the validation of document files."""

import contextlib
import io
import random
import tempfile
import unittest
from pathlib import Path

import anyio
import msgspec
from cleo.testers.command_tester import CommandTester

from api.in_process_http import InProcessHttp
from api.test_operators import ADDRESS, SETTINGS, TOKEN, UnavailableGroup
from passlane.api.operators import build_operator_application
from passlane.cli.connection import ConnectionOptions, find_target
from passlane.cli.documents import ApplyCommand, DeleteCommand, GetCommand, WithdrawCommand
from passlane.cli.drains import DrainCommand, UndrainCommand
from passlane.cli.exit_codes import ExitCode
from passlane.cli.main import build_application, main
from passlane.cli.policy_explain import PolicyExplainCommand
from passlane.cli.programs import ProgramsListCommand
from passlane.cli.proofs import parse_seeds
from passlane.cli.status import StatusCommand
from passlane.control.service import ControlService
from passlane.control.state.machine import ControlStateMachine
from passlane.errors import PasslaneError
from passlane.messages.control import AcceptRevision, RegionReport, SetRegions, TargetInFlight
from passlane.observability.ring import RingLog
from passlane.transport.router import MessageRouter

CONNECTION = f"--server {ADDRESS} --token {TOKEN}"
DOCUMENTS = """
[[document]]
kind = "service"
name = "tutor"
policy = "fair"

[[document]]
kind = "policy"
name = "fair"
source_file = "fair.star"
"""


class SingleReplica:
    """A control group of one replica that applies commands immediately, and its client."""

    is_leader = True
    leader_address = ADDRESS
    term = 1

    def __init__(self):
        self.machine = ControlStateMachine()
        self.machine.execute(SetRegions(("north",)))
        self.router = MessageRouter()
        self.service = ControlService(self, self.machine, self.router)

    async def propose(self, command):
        return self.machine.apply(0, command)

    async def read_barrier(self):
        return None

    async def execute(self, request, reply, *, timeout_s):
        return await self.router.unary_handler(request)(request)


class CommandLineTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.file = self.folder / "documents.toml"
        self.group = SingleReplica()
        application = build_operator_application(
            SETTINGS,
            control=self.group,
            store=UnavailableGroup(),
            ring=RingLog(10),
            random=random.Random(1),
        )
        self.http = InProcessHttp(application)

    def run_command(self, command, arguments=""):
        tester = CommandTester(command(self.http))
        code = tester.execute(f"{arguments} {CONNECTION}")
        return code, tester.io.fetch_output() + tester.io.fetch_error()

    def write(self, text, source="1"):
        self.file.write_text(text)
        (self.folder / "fair.star").write_text(source)

    def apply(self, extra=""):
        return self.run_command(ApplyCommand, f"-f {self.file} {extra}")

    def test_apply_submits_referenced_documents_first(self):
        self.write(DOCUMENTS)
        code, output = self.apply()
        self.assertEqual(code, ExitCode.OK, output)
        self.assertLess(output.index("policy/fair created"), output.index("service/tutor created"))
        code, output = self.apply()
        self.assertEqual((code, output.count("unchanged")), (ExitCode.OK, 2))
        self.assertEqual(self.group.machine.ledger.held_revision, 2)

    def test_apply_with_a_stale_version_is_a_conflict(self):
        self.write(DOCUMENTS)
        self.apply()
        self.write('kind = "policy"\nname = "fair"\nversion = 1\nsource = "2"')
        self.assertEqual(self.apply()[0], ExitCode.OK)
        self.write('kind = "policy"\nname = "fair"\nversion = 1\nsource = "3"')
        code, output = self.apply("--output json")
        self.assertEqual(code, ExitCode.CONFLICT)
        self.assertEqual(msgspec.json.decode(output)["code"], "version_conflict")

    def test_errors_in_files_name_the_file_document_and_key(self):
        cases = {
            'kind = "engine"\nname = "e"\naddress = "x"\nzone = "z"\nmodels = []': "address",
            'kind = "policy"\nname = "p"\nsource = "1"\nmax_steps = 0': "max_steps",
            'kind = "poem"\nname = "p"': "poem",
            'kind = "policy"\nname = "p"\nsource_file = "none.star"': "source_file",
            "kind = ": "not TOML",
            '[[document]]\nkind = "policy"\nname = "a"\nsource = "1"\n[[document]]\nname = "b"': (
                "document 2: kind"
            ),
            2 * '[[document]]\nkind = "policy"\nname = "a"\nsource = "1"\n': (
                "policy/a stands there twice"
            ),
        }
        for text, expected in cases.items():
            self.write(text)
            code, output = self.apply()
            with self.subTest(expected=expected):
                self.assertEqual(code, ExitCode.INVALID)
                self.assertIn(f"{self.file}: ", output)
                self.assertIn(expected, output)
        self.assertEqual(self.group.machine.ledger.held_revision, 0)

    def test_withdraw_requires_a_pending_change(self):
        self.write(DOCUMENTS)
        self.apply()
        self.assertEqual(self.run_command(WithdrawCommand, "2")[0], ExitCode.OK)
        self.assertEqual(self.run_command(GetCommand, "service tutor")[0], ExitCode.NOT_FOUND)
        self.group.machine.execute(AcceptRevision(3))
        self.assertEqual(self.run_command(WithdrawCommand, "1")[0], ExitCode.CONFLICT)
        self.assertEqual(self.run_command(DeleteCommand, "policy fair")[0], ExitCode.OK)

    def test_drain_waits_until_in_force_and_undrain_ends_it(self):
        code, output = self.run_command(DrainCommand, "node node-1 --wait --timeout 0.01")
        self.assertEqual(code, ExitCode.NOT_YET)
        self.assertIn("region north: has not reported", output)
        self.assertEqual(self.run_command(UndrainCommand, "node node-1")[0], ExitCode.OK)
        self.assertEqual(self.run_command(UndrainCommand, "node node-1")[0], ExitCode.NOT_FOUND)
        self.assertEqual(self.run_command(DrainCommand, "engine none")[0], ExitCode.INVALID)

    def report(self, revision, in_flight=()):
        self.group.machine.execute(AcceptRevision(revision))
        report = RegionReport(
            region="north",
            term=1,
            held_revision=revision,
            prepared_revision=revision,
            revision_in_force=revision,
            member_count=1,
            in_flight=in_flight,
        )
        anyio.run(self.group.service.receive_report, report)

    def test_drain_is_done_only_when_no_call_is_in_flight(self):
        self.write('kind = "engine"\nname = "e"\naddress = "127.0.0.1:1"\nzone = "z"\nmodels = []')
        self.apply()
        self.run_command(DrainCommand, "engine e")
        arguments = "engine e --wait --timeout 0.05 --output json"
        for calls, code in ((3, ExitCode.NOT_YET), (0, ExitCode.OK)):
            busy = (TargetInFlight("engine", "e", calls), TargetInFlight("engine", "other", 7))
            self.report(2, busy)
            found, output = self.run_command(DrainCommand, arguments)
            self.assertEqual(found, code, output)
            self.assertEqual(msgspec.json.decode(output)["calls_in_flight"], calls)

    def test_many_documents_of_a_kind_are_read_with_one_request(self):
        text = '[[document]]\nkind = "policy"\nname = "p{}"\nsource = "{}"\n'
        self.write("".join(text.format(number, 1) for number in range(50)))
        self.apply()
        self.write("".join(text.format(number, 1 + number // 49) for number in range(50)))
        self.http.requests = 0
        code, output = self.apply()
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual((output.count("unchanged"), output.count(" changed")), (49, 1))
        self.assertEqual(self.http.requests, 2)

    def test_apply_reports_documents_recorded_before_a_failure(self):
        self.write(DOCUMENTS.replace('policy = "fair"', 'policy = "missing"'))
        code, output = self.apply()
        self.assertEqual(code, ExitCode.INVALID)
        self.assertIn("policy/fair created, version 1", output)
        self.assertIn("apply: service/tutor: invalid_document: there is no policy", output)
        report = msgspec.json.decode(self.apply("--output json")[1])
        self.assertEqual((report["failed"], report["code"]), ("service/tutor", "invalid_document"))
        self.assertEqual([entry["result"] for entry in report["documents"]], ["unchanged"])

    def test_explain_shows_the_decisions_of_the_policy(self):
        source = "def classify(call):\n    return {'class': 0, 'weight': call['sequence'] + 1.0}\n"
        self.write(
            DOCUMENTS + '[[document]]\nkind = "tenant"\nname = "t"\nservice = "tutor"', source
        )
        self.apply()
        for extra in ("", f"-f {self.file}"):
            code, output = self.run_command(PolicyExplainCommand, f"t --sequence 2 {extra}")
            self.assertEqual(code, ExitCode.OK, output)
            self.assertIn("service tutor, policy fair", output)
            self.assertIn("class 0, weight 3", output)
        self.assertEqual(self.run_command(PolicyExplainCommand, "none")[0], ExitCode.NOT_FOUND)
        self.assertEqual(
            self.run_command(PolicyExplainCommand, "t --sequence x")[0], ExitCode.USAGE
        )

    def test_invalid_arguments_are_a_usage_error(self):
        cases = ("nonsense", "delete policy", "get --nonsense", "apply", "status --output xml")
        for words in cases:
            with self.subTest(words=words), contextlib.redirect_stderr(io.StringIO()):
                self.assertEqual(main([*words.split(), *CONNECTION.split()]), ExitCode.USAGE)

    def test_no_option_of_a_command_shadows_a_common_option(self):
        application = build_application()
        common = {option.name for option in application.definition.options}
        for command in application.all().values():
            with self.subTest(command=command.name):
                own = {option.name for option in command.definition.options}
                self.assertEqual(own & common, set())

    def test_runs_report_one_json_value_with_the_printed_lines(self):
        code, report = self.run_json("trace", "replay", __file__)
        self.assertEqual((code, report["passed"]), (ExitCode.FAILED, False))
        self.assertIn(__file__, report["lines"][0])
        code, report = self.run_json("bench", "run", "none")
        self.assertEqual((code, report["passed"]), (ExitCode.USAGE, False))
        code, report = self.run_json("sim", "run", "--scenario", "none")
        self.assertEqual((code, report["passed"]), (ExitCode.USAGE, False))
        code, report = self.run_json("bench", "list")
        self.assertIn("turn-cost", report)

    def run_json(self, *words):
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(io.StringIO()):
            code = main([*words, "--output", "json"])
        return code, msgspec.json.decode(output.getvalue())

    def test_exit_codes_are_documented(self):
        page = Path(__file__).parents[2] / "docs" / "operations" / "command-line.md"
        for code in ExitCode:
            self.assertIn(f"| {code.value} | `{code.name}` |", page.read_text())

    def test_unavailable_groups_have_their_own_exit_code(self):
        code, output = self.run_command(StatusCommand)
        self.assertEqual(code, ExitCode.UNAVAILABLE)
        self.assertIn("no leader of the store group answered", output)
        self.assertEqual(self.run_command(ProgramsListCommand)[0], ExitCode.UNAVAILABLE)

    def test_every_command_offers_json(self):
        for command in build_application().all().values():
            if type(command).__module__.startswith("passlane."):
                with self.subTest(command=command.name):
                    self.assertTrue(command.definition.has_option("output"))

    def test_options_take_precedence_over_variables(self):
        variables = {"PASSLANE_SERVER": "10.0.0.1:1,10.0.0.2:2", "PASSLANE_TOKEN": "t"}
        target = find_target(ConnectionOptions(token="mine"), variables)
        self.assertEqual((len(target.servers), target.token), (2, "mine"))
        for options in (ConnectionOptions(token="t"), ConnectionOptions(server="here")):
            with self.assertRaises(PasslaneError):
                find_target(options, {})

    def test_seeds_include_both_ends(self):
        self.assertEqual(parse_seeds("3-5"), range(3, 6))
        for text in ("5-3", "a-b", "-1"):
            with self.assertRaises(PasslaneError):
                parse_seeds(text)


if __name__ == "__main__":
    unittest.main()
