"""The cached state of the fleet in a process after a sequence of views."""

import random
import unittest

import anyio
import anyio.lowlevel

from passlane.fleet.client import FleetClient
from passlane.fleet.state.backend_listing import BackendListing
from passlane.messages.common import Address
from passlane.messages.fleet import Announce, FleetAddresses, FleetRole, FleetView, NamedAddress
from passlane.messages.listing import BackendsReported, ReportBackends
from relay.fakes import backend

SEED = Address("10.1.0.1", 7000)


def member(number):
    return NamedAddress(f"10.2.0.{number}", Address(f"10.2.0.{number}", 7000))


class ScriptedControl:
    """Answers heartbeats with the given views in order, then repeats the last one."""

    def __init__(self, *views):
        self.views = list(views)
        self.requests = []

    async def call(self, address, request, reply, *, timeout_s):
        await anyio.sleep(0.1)
        self.requests.append(request)
        return self.views.pop(0) if len(self.views) > 1 else self.views[0]


def heartbeat():
    return Announce(name="node", role=FleetRole.NODE, replica_name="n", address=SEED, zone="a")


def follow(*views):
    """Return a follower that has applied these views, and the control replica that sent them."""
    control = ScriptedControl(*views)
    follower = FleetClient(heartbeat, [SEED], control, random.Random(0))

    async def main():
        with anyio.move_on_after(0.15 * (len(views) + 1)):
            await follower.run()

    anyio.run(main)
    return follower, control


def view(number, **addresses):
    included = FleetAddresses(**addresses) if addresses else None
    return FleetView(number=number, addresses=included, node_count=1, configuration_version=0)


class FleetClientTest(unittest.TestCase):
    def test_a_view_without_addresses_keeps_the_previous_ones(self):
        first = view(7, stores=(member(1),), controls=(member(9),), retired_replicas=("x",))
        follower, control = follow(first, view(7))
        self.assertEqual(follower.view.stores, (member(1),))
        self.assertEqual(follower.view.retired_replicas, ("x",))
        self.assertIn(member(9).address, follower.leader.controls)
        self.assertEqual([request.view_number for request in control.requests[:2]], [0, 7])

    def test_stores_are_kept_while_a_new_control_leader_knows_none(self):
        first = view(7, stores=(member(1),), controls=(member(8),))
        second = view(9, controls=(member(9),))
        follower, _ = follow(first, second)
        self.assertEqual(follower.view.stores, (member(1),))
        self.assertNotIn(member(8).address, follower.leader.controls)

    def test_without_any_view_only_the_seeds_are_known(self):
        follower = FleetClient(heartbeat, [SEED], ScriptedControl(), random.Random(0))
        self.assertEqual(follower.leader.controls, (SEED,))
        self.assertEqual(follower.view.stores, ())


class ScriptedReports:
    """Records reports like the leader of the control group; a new ``listing`` is a new leader."""

    def __init__(self):
        self.listing = BackendListing(100)
        self.sent = []

    async def call(self, address, request, reply, *, timeout_s):
        await anyio.lowlevel.checkpoint()
        self.sent.append(None if request.records is None else len(request.records))
        self.listing.report(request, 1.0)
        return BackendsReported(number=self.listing.number)


class ReportTest(unittest.TestCase):
    def test_an_unchanged_list_is_sent_once_to_each_leader(self):
        control = ScriptedReports()
        follower = FleetClient(heartbeat, [SEED], control, random.Random(0))
        records = (backend("i-2"), backend("i-1"))

        async def main():
            await follower.reporter.report(records)
            await follower.reporter.report(tuple(records))
            control.listing = BackendListing(500)
            await follower.reporter.report(tuple(records))
            await follower.reporter.report((*records, backend("i-3")))
            await follower.reporter.report((*records, backend("i-3")))

        anyio.run(main)
        self.assertEqual(control.sent, [2, None, None, 2, 3, None])


class BackendsTest(unittest.TestCase):
    def lists_after(self, *views):
        """Return the lists that a follower confirms while it applies these views."""
        lists = []
        control = ScriptedControl(*views)
        follower = FleetClient(heartbeat, [SEED], control, random.Random(0))
        follower.backends.on_confirmation(lambda records, confirmed_at: lists.append(records))

        async def main():
            with anyio.move_on_after(0.15 * (len(views) + 1)):
                await follower.run()

        anyio.run(main)
        return lists, control

    def test_consecutive_updates_are_applied_and_others_are_ignored(self):
        listing = BackendListing(100)

        def view_of(records, since):
            listing.report(ReportBackends(name="n", number=0, records=records), 1.0)
            return FleetView(
                number=7,
                node_count=1,
                configuration_version=0,
                backends_number=listing.number,
                backends_since=since,
                backends_update=listing.updates.update_since(since),
                backends_age_s=0.1,
            )

        first, second = (backend("i-1"), backend("i-2")), (backend("i-2"), backend("i-3"))
        views = [view_of(first, 0), view_of(second, 101), view_of(first, 55)]
        lists, control = self.lists_after(*views)
        self.assertEqual(
            [sorted(r.instance_id for r in one) for one in lists[:2]],
            [["i-1", "i-2"], ["i-2", "i-3"]],
        )
        self.assertEqual(len(lists), 2)
        self.assertEqual([r.backends_number for r in control.requests[:4]], [0, 101, 102, 102])


if __name__ == "__main__":
    unittest.main()
