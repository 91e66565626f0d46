"""Engines converge to the models of the accepted configuration."""

import unittest
from random import Random

import anyio

from passlane.backends.engine_client import EngineClient
from passlane.configuration.documents import EngineBody
from passlane.configuration.ledger import ConfigurationLedger
from passlane.configuration.parsing import encode_body
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import EngineId, Revision
from passlane.membership.lease_table import LeaseTable
from passlane.messages.backends import EngineLoad, EngineOrder, OrderKind
from passlane.messages.common import Address
from passlane.messages.control import NO_REVISION, Document
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.settings.model import MembershipSettings
from passlane.simulation.cluster import Cluster, run_cluster
from passlane.simulation.fleet_plan import OPERATOR_HOST, FleetPlan
from passlane.simulation.network import DelayModel, SimulatedNetwork
from passlane.simulation.runner import run_simulation
from passlane.store.engine_reconciler import EngineReconciler
from passlane.store.engine_targets import (
    MODELS_SCOPE,
    UNLOAD_AFTER_S,
    EngineTarget,
    orders_for,
)

ENGINE = "engine-0"
BODY = EngineBody(address=Address("127.0.0.1", 1), zone="a", models=("agent", "tutor"))
TARGET = EngineTarget(EngineId(ENGINE), BODY, Revision(7))
MODEL_LOAD_WAIT_S = 30.0
"""Longer than a check interval plus the loading time of a model."""


def load_of(*models: str, running: int = 0) -> EngineLoad:
    return EngineLoad(EngineId(ENGINE), 1, running, 0, 0, 0, models)


class OrdersTest(unittest.TestCase):
    def test_load_order_carries_the_revision_of_the_document_as_fencing_token(self) -> None:
        orders = orders_for(TARGET, load_of("agent"), 0.0)
        expected = EngineOrder(OrderKind.LOAD_MODEL, MODELS_SCOPE, 7, argument="tutor")
        self.assertEqual(orders, (expected,))

    def test_engine_with_the_configured_models_gets_no_order(self) -> None:
        self.assertEqual(orders_for(TARGET, load_of("tutor", "agent"), 1e6), ())

    def test_busy_engine_unloads_a_removed_model_only_after_the_delay(self) -> None:
        busy = load_of("agent", "tutor", "old", running=1)
        self.assertEqual(orders_for(TARGET, busy, UNLOAD_AFTER_S - 1.0), ())
        unload = orders_for(TARGET, busy, UNLOAD_AFTER_S)
        self.assertEqual([order.kind for order in unload], [OrderKind.UNLOAD_MODEL])
        idle = load_of("agent", "tutor", "old")
        self.assertEqual(orders_for(TARGET, idle, 0.0), unload)


class TargetsTest(unittest.TestCase):
    def test_accepted_document_of_a_later_part_becomes_a_target(self) -> None:
        source = ConfigurationLedger()
        source.append(Document("service", "s", 1, Revision(1), "{}"))
        source.append(Document("engine", ENGINE, 1, Revision(2), encode_body(BODY)))
        source.accept(Revision(2))
        ledger = ConfigurationLedger()
        lease_table = LeaseTable(MembershipSettings(), (), 0.0)
        http = SingleConnectionHttpClient(SimulatedNetwork(Random(1), DelayModel({})).host("h"))
        reconciler = EngineReconciler(ledger, lease_table, http)
        ledger.apply_delta(source.delta_since(NO_REVISION, max_bytes=1))
        self.assertEqual((ledger.held_revision, ledger.accepted_revision), (1, 2))
        self.assertEqual(reconciler.targets(0.0), ())
        ledger.apply_delta(source.delta_since(ledger.held_revision))
        expected = EngineTarget(EngineId(ENGINE), BODY, Revision(2))
        self.assertEqual(reconciler.targets(0.0), (expected,))


async def change_models(cluster: Cluster, models: list[str], version: int) -> None:
    body = next(body for _, name, body in cluster.documents() if name == ENGINE)
    changed = {**body, "models": models}
    key = f"models-{version}"
    change = await cluster.operators.change("engine", ENGINE, changed, version, key)
    assert change.revision is not None


class ReconcilerTest(unittest.TestCase):
    def test_changed_document_changes_the_engine_and_fences_stale_orders(self) -> None:
        async def main() -> None:
            async with run_cluster(FleetPlan(), seed=5) as cluster:
                model = cluster.engines[ENGINE].service.model
                original = list(model.current_load().models)
                await change_models(cluster, [*original, "tutor"], 1)
                await anyio.sleep(MODEL_LOAD_WAIT_S)
                self.assertIn("tutor", model.current_load().models)
                await self.expect_stale_order_refused(cluster)
                await change_models(cluster, original, 2)
                await anyio.sleep(MODEL_LOAD_WAIT_S)
                self.assertEqual(list(model.current_load().models), original)

        run_simulation(main, seed=5)

    async def expect_stale_order_refused(self, cluster: Cluster) -> None:
        """Check that an order of a leader with an older revision is refused."""
        http = SingleConnectionHttpClient(cluster.network.host(OPERATOR_HOST))
        client = EngineClient(http, cluster.engines[ENGINE].address)
        with self.assertRaises(PasslaneError) as caught:
            await client.order(EngineOrder(OrderKind.UNLOAD_MODEL, MODELS_SCOPE, 1, None, "tutor"))
        self.assertEqual(caught.exception.code, ErrorCode.STALE_FENCING_TOKEN)
        self.assertIn("tutor", cluster.engines[ENGINE].service.model.current_load().models)


if __name__ == "__main__":
    unittest.main()
