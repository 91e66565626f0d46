"""Rate limits of tenants in a simulated fleet on a virtual clock, counted at the engines."""

import unittest
from bisect import bisect_right
from unittest import mock

import anyio

from on_platform.fleet import CALLERS_PORT
from on_platform.stand_in import StandInEngine
from on_platform.test_fleet import on_seeds
from passlane.api.asgi import read_request
from passlane.decisions.limits.quota_ledger import QuotaLedger
from passlane.messages.common import Address
from passlane.messages.fleet import FleetRole
from passlane.messages.quotas import QuotaGranted
from passlane.relay.request_quota import RequestQuota
from passlane.runtime.interfaces import HttpRequest

WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
CORNER = {"name": "corner", "api_keys": ["key-1"], "rate_per_s": 8, "burst": 8}
LARGE = CORNER | {"rate_per_s": 40, "burst": 40}
FREE = {"name": "free", "api_keys": ["key-9"]}
APPLY_S = 1.0
LOOKUPS = {
    "name": "lookups",
    "host": "one.example",
    "path_prefix": "/lookups/",
    "kind": "safe",
    "timeout_ms": 3000,
    "target_latency_ms": 300,
    "priority": 2,
    "service": "models",
    "max_attempts": 2,
}


def max_allowed_runs(tenant):
    return (tenant["rate_per_s"] * WINDOW_S + tenant["burst"]) * (1 + OVERAGE) + SLACK


class Flood:
    """Sends tool calls of one tenant through all nodes in turn and collects the answers."""

    def __init__(self, fleet, *, per_s, key="key-1", nodes=("node-1", "node-2")):
        self.fleet = fleet
        self.per_s = per_s
        self.key = key
        self.nodes = nodes
        self.statuses = []
        self.answers = []
        self.sent = 0

    async def run(self, for_s):
        async with anyio.create_task_group() as tasks:
            for number in range(int(for_s * self.per_s)):
                tasks.start_soon(self._send, number)
                await anyio.sleep(1 / self.per_s)

    async def _send(self, number):
        node = self.nodes[number % len(self.nodes)]
        self.sent += 1
        answer = await self.fleet.tool_call(f"flood-{self.sent}", node=node, x_api_key=self.key)
        self.statuses.append(answer.status if answer is not None else None)
        self.answers.append(answer)


def max_runs_in_window(fleet):
    timestamps = sorted(timestamp for engine in fleet.engines for timestamp in engine.run_times)
    return max(
        bisect_right(timestamps, start + WINDOW_S) - index for index, start in enumerate(timestamps)
    )


async def apply_tenants(fleet, *tenants):
    await fleet.put_configuration(2, tenants=tenants)
    await anyio.sleep(APPLY_S)


class QuotaTest(unittest.TestCase):
    @on_seeds()
    async def test_a_flood_over_all_nodes_stays_within_the_limit(self, fleet):
        await apply_tenants(fleet, CORNER)
        flood = Flood(fleet, per_s=40)
        await flood.run(8.0)
        self.assertLessEqual(max_runs_in_window(fleet), max_allowed_runs(CORNER))
        served = flood.statuses.count(200)
        self.assertGreater(served, 8 * CORNER["rate_per_s"])
        self.assertEqual(served + flood.statuses.count(429), len(flood.statuses))
        refused = [answer for answer in flood.answers if answer.status == 429]
        self.assertTrue(all(float(answer.headers["retry-after"]) > 0 for answer in refused))

    @on_seeds()
    async def test_no_request_within_the_limit_is_refused(self, fleet):
        await apply_tenants(fleet, CORNER)
        flood = Flood(fleet, per_s=6)
        await flood.run(8.0)
        self.assertEqual(set(flood.statuses), {200})

    @on_seeds()
    async def test_a_tenant_without_a_limit_needs_no_grant(self, fleet):
        await apply_tenants(fleet, CORNER, FREE)
        for machine in fleet.running(FleetRole.STORE):
            fleet.kill(machine.name)
        answer = await fleet.tool_call("one", x_api_key="key-9")
        self.assertEqual(answer.status, 200)

    @on_seeds()
    async def test_without_the_store_group_no_limited_request_is_sent(self, fleet):
        await apply_tenants(fleet, CORNER)
        for machine in fleet.running(FleetRole.STORE):
            fleet.kill(machine.name)
        await anyio.sleep(2.0)
        answer = await fleet.tool_call("one", x_api_key="key-1")
        self.assertEqual(answer.status, 503)
        self.assertIsNone(fleet.executed_body("one"))

    @on_seeds()
    async def test_a_lowered_limit_holds_one_window_after_it_is_applied(self, fleet):
        await apply_tenants(fleet, CORNER)
        lower = CORNER | {"rate_per_s": 2, "burst": 2}
        flood = Flood(fleet, per_s=20)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(flood.run, 14.0)
            await anyio.sleep(3.0)
            await fleet.put_configuration(3, tenants=[lower])
            await anyio.sleep(APPLY_S)
            for engine in fleet.engines:
                engine.run_times.clear()
        self.assertLessEqual(max_runs_in_window(fleet), max_allowed_runs(lower))

    @on_seeds(0, 1, 2, 3)
    async def test_a_new_store_leader_grants_no_second_burst(self, fleet):
        await apply_tenants(fleet, CORNER)
        flood = Flood(fleet, per_s=40)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(flood.run, 8.0)
            await anyio.sleep(2.0)
            leader = fleet.store_leader().name
            fleet.kill(leader)
            await anyio.sleep(1.5)
            fleet.start(leader)
        self.assertLessEqual(max_runs_in_window(fleet), max_allowed_runs(CORNER))
        self.assertGreater(flood.statuses.count(200), 30)

    @on_seeds()
    async def test_a_restart_of_all_processes_grants_no_second_burst(self, fleet):
        await flood_around_a_restart(fleet)
        self.assertLessEqual(max_runs_in_window(fleet), max_allowed_runs(CORNER))

    @on_seeds(0, 1, stores=5, tolerated_losses=2)
    async def test_successive_losses_of_leaders_grant_no_second_burst(self, fleet):
        await apply_tenants(fleet, CORNER)
        await anyio.sleep(10.0)
        flood = Flood(fleet, per_s=20)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(flood.run, 7.0)
            for _ in range(2):
                await anyio.sleep(1.3)
                fleet.kill(fleet.store_leader().name)
                await anyio.sleep(0.7)
        self.assertLessEqual(max_runs_in_window(fleet), max_allowed_runs(CORNER))

    @on_seeds(0, 1, stores=5, tolerated_losses=2)
    async def test_a_partitioned_leader_grants_nothing_more(self, fleet):
        """Nodes reach both sides of the partition; the high limit makes a short excess visible."""
        tenant = CORNER | {"rate_per_s": 100, "burst": 0}
        await apply_tenants(fleet, tenant)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(Flood(fleet, per_s=400).run, 3.0)
            await anyio.sleep(0.6)
            leader = fleet.store_leader()
            others = {m.host for m in fleet.running(FleetRole.STORE)} - {leader.host}
            fleet.network.cut({leader.host}, others)
        self.assertLessEqual(max_runs_in_window(fleet), max_allowed_runs(tenant))

    @on_seeds()
    async def test_a_node_that_was_partitioned_uses_no_stale_grants(self, fleet):
        await flood_during_a_partition(fleet)
        self.assertLessEqual(max_runs_in_window(fleet), max_allowed_runs(LARGE))


class RetryTest(unittest.TestCase):
    @on_seeds()
    async def test_a_retry_at_another_engine_counts_again(self, fleet):
        await fleet.put_configuration(2, tenants=[CORNER], extra_routes=[LOOKUPS])
        await anyio.sleep(APPLY_S)
        with mock.patch.object(StandInEngine, "__call__", run_without_an_answer):
            flood = LookupFlood(fleet, per_s=40)
            await flood.run(8.0)
        runs = sum(len(engine.run_times) for engine in fleet.engines)
        self.assertGreater(runs, flood.statuses.count(502))
        self.assertLessEqual(max_runs_in_window(fleet), max_allowed_runs(CORNER))


async def run_without_an_answer(engine, scope, receive, send):
    """Run a request and send an answer without its id, which is not trusted."""
    await read_request(scope, receive, 10_000_000)
    engine.run_times.append(anyio.current_time())
    await engine._answer(send, 200, [], b"")


class LookupFlood(Flood):
    """Sends requests that are retried at a second engine."""

    async def _send(self, number):
        self.sent += 1
        node = self.fleet.machines[self.nodes[number % len(self.nodes)]]
        headers = {"x-passlane-attempt-id": f"flood-{self.sent}", "x-api-key": self.key}
        address = Address(node.host, CALLERS_PORT)
        request = HttpRequest("POST", address, "/lookups/x", headers, b"", True, "one.example")
        answer = await self.fleet._exchange(request, 6.0)
        self.statuses.append(answer.status if answer is not None else None)


async def flood_around_a_restart(fleet):
    """Send load, kill all processes at once, restart them, and send load again."""
    await apply_tenants(fleet, CORNER)
    await Flood(fleet, per_s=40).run(2.0)
    for name in fleet.machines:
        fleet.kill(name, power=False)
    for name in fleet.machines:
        fleet.start(name)
    await fleet.wait_until_ready()
    await Flood(fleet, per_s=40).run(4.0)


async def flood_during_a_partition(fleet):
    """Partition a node with unused grants from the stores; then send load through both nodes."""
    await apply_tenants(fleet, LARGE)
    for number in range(60):
        await fleet.turn(f"turn-{number}", node="node-1", x_api_key="key-1")
    stores = {machine.host for machine in fleet.running(FleetRole.STORE)}
    fleet.network.cut({fleet.machines["node-1"].host}, stores)
    await anyio.sleep(1.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(Flood(fleet, per_s=150, nodes=("node-2",)).run, 4.0)
        tasks.start_soon(Flood(fleet, per_s=50, nodes=("node-1",)).run, 4.0)


class InjectedDefectTest(unittest.TestCase):
    """Each of these defects makes a check above fail."""

    @on_seeds()
    async def test_a_leader_without_replicated_grants_is_detected(self, fleet):
        with mock.patch.object(QuotaLedger, "apply_replicated"):
            await flood_around_a_restart(fleet)
        self.assertGreater(max_runs_in_window(fleet), max_allowed_runs(CORNER))

    @on_seeds()
    async def test_a_limit_counted_by_each_leader_alone_is_detected(self, fleet):
        with mock.patch.object(QuotaLedger, "enter_term", forget_accounts):
            await flood_around_a_restart(fleet)
        self.assertGreater(max_runs_in_window(fleet), max_allowed_runs(CORNER))

    @on_seeds()
    async def test_a_limit_counted_by_each_node_alone_is_detected(self, fleet):
        with mock.patch.object(RequestQuota, "admit", grant_always):
            await apply_tenants(fleet, CORNER)
            await Flood(fleet, per_s=40).run(8.0)
        self.assertGreater(max_runs_in_window(fleet), max_allowed_runs(CORNER))


def forget_accounts(ledger, term, now):
    if term != ledger._term:
        ledger._term = term
        ledger._accounts.forget_all()


async def grant_always(quota, *, is_in_program, limit_at):
    return QuotaGranted()


class ProgramQuotaTest(unittest.TestCase):
    @on_seeds()
    async def test_a_turn_draws_quota_for_the_tool_calls_that_follow(self, fleet):
        await apply_tenants(fleet, CORNER | {"rate_per_s": 40, "burst": 40})
        self.assertEqual((await fleet.turn("one", x_api_key="key-1")).status, 200)
        for machine in fleet.running(FleetRole.STORE):
            fleet.kill(machine.name)
        statuses = [
            (await fleet.tool_call(f"call-{n}", x_api_key="key-1")).status for n in range(2)
        ]
        self.assertEqual(statuses, [200, 200])

    @on_seeds()
    async def test_running_programs_continue_while_new_ones_are_refused(self, fleet):
        await apply_tenants(fleet, CORNER)
        first = await fleet.turn("first", x_api_key="key-1")
        self.assertEqual(first.status, 200)
        new = [
            await fleet.turn(f"new-{n}", x_api_key="key-1", x_passlane_program_id=f"program-{n}")
            for n in range(30)
        ]
        statuses = [answer.status for answer in new]
        self.assertIn(429, statuses)
        refused = new[statuses.index(429)]
        self.assertGreater(float(refused.headers["retry-after"]), 0.25)
        second = await fleet.turn("second", previous="first", x_api_key="key-1")
        self.assertEqual(second.status, 200)
