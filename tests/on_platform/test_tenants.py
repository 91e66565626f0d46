"""Tenants and their API keys in a simulated fleet on a virtual clock."""

import unittest

import anyio

from on_platform.test_fleet import on_seeds

CORNER = {"name": "corner", "api_keys": ["key-1", "key-2"], "priority": 2}
PHARMACY = {"name": "pharmacy", "api_keys": ["key-3"]}
APPLY_S = 1.0
"""Time after which a configuration is applied at each connected node."""


class KeyTest(unittest.TestCase):
    @on_seeds()
    async def test_the_engine_receives_the_tenant_but_not_the_key(self, fleet):
        await fleet.put_configuration(2, tenants=[CORNER, PHARMACY])
        await anyio.sleep(APPLY_S)
        answer = await fleet.turn("one", x_api_key="key-1", x_passlane_tenant="pharmacy")
        self.assertEqual(answer.status, 200)
        (headers,) = [e.run_headers["one"] for e in fleet.engines if "one" in e.run_headers]
        self.assertEqual(headers["x-passlane-tenant"], "corner")
        self.assertEqual(headers["x-passlane-request-priority"], "7")
        self.assertNotIn("key-1", str(headers))

    @on_seeds()
    async def test_a_removed_moved_or_restored_key_takes_effect_at_each_node(self, fleet):
        await fleet.put_configuration(2, tenants=[CORNER])
        version = 2
        for tenants, expected in (
            ([CORNER | {"api_keys": ["key-2"]}], 401),
            ([CORNER | {"api_keys": []}, PHARMACY | {"api_keys": ["key-1"]}], 200),
            ([CORNER], 200),
        ):
            version += 1
            await fleet.put_configuration(version, tenants=tenants)
            await anyio.sleep(APPLY_S)
            for node in ("node-1", "node-2"):
                answer = await fleet.turn(f"{version}-{node}", node=node, x_api_key="key-1")
                self.assertEqual(answer.status, expected)

    @on_seeds()
    async def test_a_turn_of_another_tenant_is_not_found(self, fleet):
        await fleet.put_configuration(2, tenants=[CORNER, PHARMACY])
        await anyio.sleep(APPLY_S)
        first = await fleet.turn("one", x_api_key="key-1")
        self.assertEqual(first.status, 200)
        own = await fleet.turn("two", node="node-2", previous="one", x_api_key="key-2")
        foreign = await fleet.turn("three", previous="one", x_api_key="key-3")
        unknown = await fleet.turn("four", previous="never", x_api_key="key-3")
        self.assertEqual((own.status, foreign.status, unknown.status), (200, 404, 404))
        self.assertEqual(foreign.body, unknown.body)
        self.assertIsNone(fleet.executed_body("three"))

    @on_seeds()
    async def test_programs_of_two_tenants_have_separate_budgets(self, fleet):
        await fleet.put_configuration(2, tenants=[CORNER, PHARMACY])
        await anyio.sleep(APPLY_S)
        statuses = [
            (await fleet.turn(f"{key}-{n}", budget=60, x_api_key=key)).status
            for key in ("key-1", "key-3")
            for n in range(3)
        ]
        self.assertEqual(statuses, [200, 200, 402] * 2)

    @on_seeds()
    async def test_an_invalid_list_of_tenants_changes_nothing(self, fleet):
        await fleet.put_configuration(2, tenants=[CORNER])
        shared = [CORNER, PHARMACY | {"api_keys": ["key-1"]}]
        answer = await fleet.put_configuration_once(3, tenants=shared)
        self.assertEqual(answer.status, 400)
        self.assertNotIn(b"key-1", answer.body)
        await anyio.sleep(APPLY_S)
        self.assertEqual((await fleet.turn("one", x_api_key="key-1")).status, 200)
