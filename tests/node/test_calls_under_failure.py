"""Answers to callers, and operations actually run, when back ends, store or leaders fail."""

import io
import unittest
from collections.abc import Callable

import anyio

from node.fakes import OTHER_TENANT, TENANT
from node.nodes import PROGRAM, Answer, Fleet, charge, chat, expected_answer, run_in_fleet
from passlane.api.answers import BufferedAnswer
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
    def test_answer_is_complete_and_history_is_recorded(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            first = await fleet.call(chat("one"))
            second = await fleet.call(chat("two"))
            self.assertEqual("".join(first.texts), expected_answer())
            self.assertEqual(first.answered.body, expected_answer())
            self.assertEqual(second.answered.sequence, 1)
            turns = [(turn.role, turn.content) for turn in fleet.record().turns]
            expected = [("user", "one"), ("assistant", expected_answer())]
            expected += [("user", "two"), ("assistant", expected_answer())]
            self.assertEqual(turns, expected)

        run_in_fleet(scenario)

    def test_call_resumes_on_another_engine_after_a_broken_stream(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for engine in fleet.engines:
                engine.break_after = [5]
            answer = await fleet.call(chat())
            self.assertEqual("".join(answer.texts), expected_answer())
            self.assertEqual(answer.answered.attempts, 3)
            sent = sum(engine.tokens_sent for engine in fleet.engines)
            self.assertEqual(sent, 12, "each token is generated once")

        run_in_fleet(scenario)

    def test_token_of_another_attempt_is_dropped(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for engine in fleet.engines:
                engine.echo_attempt = "another"
            answer = await fleet.call(chat())
            self.assertEqual("".join(answer.texts), expected_answer())

        run_in_fleet(scenario)

    def test_call_without_live_engines_is_refused_and_can_be_repeated(self) -> None:
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
            self.assertEqual(again.answered.body, expected_answer())
            self.assertEqual(again.answered.sequence, 0)

        run_in_fleet(scenario)

    def test_refusal_without_live_engines_reaches_the_caller_unchanged(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for engine_id in list(fleet.http.servers)[:2]:
                del fleet.http.servers[engine_id]
            with self.assertRaises(PasslaneError) as caught:
                await fleet.nodes[0].forwarder.run_call(chat(), BufferedAnswer().emit)
            self.assertEqual(caught.exception.code, ErrorCode.UNAVAILABLE)
            self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)
            self.assertIsNotNone(caught.exception.retry_after_s)

        run_in_fleet(scenario)

    def test_repeat_joins_the_running_call_and_later_gets_the_recorded_outcome(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            request = chat(sequence=0, is_named=True)
            answers = [Answer(), Answer()]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, request, answers[0])
                await anyio.sleep(0.02)
                tasks.start_soon(fleet.call, request, answers[1])
            answers.append(await fleet.call(request))
            for answer in answers:
                self.assertEqual(answer.answered.body, expected_answer())
            self.assertEqual(sum(len(engine.requests) for engine in fleet.engines), 1)

        run_in_fleet(scenario)

    def test_node_without_configuration_does_not_refuse_the_tenant(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            configuration, fleet.configuration = fleet.configuration, ConfigurationView()
            fleet.leaderships[0].epoch = None
            answer = Answer()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat(), answer)
                await anyio.sleep(1.0)
                fleet.configuration = configuration
                fleet.lead(0)
            self.assertEqual(answer.answered.body, expected_answer())

        run_in_fleet(scenario)

    def test_unnamed_call_is_cancelled_when_its_caller_disconnects(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            with anyio.move_on_after(0.02):
                await fleet.call(chat())
            await anyio.sleep(0.05)
            self.assertEqual([engine.running for engine in fleet.engines], [0, 0])
            self.assertEqual((await fleet.call(chat())).answered.sequence, 1)

        run_in_fleet(scenario)

    def test_calls_run_in_order_of_their_sequence(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            answers = [Answer() for _ in range(4)]
            async with anyio.create_task_group() as tasks:
                for number in (2, 0, 3, 1):
                    request = chat(str(number), sequence=number, is_named=True)
                    tasks.start_soon(fleet.call, request, answers[number])
                    await anyio.sleep(0.01)
            user_turns = [turn.content for turn in fleet.record().turns if turn.role == "user"]
            self.assertEqual(user_turns, ["0", "1", "2", "3"])
            gap = await fleet.call(chat(sequence=9, is_named=True))
            self.assertEqual(gap.refused.code, ErrorCode.WRONG_SEQUENCE)
            self.assertEqual(gap.refused.verdict, Verdict.NOT_RUN)

        run_in_fleet(scenario)

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

        run_in_fleet(scenario)


class ToolCallTest(unittest.TestCase):
    def test_charge_with_lost_response_runs_once_and_is_resolved(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.next_outcomes = ["lost"]
            answer = await fleet.call(charge())
            self.assertEqual(answer.answered.verdict, Verdict.RAN)
            again = await fleet.call(charge())
            self.assertEqual(again.answered.body, answer.answered.body)
            self.assertEqual(len(fleet.application.ledger), 1)
            self.assertEqual(fleet.record().spent.money_micros, 5)

        run_in_fleet(scenario)

    def test_charge_without_status_queries_stays_in_doubt_and_is_never_resent(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.next_outcomes = ["lost"]
            for _ in range(3):
                answer = await fleet.call(charge())
                self.assertEqual(answer.refused.verdict, Verdict.MAY_HAVE_RUN)
            self.assertEqual(fleet.application.requests, 1)

        run_in_fleet(scenario, offers_status=False)

    def test_hung_charge_times_out_and_its_status_is_queried(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.next_outcomes = ["hang"]
            answer = await fleet.call(charge())
            self.assertEqual(answer.answered.verdict, Verdict.RAN)
            self.assertLess(anyio.current_time(), 2.0)
            self.assertEqual(len(fleet.application.ledger), 1)

        run_in_fleet(scenario)

    def test_charge_past_its_deadline_is_answered_immediately_and_resolved_later(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.next_outcomes = ["hang"]
            started_at = anyio.current_time()
            timed_out = await fleet.call(charge(timeout_s=0.5))
            self.assertEqual(timed_out.refused.code, ErrorCode.DEADLINE_EXCEEDED)
            self.assertEqual(timed_out.refused.verdict, Verdict.MAY_HAVE_RUN)
            self.assertIsNotNone(timed_out.refused.retry_after_s)
            self.assertAlmostEqual(anyio.current_time() - started_at, 0.5, places=3)
            # A repeat that times out before the record is read does not prove that nothing ran.
            expired = await fleet.call(charge(timeout_s=0.0))
            self.assertEqual(expired.refused.verdict, Verdict.MAY_HAVE_RUN)
            again = await fleet.call(charge())
            while isinstance(again.last, CallRefused):
                self.assertNotEqual(again.refused.verdict, Verdict.NOT_RUN)
                await anyio.sleep(again.refused.retry_after_s or 0)
                again = await fleet.call(charge())
            self.assertEqual(again.answered.verdict, Verdict.RAN)
            self.assertEqual(fleet.application.requests, 1)
            self.assertEqual(fleet.record().spent.money_micros, 5)

        run_in_fleet(scenario)

    def test_charge_in_doubt_is_resolved_before_the_programs_next_call(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.next_outcomes = ["hang"]
            await fleet.call(charge(timeout_s=0.5))
            self.assertEqual(fleet.record().calls[0].state, CallState.BEGUN)
            await fleet.call(chat())
            outcome = fleet.record().calls[0].outcome
            assert outcome is not None
            self.assertEqual(outcome.verdict, Verdict.RAN)
            self.assertEqual(fleet.application.requests, 1)

        run_in_fleet(scenario)

    def test_charge_that_never_arrived_is_recorded_as_not_run(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.next_outcomes = ["unsent"]
            answer = await fleet.call(charge())
            self.assertEqual(answer.refused.verdict, Verdict.NOT_RUN)
            self.assertEqual(fleet.application.ledger, [])
            self.assertEqual(fleet.record().spent.money_micros, 0)

        run_in_fleet(scenario)

    def test_refused_charge_is_retried(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.next_outcomes = ["refuse", "refuse"]
            answer = await fleet.call(charge())
            self.assertEqual(answer.answered.verdict, Verdict.RAN)
            self.assertEqual(len(fleet.application.ledger), 1)

        run_in_fleet(scenario)

    def test_repeat_after_a_lost_reply_to_the_intent_runs_the_charge_at_most_once(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.store.fail_next = {BeginCall: ["lost"], FinishCall: ["lost"]}
            first = await fleet.call(charge())
            self.assertEqual(first.refused.verdict, Verdict.NOT_RUN)
            # The store recorded the intent, but the leader got no reply, so it queries the status.
            second = await fleet.call(charge())
            self.assertNotEqual(second.last, None)
            self.assertLessEqual(len(fleet.application.ledger), 1)

        run_in_fleet(scenario)

    def test_repeat_of_a_charge_that_ran_is_never_refused_as_not_run(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            first = await fleet.call(charge(), node=1)
            self.assertEqual(first.answered.verdict, Verdict.RAN)
            fleet.network.cut_off(fleet.leaderships[0].address)
            without_leader = await fleet.call(charge(), node=1)
            self.assertEqual(without_leader.refused.code, ErrorCode.UNAVAILABLE)
            self.assertEqual(without_leader.refused.verdict, Verdict.MAY_HAVE_RUN)
            # The next leader is too busy to read the program's record.
            fleet.lead(1)
            fleet.nodes[1].leader.set_max_requests(0)
            when_busy = await fleet.call(charge(), node=1)
            self.assertEqual(when_busy.refused.code, ErrorCode.QUEUE_FULL)
            self.assertEqual(when_busy.refused.verdict, Verdict.MAY_HAVE_RUN)
            fleet.nodes[1].leader.set_max_requests(10)
            again = await fleet.call(charge(), node=1)
            self.assertEqual(again.answered.verdict, Verdict.RAN)
            # With the record in memory, the leader distinguishes a repeat from a new charge.
            fleet.nodes[1].leader.set_max_requests(0)
            repeat = await fleet.call(charge(), node=1)
            self.assertEqual(repeat.refused.verdict, Verdict.RAN)
            new = await fleet.call(charge("another"), node=1)
            self.assertEqual(new.refused.verdict, Verdict.NOT_RUN)
            self.assertEqual(len(fleet.application.ledger), 1)

        run_in_fleet(scenario, nodes=2)

    def test_repeat_refused_before_the_charge_is_recorded_may_have_run(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.call(chat())
            first = Answer()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, charge(), first)
                await anyio.sleep(0.0005)
                self.assertEqual(
                    len(fleet.record().calls), 1, "the charge must not be recorded yet"
                )
                fleet.nodes[0].leader.set_max_requests(0)
                repeat = await fleet.call(charge())
            self.assertEqual(first.answered.verdict, Verdict.RAN)
            self.assertEqual(repeat.refused.code, ErrorCode.QUEUE_FULL)
            self.assertEqual(repeat.refused.verdict, Verdict.MAY_HAVE_RUN)

        run_in_fleet(scenario)


class LeaderChangeTest(unittest.TestCase):
    def test_call_resumes_under_a_new_leader(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            answer = Answer()
            for engine in fleet.engines:
                engine.software_version = "v1"
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat(), answer, 1)
                await anyio.sleep(0.025)
                fleet.network.cut_off(fleet.leaderships[0].address)
                await anyio.sleep(0.5)
                fleet.lead(1, announced=False)
            resumed = [
                one for engine in fleet.engines for one in engine.requests if one.resume_from
            ]
            self.assertEqual({one.resume_version for one in resumed}, {"v1"})
            self.assertEqual("".join(answer.texts), expected_answer())
            self.assertEqual(fleet.record().turns[-1].content, expected_answer())

        run_in_fleet(scenario, nodes=2)

    def test_unnamed_charge_aborted_by_its_leader_is_not_refused_as_not_run(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.application.next_outcomes = ["hang"]
            request = charge(idempotency_key=None, is_named=False, timeout_s=3.0)
            answer = Answer()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, request, answer, 1)
                await anyio.sleep(0.006)
                self.assertEqual(len(fleet.application.ledger), 1)
                # The lease expires, and no node leads until after the caller's deadline.
                led = fleet.leaderships[0].led_partitions()
                fleet.leaderships[0].epoch = None
                for partition in led:
                    fleet.nodes[0].leader.unload_partition(partition)
            self.assertEqual(answer.refused.code, ErrorCode.UNAVAILABLE)
            self.assertEqual(answer.refused.verdict, Verdict.MAY_HAVE_RUN)

        run_in_fleet(scenario, nodes=2)

    def test_charge_whose_outcome_a_stale_leader_cannot_record_is_not_refused_as_not_run(
        self,
    ) -> None:
        async def scenario(fleet: Fleet) -> None:
            request = charge(idempotency_key=None, is_named=False, timeout_s=3.0)
            answer = Answer()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, request, answer, 1)
                await anyio.sleep(0.004)
                # The store has moved the program to another node; the old leader does not know yet.
                fleet.store.lead(fleet.leaderships[1], fleet.epoch + 1)
                await anyio.sleep(0.01)
                self.assertEqual(len(fleet.application.ledger), 1)
                fleet.network.cut.add(fleet.leaderships[0].address)
            self.assertEqual(answer.refused.code, ErrorCode.UNAVAILABLE)
            self.assertEqual(answer.refused.verdict, Verdict.MAY_HAVE_RUN)

        run_in_fleet(scenario, nodes=2)

    def test_repeat_that_joins_a_queued_charge_is_refused_as_not_run_with_it(
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

        run_in_fleet(scenario)

    def test_program_refused_after_a_lost_response_is_not_refused_as_not_run(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            lost = PasslaneError(ErrorCode.CONNECTION_LOST, "reset", verdict=Verdict.MAY_HAVE_RUN)
            errors = [lost, PasslaneError(ErrorCode.LIMIT_EXCEEDED, "too many programs")]

            async def fail(*_: object, **__: object) -> Message:
                raise errors.pop(0)

            fleet.network.call = fail  # type: ignore[method-assign]
            with self.assertRaises(PasslaneError) as caught:
                request = CreateProgramRequest("c", TENANT, ProgramId("new"), Amounts())
                await fleet.nodes[1].forwarder.send_request(
                    request.program_id, request, ProgramResult, 5.0
                )
            self.assertEqual(caught.exception.code, ErrorCode.LIMIT_EXCEEDED)
            self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

        run_in_fleet(scenario, nodes=2)

    def test_call_resent_to_a_busy_leader_is_not_refused_as_not_run(self) -> None:
        # The next leader resolves the charge by a status query to the application.
        for make, verdict in ((chat, Verdict.MAY_HAVE_RUN), (charge, Verdict.RAN)):
            with self.subTest(make.__name__):

                async def scenario(
                    fleet: Fleet,
                    make: Callable[..., CallRequest] = make,
                    verdict: Verdict = verdict,
                ) -> None:
                    fleet.application.next_outcomes = ["hang"]
                    request = make(idempotency_key=None, is_named=False, timeout_s=3.0)
                    answer = Answer()
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(fleet.call, request, answer, 1)
                        await anyio.sleep(0.01)
                        fleet.network.cut_off(fleet.leaderships[0].address)
                        fleet.nodes[1].leader.set_max_requests(0)
                        fleet.lead(1)
                    self.assertEqual(answer.refused.code, ErrorCode.QUEUE_FULL)
                    self.assertEqual(answer.refused.verdict, verdict)

                run_in_fleet(scenario, nodes=2)

    def test_resent_call_without_a_record_is_refused_as_not_run(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            request = charge(idempotency_key=None, is_named=False, is_resent=True, sequence=9)
            answer = await fleet.call(request)
            self.assertEqual(answer.refused.code, ErrorCode.WRONG_SEQUENCE)
            self.assertEqual(answer.refused.verdict, Verdict.NOT_RUN)

        run_in_fleet(scenario)

    def test_leader_change_between_intent_and_outcome_of_a_charge(self) -> None:
        # With "hang" the application runs the charge after 5 ms, with "unsent" it never does.
        cases = (("hang", 0.006, Verdict.RAN), ("unsent", 0.004, Verdict.NOT_RUN))
        for behaviour, change_after_s, verdict in cases:
            with self.subTest(behaviour):

                async def scenario(
                    fleet: Fleet,
                    behaviour: str = behaviour,
                    change_after_s: float = change_after_s,
                    verdict: Verdict = verdict,
                ) -> None:
                    fleet.application.next_outcomes = [behaviour]
                    answer = Answer()
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(fleet.call, charge(), answer, 1)
                        await anyio.sleep(change_after_s)
                        self.assertEqual(fleet.record().calls[0].state, CallState.BEGUN)
                        fleet.lead(1)
                    assert answer.last is not None
                    self.assertEqual(answer.last.verdict, verdict)
                    self.assertEqual(len(fleet.application.ledger), verdict is Verdict.RAN)
                    self.assertEqual(fleet.application.requests, 1)

                run_in_fleet(scenario, nodes=2)

    def test_two_leaders_write_one_consistent_history(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            answers = [Answer(), Answer()]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat("old", timeout_s=8.0), answers[0], 0)
                await anyio.sleep(0.02)
                # Node 0 still acts as the leader.
                fleet.lead(1, announced=False)
                fleet.leaderships[0].leader = fleet.leaderships[0].address
                tasks.start_soon(fleet.call, chat("new"), answers[1], 1)
                await anyio.sleep(1.0)
                fleet.leaderships[0].leader = fleet.leaderships[1].address
                fleet.leaderships[0].epoch = None
            self.assertEqual(answers[1].answered.body, expected_answer())
            turns = [turn.content for turn in fleet.record().turns]
            self.assertEqual(turns, ["old", "new", expected_answer()])

        run_in_fleet(scenario, nodes=2)


class MemoryAndEndTest(unittest.TestCase):
    def test_memory_of_an_ended_program_is_released_after_the_engine_recovers(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.call(chat())
            self.assertEqual(len(fleet.record().holds), 1)
            for engine in fleet.engines:
                engine.refuses_orders = True
            await fleet.end()
            await anyio.sleep(5)
            self.assertEqual(fleet.nodes[0].releases.pending_count, 1)
            # Another leader takes over the release.
            fleet.lead(1)
            for engine in fleet.engines:
                engine.refuses_orders = False
            await anyio.sleep(10)
            self.assertEqual([engine.cached for engine in fleet.engines], [{}, {}])
            self.assertEqual(fleet.record().holds, ())
            self.assertEqual(fleet.nodes[0].releases.pending_count, 0)

        run_in_fleet(scenario, nodes=2)

    def test_end_stops_a_running_call_and_releases_its_memory(self) -> None:
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
            self.assertEqual([engine.cached for engine in fleet.engines], [{}, {}])
            self.assertEqual(fleet.record().state, ProgramState.ENDED)

        run_in_fleet(scenario)

    def test_sweep_releases_memory_without_a_recorded_hold(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.call(chat())
            fleet.engines[0].cached["forgotten"] = 4
            fleet.tasks.start_soon(fleet.nodes[0].sweep.run)
            await anyio.sleep(60)
            self.assertNotIn("forgotten", fleet.engines[0].cached)
            kept = [engine.cached.get(PROGRAM) for engine in fleet.engines]
            self.assertTrue(any(kept), "a running program must keep its memory")

        run_in_fleet(scenario)

    def test_tenants_are_isolated(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.call(chat())
            foreign = await fleet.call(chat(tenant_id=OTHER_TENANT))
            self.assertEqual(foreign.refused.code, ErrorCode.UNKNOWN_PROGRAM)
            self.assertEqual(len(fleet.record().calls), 1)

        run_in_fleet(scenario)


class PlantedDefectTest(unittest.TestCase):
    def test_false_not_run_of_an_aborted_call_is_detected(self) -> None:
        name = "test_unnamed_charge_aborted_by_its_leader_is_not_refused_as_not_run"
        suite = unittest.TestSuite([LeaderChangeTest(name)])
        defect = Replacement(
            CallMachine, "verdict_if_aborted", property(lambda _machine: Verdict.NOT_RUN)
        )
        with replaced([defect]):
            result = unittest.TextTestRunner(stream=io.StringIO()).run(suite)
        self.assertEqual(result.testsRun, 1)
        self.assertFalse(result.wasSuccessful())


if __name__ == "__main__":
    unittest.main()
