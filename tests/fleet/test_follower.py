"""What a process knows of its fleet after a row of views."""

import random
import unittest

import anyio

from passlane.fleet.follower import FleetFollower
from passlane.messages.common import Address
from passlane.messages.fleet import Announce, FleetAddresses, FleetRole, FleetView, NamedAddress

SEED = Address("10.1.0.1", 7000)


def member(number):
    return NamedAddress(f"10.2.0.{number}", Address(f"10.2.0.{number}", 7000))


class ScriptedControl:
    """Answers announcements with the given views in order, the last one again and again."""

    def __init__(self, *views):
        self.views = list(views)
        self.requests = []

    async def call(self, address, request, reply, *, timeout_s):
        await anyio.sleep(0.1)
        self.requests.append(request)
        return self.views.pop(0) if len(self.views) > 1 else self.views[0]


def announcement():
    return Announce(name="node", role=FleetRole.NODE, replica_name="n", address=SEED, zone="a")


def follow(*views):
    """Return a follower that has taken over these views, and the control that gave them."""
    control = ScriptedControl(*views)
    follower = FleetFollower(announcement, [SEED], control, random.Random(0))

    async def main():
        with anyio.move_on_after(0.15 * (len(views) + 1)):
            await follower.run()

    anyio.run(main)
    return follower, control


def view(number, **addresses):
    told = FleetAddresses(**addresses) if addresses else None
    return FleetView(number=number, addresses=told, node_count=1, configuration_version=0)


class FollowerTest(unittest.TestCase):
    def test_addresses_stay_as_they_were_while_a_view_has_none(self):
        first = view(7, stores=(member(1),), controls=(member(9),), retired_replicas=("x",))
        follower, control = follow(first, view(7))
        self.assertEqual(follower.stores, (member(1),))
        self.assertEqual(follower.retired_replicas, ("x",))
        self.assertIn(member(9).address, follower.controls)
        self.assertEqual([request.view_number for request in control.requests[:2]], [0, 7])

    def test_stores_stay_known_while_a_new_control_leader_has_heard_of_none(self):
        first = view(7, stores=(member(1),), controls=(member(8),))
        second = view(9, controls=(member(9),))
        follower, _ = follow(first, second)
        self.assertEqual(follower.stores, (member(1),))
        self.assertNotIn(member(8).address, follower.controls)

    def test_without_any_view_only_the_seeds_are_known(self):
        follower = FleetFollower(announcement, [SEED], ScriptedControl(), random.Random(0))
        self.assertEqual(follower.controls, (SEED,))
        self.assertEqual(follower.stores, ())


if __name__ == "__main__":
    unittest.main()
