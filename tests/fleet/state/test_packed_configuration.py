"""The packed form of a configuration is small, and encoded once for each version."""

import unittest

import msgspec

from passlane.fleet.state.packed_configuration import PackedConfigurations, pack, unpack
from routes.test_checks import configuration, route


class PackedConfigurationTest(unittest.TestCase):
    def test_all_fields_but_the_source_are_restored(self):
        sent = configuration(route(timeout_s=1.5), version=7)
        self.assertEqual(unpack(pack(sent)), msgspec.structs.replace(sent, source=b""))

    def test_many_routes_are_packed_to_a_fifth_of_their_encoded_size(self):
        routes = [route(name=f"r-{n}", path_prefix=f"/{n}/") for n in range(100)]
        sent = configuration(*routes, version=7)
        self.assertLess(len(pack(sent)), len(msgspec.msgpack.encode(sent)) / 5)

    def test_each_version_is_packed_once(self):
        packed = PackedConfigurations()
        first = configuration(route(), version=1)
        self.assertIs(packed.of(first), packed.of(first))
        second = configuration(route(timeout_s=9.0), version=2)
        self.assertEqual(unpack(packed.of(second)).version, 2)
