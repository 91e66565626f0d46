"""Active policies of a node, limits that stop endless programs, and the node's metrics."""

import unittest
from dataclasses import replace

import anyio

from node.nodes import PROGRAM, Answer, Fleet, charge, chat, expected_answer, run_in_fleet
from passlane.configuration.documents import PolicyBody, ServiceBody
from passlane.decisions.inputs.call_events import CallArrived, Event
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import ProgramId
from passlane.messages.common import Amounts
from passlane.messages.node import CallEvent, CallRefused, ExplainProgram, ProgramExplanation
from passlane.messages.store import ProgramRecord, ProgramState
from passlane.node.housekeeping import INTERVAL_S, Housekeeping
from passlane.node.node_metrics import NodeMetrics
from passlane.observability.metrics import Metrics

FIRST_POLICY = """
def classify(call):
    return {"class": 1, "weight": 2.0}

def share(tenant):
    return 3.0

def budget(program):
    return {"tokens": 100, "calls": 5}
"""
SECOND_POLICY = FIRST_POLICY.replace('"class": 1', '"class": 2').replace("100", "40")
FAULTY_POLICY = """
def classify(call):
    return {"class": 1 // 0}
"""


def apply_policy(fleet: Fleet, source: str) -> None:
    """Activate a policy for all tenants, as an accepted configuration change does."""
    service = ServiceBody(models=("m",), tools=("charge", "look"), policy="main")
    fleet.configuration = replace(
        fleet.configuration, policies={"main": PolicyBody(source)}, services={"s": service}
    )
    fleet.policies.update(fleet.configuration)


def record_of(fleet: Fleet, name: str) -> ProgramRecord:
    program = fleet.store.machine.programs.find(ProgramId(name))
    assert program is not None
    return program.to_record()


def record_arrivals(fleet: Fleet) -> list[CallArrived]:
    """Record the arrivals of calls that the scheduler of node 0 receives."""
    arrivals: list[CallArrived] = []
    models = fleet.nodes[0].services.models
    original_handle_event = models.handle_event

    def record_event(event: Event) -> None:
        if isinstance(event, CallArrived):
            arrivals.append(event)
        original_handle_event(event)

    models.handle_event = record_event  # type: ignore[method-assign]
    return arrivals


async def explain(fleet: Fleet) -> ProgramExplanation:
    return await fleet.nodes[0].forwarder.send_request(
        PROGRAM, ExplainProgram(PROGRAM), ProgramExplanation, 5.0
    )


class PolicyTest(unittest.TestCase):
    def test_class_weight_share_and_budget_of_the_policy_are_used(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            apply_policy(fleet, FIRST_POLICY)
            arrivals = record_arrivals(fleet)
            await fleet.create(program_id=ProgramId("p-2"))
            await fleet.call(chat(program_id=ProgramId("p-2"), max_tokens=20))
            self.assertEqual((arrivals[0].service_class, arrivals[0].weight), (1, 6.0))
            budget = record_of(fleet, "p-2").budget
            self.assertEqual((budget.tokens, budget.calls), (100, 5))

        run_in_fleet(scenario)

    def test_policy_is_replaced_while_a_call_runs(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            apply_policy(fleet, FIRST_POLICY)
            arrivals = record_arrivals(fleet)
            answers = [Answer(), Answer()]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat(), answers[0])
                tasks.start_soon(fleet.call, chat(), answers[1])
                await anyio.sleep(0.02)
                self.assertEqual(len(arrivals), 1, "one runs, the other waits")
                apply_policy(fleet, SECOND_POLICY)
            self.assertEqual([one.answered.body for one in answers], [expected_answer()] * 2)
            self.assertEqual([one.service_class for one in arrivals], [1, 2])
            await fleet.create(program_id=ProgramId("p-2"))
            self.assertEqual(record_of(fleet, "p-2").budget.tokens, 40)

        run_in_fleet(scenario)

    def test_explanation_names_engine_and_policy(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            apply_policy(fleet, FIRST_POLICY)
            self.assertEqual((await explain(fleet)).placement, "")
            await fleet.call(chat())
            explanation = await explain(fleet)
            self.assertEqual(explanation.leader, "n0")
            self.assertIn("engine-", explanation.placement)
            self.assertEqual(explanation.policy, "policy main: class 1, weight 2")

        run_in_fleet(scenario)

    def test_failing_policy_is_reported_and_calls_are_still_answered(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            metrics = collect_metrics(fleet)
            apply_policy(fleet, FAULTY_POLICY)
            fleet.tasks.start_soon(Housekeeping(fleet.nodes[0]).run)
            self.assertEqual((await fleet.call(chat())).answered.body, expected_answer())
            await anyio.sleep(2 * INTERVAL_S)
            self.assertEqual(metric_value(metrics, 'policy_failures_total{policy="main"}'), 1.0)

        run_in_fleet(scenario)


class EndlessProgramTest(unittest.TestCase):
    def test_program_is_ended_after_its_deadline(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.tasks.start_soon(Housekeeping(fleet.nodes[0]).run)
            name = ProgramId("loop")
            await fleet.create(program_id=name, deadline_s=2.0)
            started_at = anyio.current_time()
            answer = await fleet.call(chat(program_id=name))
            while not _is_refused(answer):
                answer = await fleet.call(chat(program_id=name))
            self.assertEqual(answer.refused.code, ErrorCode.LIMIT_EXCEEDED)
            self.assertLess(anyio.current_time() - started_at, 2.0 + 2 * INTERVAL_S)
            await anyio.sleep(1.0)
            self.assertEqual(record_of(fleet, "loop").state, ProgramState.ENDED)
            self.assertEqual([engine.cached for engine in fleet.engines], [{}, {}])

        run_in_fleet(scenario)

    def test_turns_and_tokens_of_a_program_are_bounded(self) -> None:
        cases = {
            "turns": (Amounts(tokens=10_000, calls=3, money_micros=100), 3),
            "tokens": (Amounts(tokens=60, calls=100, money_micros=100), 2),
        }
        for name, (budget, expected) in cases.items():
            with self.subTest(name):

                async def scenario(
                    fleet: Fleet, budget: Amounts = budget, expected: int = expected
                ) -> None:
                    await fleet.create(program_id=ProgramId("loop"), budget=budget)
                    answered = 0
                    request = chat(program_id=ProgramId("loop"), max_tokens=20)
                    answer = await fleet.call(request)
                    while not _is_refused(answer):
                        answered += 1
                        again = chat(program_id=ProgramId("loop"), max_tokens=20)
                        answer = await fleet.call(again)
                    self.assertEqual(answer.refused.code, ErrorCode.BUDGET_EXCEEDED)
                    self.assertEqual(answer.refused.verdict, Verdict.NOT_RUN)
                    self.assertEqual(answered, expected)

                run_in_fleet(scenario)

    def test_charges_stop_at_the_money_budget_of_the_program(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for key in ("a", "b"):
                self.assertEqual((await fleet.call(charge(key))).answered.verdict, Verdict.RAN)
            third = await fleet.call(charge("c"))
            self.assertEqual(third.refused.code, ErrorCode.BUDGET_EXCEEDED)
            self.assertEqual(len(fleet.application.ledger), 2)

        run_in_fleet(scenario)

    def test_sub_agents_spend_from_their_parents_budget(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            parent, child = ProgramId("parent"), ProgramId("child")
            await fleet.create(program_id=parent, budget=Amounts(tokens=60, calls=100))
            await fleet.create(program_id=child, budget=Amounts(), parent_id=parent)
            await fleet.call(chat(program_id=child, max_tokens=20))
            await fleet.call(chat(program_id=child, max_tokens=20))
            answer = await fleet.call(chat(program_id=parent, max_tokens=20))
            self.assertEqual(answer.refused.code, ErrorCode.BUDGET_EXCEEDED)
            self.assertEqual(record_of(fleet, "parent").spent.tokens, 2 * (6 + 12))

        run_in_fleet(scenario)


class PromptRefusalTest(unittest.TestCase):
    def test_caller_is_refused_at_its_deadline_while_the_store_is_slow(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.nodes[0].leader.unload_partition(record_of(fleet, PROGRAM).partition)
            fleet.store.delay_s = 4.0
            started_at = anyio.current_time()
            answer = await fleet.call(chat(timeout_s=1.0))
            self.assertEqual(answer.refused.code, ErrorCode.DEADLINE_EXCEEDED)
            self.assertEqual(answer.refused.verdict, Verdict.NOT_RUN)
            self.assertIsNotNone(answer.refused.retry_after_s)
            self.assertAlmostEqual(anyio.current_time() - started_at, 1.0, places=2)

        run_in_fleet(scenario)


def collect_metrics(fleet: Fleet) -> Metrics:
    """Return the metrics of node 0, counted from now on."""
    metrics = Metrics()
    node_metrics = NodeMetrics(metrics)
    fleet.reports.sinks.append(node_metrics)
    fleet.reports.failure_sinks.append(node_metrics)
    node_metrics.register_gauges(fleet.nodes[0])
    return metrics


def metric_value(metrics: Metrics, name: str) -> float:
    """Return the value of a metric, given its exposed name and labels."""
    for line in metrics.expose().decode().splitlines():
        if line.startswith(f"passlane_{name} "):
            return float(line.rpartition(" ")[2])
    return 0.0


class NodeMetricsTest(unittest.TestCase):
    def test_attempts_refusals_queues_and_engine_caches_are_exposed(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            metrics = collect_metrics(fleet)
            for engine in fleet.engines:
                engine.break_after = [5]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat())
                tasks.start_soon(fleet.call, chat())
                await anyio.sleep(0.01)
                self.assertEqual(metric_value(metrics, "calls_queued_in_programs"), 1.0)
                self.assertEqual(metric_value(metrics, "requests_in_flight"), 2.0)
            attempts = 'attempts_total{kind="model",verdict="%s"}'
            self.assertEqual(metric_value(metrics, attempts % "ran"), 2.0)
            self.assertEqual(metric_value(metrics, attempts % "may_have_run"), 2.0)
            self.assertEqual(metric_value(metrics, "held_engine_memories"), 2.0)
            fleet.nodes[0].leader.set_max_requests(0)
            await fleet.call(chat())
            refusals = 'refusals_total{code="queue_full",verdict="not_run"}'
            self.assertEqual(metric_value(metrics, refusals), 1.0)
            self.assertEqual(metric_value(metrics, "requests_in_flight"), 0.0)

        run_in_fleet(scenario)

    def test_refusal_that_its_receiver_raises_is_counted_once(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            metrics = collect_metrics(fleet)

            async def emit(event: CallEvent) -> None:
                if isinstance(event, CallRefused):
                    raise PasslaneError(event.code, event.message, verdict=event.verdict)

            early = chat(sequence=9, is_named=True)
            with self.assertRaises(PasslaneError):
                await fleet.nodes[0].forwarder.run_call(early, emit)
            refusals = 'refusals_total{code="wrong_sequence",verdict="not_run"}'
            self.assertEqual(metric_value(metrics, refusals), 1.0)

        run_in_fleet(scenario)

    def test_calls_that_wait_for_an_engine_are_exposed(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            metrics = collect_metrics(fleet)
            fleet.nodes[0].services.models.change_engines(
                dict(fleet.configuration.engines), frozenset(fleet.configuration.engines)
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, chat(timeout_s=0.5))
                await anyio.sleep(0.1)
                self.assertEqual(metric_value(metrics, "calls_queued_for_engines"), 1.0)

        run_in_fleet(scenario)


def _is_refused(answer: Answer) -> bool:
    return answer.last is not None and answer.last.verdict is not Verdict.RAN


if __name__ == "__main__":
    unittest.main()
