"""Validation of route configurations."""

import math
import unittest

import msgspec

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.routes import (
    RequestLimits,
    Route,
    RouteConfiguration,
    RoutedService,
    RouteKind,
    ServiceShare,
    Tenant,
)
from passlane.routes.checks import check_configuration
from passlane.routes.tenants import digest_of_key


def route(**changes):
    values = {
        "name": "first",
        "host": "one.example",
        "path_prefix": "/first/",
        "kind": RouteKind.REPEATABLE,
        "timeout_s": 1.0,
        "target_latency_s": 0.2,
        "priority": 1,
        "shares": (ServiceShare("models", 1),),
        "max_attempts": 1,
    }
    return Route(**(values | changes))


def configuration(*routes, version=1, tenants=()):
    return RouteConfiguration(
        version=version,
        routes=routes or (route(),),
        services=(
            RoutedService(
                name="models", health_path="/", max_connections=10, slots=4, tokens_per_event=9
            ),
            RoutedService(name="tools", health_path="/", max_connections=10),
        ),
        limits=RequestLimits(
            max_header_bytes=1000, max_body_bytes=1000, header_timeout_s=1.0, idle_timeout_s=5.0
        ),
        source=b"{}",
        tenants=tuple(tenants),
    )


class CheckTest(unittest.TestCase):
    def assert_invalid(self, invalid):
        with self.assertRaises(PasslaneError) as caught:
            check_configuration(invalid)
        self.assertIs(caught.exception.code, ErrorCode.INVALID_DOCUMENT)

    def test_a_valid_configuration_has_no_problem(self):
        check_configuration(configuration(route(), route(name="second", path_prefix="/second/")))

    def test_unknown_service(self):
        self.assert_invalid(configuration(route(shares=(ServiceShare("gone", 1),))))

    def test_weights_with_a_sum_of_zero(self):
        shares = (ServiceShare("models", 0), ServiceShare("tools", 0))
        self.assert_invalid(configuration(route(shares=shares)))
        self.assert_invalid(configuration(route(shares=())))

    def test_two_routes_with_the_same_host_and_prefix(self):
        self.assert_invalid(configuration(route(), route(name="second", host="ONE.example")))

    def test_a_timeout_of_zero(self):
        self.assert_invalid(configuration(route(timeout_s=0.0)))

    def test_a_negative_timeout(self):
        self.assert_invalid(configuration(route(timeout_s=-1.0)))

    def test_times_that_are_not_finite(self):
        for field in ("timeout_s", "target_latency_s", "target_gap_s", "retention_s"):
            for seconds in (-math.inf, math.inf, math.nan):
                with self.subTest(field=field, seconds=seconds):
                    self.assert_invalid(configuration(route(**{field: seconds})))
        for field in ("header_timeout_s", "idle_timeout_s"):
            for seconds in (-math.inf, math.inf, math.nan):
                with self.subTest(field=field, seconds=seconds):
                    valid = configuration()
                    limits = msgspec.structs.replace(valid.limits, **{field: seconds})
                    self.assert_invalid(msgspec.structs.replace(valid, limits=limits))

    def test_a_long_name_makes_no_long_sentence(self):
        with self.assertRaises(PasslaneError) as caught:
            check_configuration(configuration(route(name="n" * 300_000, timeout_s=0.0)))
        self.assertLess(len(caught.exception.message), 200)

    def test_a_prefix_needs_slashes_at_both_ends(self):
        self.assert_invalid(configuration(route(path_prefix="/first")))
        self.assert_invalid(configuration(route(path_prefix="first/")))

    def test_a_version_of_zero(self):
        self.assert_invalid(configuration(version=0))

    def test_two_services_with_the_same_name(self):
        valid = configuration()
        services = valid.services + valid.services[:1]
        self.assert_invalid(msgspec.structs.replace(valid, services=services))


class TenantCheckTest(CheckTest):
    def tenant(self, name="corner", keys=("key-1",), **changes):
        digests = tuple(digest_of_key(key) for key in keys)
        return Tenant(name=name, key_digests=digests, **changes)

    def test_valid_tenants_have_no_problem(self):
        tenants = (
            self.tenant(keys=("key-1", "key-1", "key-2"), rate_per_s=8, burst=8, priority=0),
            self.tenant("keyless", ()),
        )
        check_configuration(configuration(tenants=tenants))

    def test_a_key_of_two_tenants(self):
        self.assert_invalid(configuration(tenants=(self.tenant(), self.tenant("other"))))

    def test_duplicate_and_empty_tenant_names(self):
        self.assert_invalid(configuration(tenants=(self.tenant(), self.tenant(keys=("key-2",)))))
        self.assert_invalid(configuration(tenants=(self.tenant(""),)))

    def test_names_that_no_header_carries(self):
        for name in ("\u5e97", "a\nb", "a\r\nX-Odd: 1", " a", "a ", "\t", "\x00", "a\x7f"):
            with self.subTest(name):
                self.assert_invalid(configuration(tenants=(self.tenant(name),)))
        for name in ("a", "caf\xe9 2", "n" * 300_000, "a b\tc"):
            check_configuration(configuration(tenants=(self.tenant(name),)))

    def test_amounts_that_are_negative_or_not_finite(self):
        for changes in (
            {"rate_per_s": -1},
            {"burst": -0.5},
            {"rate_per_s": math.inf},
            {"burst": math.nan},
        ):
            with self.subTest(changes):
                self.assert_invalid(configuration(tenants=(self.tenant(**changes),)))

    def test_no_problem_contains_a_key(self):
        invalid = configuration(tenants=(self.tenant(), self.tenant("other")))
        with self.assertRaises(PasslaneError) as caught:
            check_configuration(invalid)
        self.assertNotIn("key-1", caught.exception.message)
