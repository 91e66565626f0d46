"""What callers get, and what really ran, when back ends, store and leaders fail."""

import io
import unittest
from collections.abc import Callable

import anyio

from node.fakes import OTHER_TENANT, TENANT
from node.nodes import PROGRAM, Answer, Fleet, charge, chat, in_fleet, whole_text
from passlane.api.answers import WholeAnswer
from passlane.configuration.view import ConfigurationView
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import ProgramId
from passlane.messages.base import Message
from passlane.messages.common import Amounts
from passlane.messages.node import CallRefused, CallRequest, CreateProgramRequest
from passlane.messages.store import BeginCall, CallState, FinishCall, ProgramResult, ProgramState
from passlane.programs.call_machine import CallMachine
from passlane.simulation.replacement import Replacement, replaced


class ModelCallTest(unittest.TestCase):
    def test_answer_is_whole_and_history_recorded(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            first = await fleet.call(chat("one"))
            second = await fleet.call(chat("two"))
            self.assertEqual("".join(first.texts), whole_text())
            self.assertEqual(first.answered.body, whole_text())
            self.assertEqual(second.answered.sequence, 1)
            turns = [(turn.role, turn.content) for turn in fleet.record().turns]
            expected = [("user", "one"), ("assistant", whole_text())]
            expected += [("user", "two"), ("assistant", whole_text())]
            self.assertEqual(turns, expected)

        in_fleet(scenario)

    def test_engine_dies_mid_stream_and_another_goes_on(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for engine in fleet.engines:
                engine.break_after = [5]
            answer = await fleet.call(chat())
            self.assertEqual("".join(answer.texts), whole_text())
            self.assertEqual(answer.answered.attempts, 3)
            sent = sum(engine.tokens_sent for engine in fleet.engines)
            self.assertEqual(sent, 12, "no token is generated twice")

        in_fleet(scenario)

    def test_late_token_of_an_earlier_attempt_is_dropped(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for engine in fleet.engines:
                engine.echo_attempt = "another"
            answer = await fleet.call(chat())
            self.assertEqual("".join(answer.texts), whole_text())

        in_fleet(scenario)

    def test_all_engines_dead_is_refused_at_once_and_can_be_repeated(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            servers = {one: fleet.http.servers.pop(one) for one in list(fleet.http.servers)[:2]}
            request = chat(idempotency_key="a", is_named=True)
            refused = await fleet.call(request)
            self.assertEqual(refused.refused.verdict, Verdict.NOT_RUN)
            self.assertIsNotNone(refused.refused.retry_after_s)
            self.assertLess(anyio.current_time(), 20.0)
            fleet.http.servers.update(servers)
            await anyio.sleep(60)
            again = await fleet.call(request)
            self.assertEqual(again.answered.body, whole_text())
            self.assertEqual(again.answered.sequence, 0)

        in_fleet(scenario)

    def test_refusal_by_a_dead_engine_reaches_the_caller_as_it_is(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for engine_id in list(fleet.http.servers)[:2]:
                del fleet.http.servers[engine_id]
            with self.assertRaises(PasslaneError) as caught:
                await fleet.nodes[0].forwarder.run_call(chat(), WholeAnswer().emit)
            self.assertEqual(caught.exception.code, ErrorCode.UNAVAILABLE)
            self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)
            self.assertIsNotNone(caught.exception.retry_after_s)

        in_fleet(scenario)

    def test_repeat_joins_and_later_gets_the_recorded_outcome(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            request = chat(sequence=0, is_named=True)
            answers = [Answer(), Answer()]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, request, answers[0])
                await anyio.sleep(0.02)
                tasks.start_soon(fleet.call, request, answers[1])
            answers.append(await fleet.call(request))
            for answer in answers:
                self.assertEqual(answer.answered.body, whole_text())
            self.assertEqual(sum(len(engine.requests) for engine in fleet.engines), 1)

        in_fleet(scenario)

    def test_restarted_node_without_configuration_does_not_judge_the_tenant(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            configuration, fleet.configuration = fleet.configuration, ConfigurationView()
            fleet.leaderships[0].epoch = None
            answer = Answer()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat(), answer)
                await anyio.sleep(1.0)
                fleet.configuration = configuration
                fleet.lead(0)
            self.assertEqual(answer.answered.body, whole_text())

        in_fleet(scenario)

    def test_unnamed_call_is_cancelled_with_its_caller(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            with anyio.move_on_after(0.02):
                await fleet.call(chat())
            await anyio.sleep(0.05)
            self.assertEqual([engine.running for engine in fleet.engines], [0, 0])
            self.assertEqual((await fleet.call(chat())).answered.sequence, 1)

        in_fleet(scenario)

    def test_calls_run_in_order_of_their_sequence(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            answers = [Answer() for _ in range(4)]
            async with anyio.create_task_group() as tasks:
                for number in (2, 0, 3, 1):
                    request = chat(str(number), sequence=number, is_named=True)
                    tasks.start_soon(fleet.call, request, answers[number])
                    await anyio.sleep(0.01)
            asked = [turn.content for turn in fleet.record().turns if turn.role == "user"]
            self.assertEqual(asked, ["0", "1", "2", "3"])
            gap = await fleet.call(chat(sequence=9, is_named=True))
            self.assertEqual(gap.refused.code, ErrorCode.WRONG_SEQUENCE)
            self.assertEqual(gap.refused.verdict, Verdict.NOT_RUN)

        in_fleet(scenario)

    def test_budget_is_never_exceeded(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.create(program_id=ProgramId("small"), budget=Amounts(tokens=60, calls=9))
            answers = [
                await fleet.call(chat(program_id=ProgramId("small"), max_tokens=20))
                for _ in range(5)
            ]
            self.assertEqual(answers[-1].refused.code, ErrorCode.BUDGET_EXCEEDED)
            program = fleet.store.machine.programs.find(ProgramId("small"))
            assert program is not None
            self.assertLessEqual(program.account.spent.tokens, 60)

        in_fleet(scenario)


class ToolCallTest(unittest.TestCase):
    def test_charge_with_lost_answer_runs_once_and_is_found(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.behaviours = ["lost"]
            answer = await fleet.call(charge())
            self.assertEqual(answer.answered.verdict, Verdict.RAN)
            again = await fleet.call(charge())
            self.assertEqual(again.answered.body, answer.answered.body)
            self.assertEqual(len(fleet.application.ledger), 1)
            self.assertEqual(fleet.record().spent.money_micros, 5)

        in_fleet(scenario)

    def test_charge_without_status_is_doubtful_and_never_repeated(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.behaviours = ["lost"]
            for _ in range(3):
                answer = await fleet.call(charge())
                self.assertEqual(answer.refused.verdict, Verdict.MAY_HAVE_RUN)
            self.assertEqual(fleet.application.requests, 1)

        in_fleet(scenario, offers_status=False)

    def test_hung_charge_is_cut_and_asked_about(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.behaviours = ["hang"]
            answer = await fleet.call(charge())
            self.assertEqual(answer.answered.verdict, Verdict.RAN)
            self.assertLess(anyio.current_time(), 2.0)
            self.assertEqual(len(fleet.application.ledger), 1)

        in_fleet(scenario)

    def test_charge_given_up_at_its_deadline_is_answered_at_once_and_found_later(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.behaviours = ["hang"]
            began_at = anyio.current_time()
            given_up = await fleet.call(charge(timeout_s=0.5))
            self.assertEqual(given_up.refused.code, ErrorCode.DEADLINE_EXCEEDED)
            self.assertEqual(given_up.refused.verdict, Verdict.MAY_HAVE_RUN)
            self.assertIsNotNone(given_up.refused.retry_after_s)
            self.assertAlmostEqual(anyio.current_time() - began_at, 0.5, places=3)
            # A repeat whose time is up before the record is looked at proves nothing.
            hasty = await fleet.call(charge(timeout_s=0.0))
            self.assertEqual(hasty.refused.verdict, Verdict.MAY_HAVE_RUN)
            again = await fleet.call(charge())
            while isinstance(again.last, CallRefused):
                self.assertNotEqual(again.refused.verdict, Verdict.NOT_RUN)
                await anyio.sleep(again.refused.retry_after_s or 0)
                again = await fleet.call(charge())
            self.assertEqual(again.answered.verdict, Verdict.RAN)
            self.assertEqual(fleet.application.requests, 1)
            self.assertEqual(fleet.record().spent.money_micros, 5)

        in_fleet(scenario)

    def test_doubtful_charge_is_settled_before_the_programs_next_call(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.behaviours = ["hang"]
            await fleet.call(charge(timeout_s=0.5))
            self.assertEqual(fleet.record().calls[0].state, CallState.BEGUN)
            await fleet.call(chat())
            outcome = fleet.record().calls[0].outcome
            assert outcome is not None
            self.assertEqual(outcome.verdict, Verdict.RAN)
            self.assertEqual(fleet.application.requests, 1)

        in_fleet(scenario)

    def test_charge_that_never_arrived_is_refused_for_good(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.behaviours = ["unsent"]
            answer = await fleet.call(charge())
            self.assertEqual(answer.refused.verdict, Verdict.NOT_RUN)
            self.assertEqual(fleet.application.ledger, [])
            self.assertEqual(fleet.record().spent.money_micros, 0)

        in_fleet(scenario)

    def test_refused_charge_is_sent_again(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.behaviours = ["refuse", "refuse"]
            answer = await fleet.call(charge())
            self.assertEqual(answer.answered.verdict, Verdict.RAN)
            self.assertEqual(len(fleet.application.ledger), 1)

        in_fleet(scenario)

    def test_lost_answer_of_the_intent_does_not_stop_the_charge(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.store.fail_next = {BeginCall: ["lost"], FinishCall: ["lost"]}
            first = await fleet.call(charge())
            self.assertEqual(first.refused.verdict, Verdict.NOT_RUN)
            # The store holds an intent whose answer this leader never saw, so it asks.
            second = await fleet.call(charge())
            self.assertNotEqual(second.last, None)
            self.assertLessEqual(len(fleet.application.ledger), 1)

        in_fleet(scenario)

    def test_repeat_of_a_charge_that_ran_is_never_refused_as_not_run(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            first = await fleet.call(charge(), node=1)
            self.assertEqual(first.answered.verdict, Verdict.RAN)
            fleet.network.cut_off(fleet.leaderships[0].address)
            without_leader = await fleet.call(charge(), node=1)
            self.assertEqual(without_leader.refused.code, ErrorCode.UNAVAILABLE)
            self.assertEqual(without_leader.refused.verdict, Verdict.MAY_HAVE_RUN)
            # The next leader is too busy to look into the program's record.
            fleet.lead(1)
            fleet.nodes[1].leader.limit_requests(0)
            when_busy = await fleet.call(charge(), node=1)
            self.assertEqual(when_busy.refused.code, ErrorCode.QUEUE_FULL)
            self.assertEqual(when_busy.refused.verdict, Verdict.MAY_HAVE_RUN)
            fleet.nodes[1].leader.limit_requests(10)
            again = await fleet.call(charge(), node=1)
            self.assertEqual(again.answered.verdict, Verdict.RAN)
            # Now its record is in memory, and tells a repeat from a new charge.
            fleet.nodes[1].leader.limit_requests(0)
            repeat = await fleet.call(charge(), node=1)
            self.assertEqual(repeat.refused.verdict, Verdict.RAN)
            new = await fleet.call(charge("another"), node=1)
            self.assertEqual(new.refused.verdict, Verdict.NOT_RUN)
            self.assertEqual(len(fleet.application.ledger), 1)

        in_fleet(scenario, nodes=2)

    def test_repeat_refused_while_the_charge_is_about_to_be_recorded_promises_nothing(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.call(chat())
            first = Answer()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, charge(), first)
                await anyio.sleep(0.0005)
                self.assertEqual(len(fleet.record().calls), 1, "the charge is not recorded yet")
                fleet.nodes[0].leader.limit_requests(0)
                repeat = await fleet.call(charge())
            self.assertEqual(first.answered.verdict, Verdict.RAN)
            self.assertEqual(repeat.refused.code, ErrorCode.QUEUE_FULL)
            self.assertEqual(repeat.refused.verdict, Verdict.MAY_HAVE_RUN)

        in_fleet(scenario)


class LeaderChangeTest(unittest.TestCase):
    def test_leader_lost_mid_stream_and_the_next_goes_on(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            answer = Answer()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat(), answer, 1)
                await anyio.sleep(0.025)
                fleet.network.cut_off(fleet.leaderships[0].address)
                await anyio.sleep(0.5)
                fleet.lead(1, told=False)
            self.assertEqual("".join(answer.texts), whole_text())
            self.assertEqual(fleet.record().turns[-1].content, whole_text())

        in_fleet(scenario, nodes=2)

    def test_unnamed_charge_cut_off_with_its_leader_is_not_refused_as_not_run(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.behaviours = ["hang"]
            request = charge(idempotency_key=None, is_named=False, timeout_s=3.0)
            answer = Answer()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, request, answer, 1)
                await anyio.sleep(0.006)
                self.assertEqual(len(fleet.application.ledger), 1)
                # Its lease is over, and nobody leads for longer than the caller waits.
                led = fleet.leaderships[0].led_partitions()
                fleet.leaderships[0].epoch = None
                for partition in led:
                    fleet.nodes[0].leader.forget_partition(partition)
            self.assertEqual(answer.refused.code, ErrorCode.UNAVAILABLE)
            self.assertEqual(answer.refused.verdict, Verdict.MAY_HAVE_RUN)

        in_fleet(scenario, nodes=2)

    def test_charge_whose_outcome_its_leader_may_not_record_is_not_refused_as_not_run(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            request = charge(idempotency_key=None, is_named=False, timeout_s=3.0)
            answer = Answer()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, request, answer, 1)
                await anyio.sleep(0.004)
                # The store has given the program away; only the leader does not know yet.
                fleet.store.lead(fleet.leaderships[1], fleet.epoch + 1)
                await anyio.sleep(0.01)
                self.assertEqual(len(fleet.application.ledger), 1)
                fleet.network.cut.add(fleet.leaderships[0].address)
            self.assertEqual(answer.refused.code, ErrorCode.UNAVAILABLE)
            self.assertEqual(answer.refused.verdict, Verdict.MAY_HAVE_RUN)

        in_fleet(scenario, nodes=2)

    def test_repeat_that_shares_the_refusal_of_a_waiting_charge_is_told_that_it_did_not_run(
        self,
    ) -> None:
        async def scenario(fleet: Fleet) -> None:
            answers = [Answer(), Answer()]
            async with anyio.create_task_group() as tasks:
                for answer in answers:
                    tasks.start_soon(fleet.call, charge(sequence=9), answer)
                    await anyio.sleep(0.01)
            for answer in answers:
                self.assertEqual(answer.refused.code, ErrorCode.WRONG_SEQUENCE)
                self.assertEqual(answer.refused.verdict, Verdict.NOT_RUN)

        in_fleet(scenario)

    def test_program_refused_after_a_lost_answer_is_not_refused_as_not_run(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            lost = PasslaneError(ErrorCode.CONNECTION_LOST, "reset", verdict=Verdict.MAY_HAVE_RUN)
            errors = [lost, PasslaneError(ErrorCode.LIMIT_EXCEEDED, "too many programs")]

            async def fail(*_: object, **__: object) -> Message:
                raise errors.pop(0)

            fleet.network.call = fail  # type: ignore[method-assign]
            with self.assertRaises(PasslaneError) as caught:
                request = CreateProgramRequest("c", TENANT, ProgramId("new"), Amounts())
                await fleet.nodes[1].forwarder.ask(request.program_id, request, ProgramResult, 5.0)
            self.assertEqual(caught.exception.code, ErrorCode.LIMIT_EXCEEDED)
            self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

        in_fleet(scenario, nodes=2)

    def test_call_sent_again_to_a_busy_leader_is_not_refused_as_not_run(self) -> None:
        # The next leader has asked the application what became of the charge.
        for make, verdict in ((chat, Verdict.MAY_HAVE_RUN), (charge, Verdict.RAN)):
            with self.subTest(make.__name__):

                async def scenario(
                    fleet: Fleet,
                    make: Callable[..., CallRequest] = make,
                    verdict: Verdict = verdict,
                ) -> None:
                    fleet.application.behaviours = ["hang"]
                    request = make(idempotency_key=None, is_named=False, timeout_s=3.0)
                    answer = Answer()
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(fleet.call, request, answer, 1)
                        await anyio.sleep(0.01)
                        fleet.network.cut_off(fleet.leaderships[0].address)
                        fleet.nodes[1].leader.limit_requests(0)
                        fleet.lead(1)
                    self.assertEqual(answer.refused.code, ErrorCode.QUEUE_FULL)
                    self.assertEqual(answer.refused.verdict, verdict)

                in_fleet(scenario, nodes=2)

    def test_call_sent_again_that_is_on_no_record_is_refused_as_not_run(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            request = charge(idempotency_key=None, is_named=False, is_resent=True, sequence=9)
            answer = await fleet.call(request)
            self.assertEqual(answer.refused.code, ErrorCode.WRONG_SEQUENCE)
            self.assertEqual(answer.refused.verdict, Verdict.NOT_RUN)

        in_fleet(scenario)

    def test_leader_change_between_intent_and_outcome_of_a_charge(self) -> None:
        # The application has run the charge after 5 ms; before that it never will.
        cases = (("hang", 0.006, Verdict.RAN), ("unsent", 0.004, Verdict.NOT_RUN))
        for behaviour, moment_s, verdict in cases:
            with self.subTest(behaviour):

                async def scenario(
                    fleet: Fleet,
                    behaviour: str = behaviour,
                    moment_s: float = moment_s,
                    verdict: Verdict = verdict,
                ) -> None:
                    fleet.application.behaviours = [behaviour]
                    answer = Answer()
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(fleet.call, charge(), answer, 1)
                        await anyio.sleep(moment_s)
                        self.assertEqual(fleet.record().calls[0].state, CallState.BEGUN)
                        fleet.lead(1)
                    assert answer.last is not None
                    self.assertEqual(answer.last.verdict, verdict)
                    self.assertEqual(len(fleet.application.ledger), verdict is Verdict.RAN)
                    self.assertEqual(fleet.application.requests, 1)

                in_fleet(scenario, nodes=2)

    def test_two_leaders_write_one_history(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            answers = [Answer(), Answer()]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat("old", timeout_s=8.0), answers[0], 0)
                await anyio.sleep(0.02)
                # Node 0 keeps believing that it leads.
                fleet.lead(1, told=False)
                fleet.leaderships[0].leader = fleet.leaderships[0].address
                tasks.start_soon(fleet.call, chat("new"), answers[1], 1)
                await anyio.sleep(1.0)
                fleet.leaderships[0].leader = fleet.leaderships[1].address
                fleet.leaderships[0].epoch = None
            self.assertEqual(answers[1].answered.body, whole_text())
            turns = [turn.content for turn in fleet.record().turns]
            self.assertEqual(turns, ["old", "new", whole_text()])

        in_fleet(scenario, nodes=2)


class MemoryAndEndTest(unittest.TestCase):
    def test_memory_is_released_at_the_end_when_the_engine_comes_back(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.call(chat())
            self.assertEqual(len(fleet.record().holds), 1)
            for engine in fleet.engines:
                engine.refuses_orders = True
            await fleet.end()
            await anyio.sleep(5)
            self.assertEqual(fleet.nodes[0].releases.pending_count, 1)
            # Another leader takes the release over.
            fleet.lead(1)
            for engine in fleet.engines:
                engine.refuses_orders = False
            await anyio.sleep(10)
            self.assertEqual([engine.held for engine in fleet.engines], [{}, {}])
            self.assertEqual(fleet.record().holds, ())
            self.assertEqual(fleet.nodes[0].releases.pending_count, 0)

        in_fleet(scenario, nodes=2)

    def test_end_stops_a_running_call_and_leaves_nothing_held(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            answer = Answer()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat(), answer)
                await anyio.sleep(0.02)
                await fleet.end()
            self.assertEqual(answer.refused.code, ErrorCode.PROGRAM_ENDED)
            after = await fleet.call(chat())
            self.assertEqual(after.refused.code, ErrorCode.PROGRAM_ENDED)
            await anyio.sleep(1)
            self.assertEqual([engine.held for engine in fleet.engines], [{}, {}])
            self.assertEqual(fleet.record().state, ProgramState.ENDED)

        in_fleet(scenario)

    def test_sweep_finds_memory_that_nobody_recorded(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.call(chat())
            fleet.engines[0].held["forgotten"] = 4
            fleet.tasks.start_soon(fleet.nodes[0].sweep.run)
            await anyio.sleep(60)
            self.assertNotIn("forgotten", fleet.engines[0].held)
            kept = [engine.held.get(PROGRAM) for engine in fleet.engines]
            self.assertTrue(any(kept), "a running program keeps its memory")

        in_fleet(scenario)

    def test_tenants_are_kept_apart(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.call(chat())
            foreign = await fleet.call(chat(tenant_id=OTHER_TENANT))
            self.assertEqual(foreign.refused.code, ErrorCode.UNKNOWN_PROGRAM)
            self.assertEqual(len(fleet.record().calls), 1)

        in_fleet(scenario)


class PlantedDefectTest(unittest.TestCase):
    def test_a_lost_leader_that_promises_not_run_is_noticed(self) -> None:
        name = "test_unnamed_charge_cut_off_with_its_leader_is_not_refused_as_not_run"
        suite = unittest.TestSuite([LeaderChangeTest(name)])
        defect = Replacement(
            CallMachine, "verdict_if_cut_off", property(lambda _machine: Verdict.NOT_RUN)
        )
        with replaced([defect]):
            result = unittest.TextTestRunner(stream=io.StringIO()).run(suite)
        self.assertEqual(result.testsRun, 1)
        self.assertFalse(result.wasSuccessful())


if __name__ == "__main__":
    unittest.main()
