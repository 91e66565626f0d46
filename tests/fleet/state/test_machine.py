"""The replicated state of a fleet, and the formation of its store group."""

import unittest

from passlane.fleet.state.directory import EXPIRE_AFTER_S, FORMATION_QUIET_S, FleetDirectory
from passlane.fleet.state.machine import FleetStateMachine
from passlane.messages.common import Address
from passlane.messages.fleet import Announce, FleetRole, FoundStoreGroup, NamedAddress
from passlane.messages.routes import ConfigurationReplaced, ReplaceConfiguration
from routes.test_checks import configuration, route


def member(number):
    return NamedAddress(f"10.0.0.{number}", Address(f"10.0.0.{number}", 7000))


def announce(number, role=FleetRole.STORE, **changes):
    own = member(number)
    values = {
        "name": f"machine-{number}",
        "role": role,
        "replica_name": own.name,
        "address": own.address,
        "zone": "a",
        "may_found": role is FleetRole.STORE,
    }
    return Announce(**(values | changes))


class FleetStateMachineTest(unittest.TestCase):
    def setUp(self):
        self.machine = FleetStateMachine()

    def replace(self, version, **changes):
        return self.machine.execute(
            ReplaceConfiguration(configuration(route(**changes), version=version))
        )

    def test_the_highest_version_wins_in_any_order(self):
        self.assertEqual(self.replace(3), ConfigurationReplaced(3, True))
        self.assertEqual(self.replace(7), ConfigurationReplaced(7, True))
        self.assertEqual(self.replace(5), ConfigurationReplaced(7, False))
        self.assertEqual(self.machine.state.configuration.version, 7)

    def test_other_content_with_the_current_version_is_ignored(self):
        self.replace(3, timeout_s=1.0)
        self.assertEqual(self.replace(3, timeout_s=2.0), ConfigurationReplaced(3, False))
        self.assertEqual(self.machine.state.configuration.routes[0].timeout_s, 1.0)

    def test_only_the_first_formation_of_the_store_group_counts(self):
        self.machine.execute(FoundStoreGroup((member(1), member(2))))
        self.machine.execute(FoundStoreGroup((member(3),)))
        self.assertEqual(self.machine.state.store_founders, (member(1), member(2)))

    def test_a_snapshot_restores_everything(self):
        self.replace(3)
        self.machine.execute(FoundStoreGroup((member(1),)))
        restored = FleetStateMachine()
        for _ in restored.restore_parts(self.machine.snapshot_parts()):
            pass
        self.assertEqual(restored.state, self.machine.state)


class FleetDirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = FleetDirectory(0)

    def test_initial_members_are_chosen_after_a_quiet_period(self):
        self.directory.record_heartbeat(announce(1), 0.0)
        self.directory.record_heartbeat(announce(2), 1.0)
        self.assertEqual(self.directory.initial_store_members(1.0 + FORMATION_QUIET_S - 0.1, 3), ())
        self.directory.record_heartbeat(announce(1), 2.0)
        initial_members = self.directory.initial_store_members(1.0 + FORMATION_QUIET_S, 3)
        self.assertEqual(initial_members, (member(1), member(2)))

    def test_initial_members_are_limited_and_spread_over_zones(self):
        for number, zone in [(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "b"), (6, "c")]:
            self.directory.record_heartbeat(announce(number, zone=zone), 0.0)
        initial_members = self.directory.initial_store_members(FORMATION_QUIET_S, 5)
        self.assertEqual(initial_members, tuple(member(n) for n in (1, 2, 4, 5, 6)))
        self.assertEqual(
            self.directory.initial_store_members(FORMATION_QUIET_S, 3),
            (member(1), member(4), member(6)),
        )

    def test_a_machine_that_may_not_found_is_no_initial_member(self):
        self.directory.record_heartbeat(announce(1, may_found=False), 0.0)
        self.assertEqual(self.directory.initial_store_members(10.0, 3), ())

    def test_silent_replicas_expire_and_change_the_view(self):
        self.directory.record_heartbeat(announce(1), 0.0)
        self.directory.record_heartbeat(announce(2), 0.0)
        number = self.directory.number
        self.directory.record_heartbeat(announce(2), EXPIRE_AFTER_S + 1.0)
        self.assertEqual(self.directory.store_names(), [announce(2).name])
        self.assertGreater(self.directory.number, number)

    def test_nodes_are_counted_and_do_not_change_the_view(self):
        self.assertFalse(self.directory.record_heartbeat(announce(1, FleetRole.NODE), 0.0))
        self.directory.record_heartbeat(announce(2, FleetRole.NODE), 0.0)
        self.assertEqual(self.directory.node_count(), 2)
        self.directory.record_heartbeat(announce(2, FleetRole.NODE), EXPIRE_AFTER_S + 1.0)
        self.assertEqual(self.directory.node_count(), 1)
        self.assertEqual(self.directory.number, 0)

    def test_only_members_reported_by_the_groups_leader_are_returned(self):
        self.directory.record_heartbeat(announce(3), 0.0)
        self.assertEqual(self.directory.stores(), ())
        self.directory.record_heartbeat(announce(1, group_members=(member(1), member(2))), 0.0)
        self.assertEqual(self.directory.stores(), (member(1), member(2)))
        self.assertEqual(len(self.directory.store_names()), 2)

    def test_an_unchanged_heartbeat_keeps_the_views_number(self):
        self.assertTrue(self.directory.record_heartbeat(announce(1), 0.0))
        number = self.directory.number
        self.assertFalse(self.directory.record_heartbeat(announce(1), 1.0))
        self.assertEqual(self.directory.number, number)
