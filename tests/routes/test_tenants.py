"""Identification of a request's tenant by its API keys."""

import time
import unittest

from passlane.messages.routes import Tenant
from passlane.routes.table import RouteTable
from passlane.routes.tenants import ANONYMOUS, TenantTable, digest_of_key
from routes.test_checks import configuration, route

RUNS_ALONE = "measures processor time"

CORNER = Tenant(
    name="corner", key_digests=(digest_of_key("key-1"), digest_of_key("key-2")), priority=0
)
PHARMACY = Tenant(name="pharmacy", key_digests=(digest_of_key("key-3"),))


def digests(*keys):
    return [digest_of_key(key) for key in keys]


class IdentifyTest(unittest.TestCase):
    def setUp(self):
        self.table = TenantTable([CORNER, PHARMACY])

    def test_each_key_of_a_tenant_identifies_it(self):
        for key in ("key-1", "key-2"):
            identity = self.table.identify(route(), digests(key))
            self.assertEqual(identity.tenant_name, "corner")

    def test_no_key_two_keys_or_an_unknown_key_is_refused(self):
        for keys in ((), ("key-1", "key-2"), ("key-1", "key-1"), ("key-9",), ("",), ("key-1 ",)):
            with self.subTest(keys):
                self.assertIsNone(self.table.identify(route(), digests(*keys)))

    def test_a_public_route_needs_no_key_and_identifies_the_tenant_of_a_valid_one(self):
        public = route(is_public=True)
        self.assertIs(self.table.identify(public, []), ANONYMOUS)
        self.assertIs(self.table.identify(public, digests("key-9")), ANONYMOUS)
        self.assertEqual(self.table.identify(public, digests("key-3")).tenant_name, "pharmacy")

    def test_without_tenants_no_request_needs_a_key(self):
        self.assertIs(TenantTable([]).identify(route(), []), ANONYMOUS)
        self.assertIs(TenantTable([]).identify(route(), digests("key-1")), ANONYMOUS)

    def test_a_removed_moved_or_restored_key_applies_from_the_next_table_on(self):
        versions = [
            (Tenant(name="corner", key_digests=()), None),
            (Tenant(name="pharmacy", key_digests=CORNER.key_digests), "pharmacy"),
            (CORNER, "corner"),
        ]
        for tenant, expected in versions:
            table = RouteTable(configuration(route(), tenants=(tenant,)))
            identity = table.tenants.identify(route(), digests("key-1"))
            self.assertEqual(identity.tenant_name if identity else None, expected)

    def test_a_tenants_priority_takes_precedence_over_the_routes(self):
        corner = self.table.identify(route(), digests("key-1"))
        pharmacy = self.table.identify(route(), digests("key-3"))
        self.assertEqual(corner.priority_on(route(priority=3)), 0)
        self.assertEqual(pharmacy.priority_on(route(priority=3)), 3)


class ScopeTest(unittest.TestCase):
    def test_ids_of_different_tenants_differ(self):
        table = TenantTable([CORNER, PHARMACY])
        scoped = {
            table.identify(route(), digests(key)).scoped("id") for key in ("key-1", "key-3")
        } | {ANONYMOUS.scoped("id")}
        self.assertEqual(len(scoped), 3)

    def test_without_a_tenant_an_id_is_unchanged(self):
        self.assertEqual(ANONYMOUS.scoped("id"), "id")


class ManyTenantsTest(unittest.TestCase):
    def test_lookup_time_does_not_grow_with_the_number_of_tenants(self):
        """Fails if a lookup scans all tenants: compares 100 with 39,000 tenants."""
        small, large = (
            TenantTable([Tenant(name=f"t{n}", key_digests=digests(f"k{n}")) for n in range(size)])
            for size in (100, 39_000)
        )
        self.assertLess(self.seconds_of(large), 20 * self.seconds_of(small))

    @staticmethod
    def seconds_of(table):
        key, target = digests("k50"), route()
        started = time.process_time()
        for _ in range(20_000):
            table.identify(target, key)
        return time.process_time() - started
