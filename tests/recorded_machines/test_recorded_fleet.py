"""Recorded runs of the fleet's machine and of what its leader remembers.

The digests go once the shape of these modules has settled.
"""

import random
import unittest
import zlib
from typing import Any, get_args

import msgspec

from passlane.fleet.state.backend_listing import BackendListing
from passlane.fleet.state.directory import FleetDirectory
from passlane.fleet.state.listing_updates import apply_changes, unpack
from passlane.fleet.state.machine import FleetCommand, FleetStateMachine
from passlane.messages.base import encode_message, message_decoder
from passlane.messages.common import Address
from passlane.messages.fleet import (
    Announce,
    FleetRole,
    ForbidReplica,
    FoundStoreGroup,
    NamedAddress,
    ReplicaForbidden,
    StoreGroupFounded,
)
from passlane.messages.listing import (
    BackendChanges,
    BackendRecord,
    BackendState,
    ReportBackends,
)
from passlane.messages.routes import (
    ConfigurationReplaced,
    ReplaceConfiguration,
    RequestLimits,
    Route,
    RouteConfiguration,
    RoutedService,
    RouteKind,
    ServiceShare,
    Tenant,
)
from recorded_machines.recording import Recording

KINDS: dict[type[Any], str] = {
    Address: "address",
    BackendChanges: "changes",
    BackendRecord: "backend",
    NamedAddress: "named",
    RequestLimits: "limits",
    Route: "route",
    RouteConfiguration: "configuration",
    RoutedService: "service",
    ServiceShare: "share",
    Tenant: "tenant",
}
RESULTS = ConfigurationReplaced | StoreGroupFounded | ReplicaForbidden
COMMANDS = 1_000
STEPS = 3_000
_results = message_decoder(RESULTS)


def configuration(draw: random.Random, version: int) -> RouteConfiguration:
    route = Route(
        name=f"route{draw.randrange(5)}",
        host="host",
        path_prefix="/",
        kind=draw.choice(list(RouteKind)),
        timeout_s=draw.random(),
        target_latency_s=draw.random(),
        priority=draw.randrange(3),
        shares=(ServiceShare("s", draw.randrange(9)),),
        max_attempts=draw.randrange(1, 4),
    )
    return RouteConfiguration(
        version=version,
        routes=(route,) * draw.randrange(3),
        services=(RoutedService(name="s", health_path="/h", max_connections=3),),
        limits=RequestLimits(
            max_header_bytes=1, max_body_bytes=2, header_timeout_s=3.0, idle_timeout_s=4.0
        ),
        source=b"document %d" % version,
        tenants=(Tenant(name="t", rate_per_s=draw.random()),) * draw.randrange(2),
    )


def command(draw: random.Random, number: int) -> FleetCommand:
    kind = draw.random()
    if kind < 0.5:
        version = max(1, number // 3 + draw.randrange(-2, 3))
        return ReplaceConfiguration(configuration(draw, version))
    if kind < 0.6 and number > 50:
        members = tuple(
            NamedAddress(f"r{n}", Address("h", draw.randrange(9))) for n in range(draw.randrange(4))
        )
        return FoundStoreGroup(members)
    return ForbidReplica(f"machine{draw.randrange(40)}", f"r{draw.randrange(60)}")


def run_machine(recording: Recording) -> None:
    """Apply commands, and go on from a snapshot now and then."""
    draw = random.Random(1)
    machine = FleetStateMachine()
    for number in range(COMMANDS):
        given = command(draw, number)
        result = machine.apply(number, encode_message(given))
        parts = list(machine.snapshot_parts())
        recording.note(given, [_results.decode(result), result, parts])
        if number % 50 == 0:
            recording.note("restored", len(list(machine.restore_parts(parts))))


def announcement(draw: random.Random, now: float) -> Announce:
    """Return the announcement of one of some machines, which take turns in being silent."""
    role = draw.choice(list(FleetRole))
    number = draw.randrange(8)
    life = int(now / 40) if draw.random() < 0.9 else 0
    members = tuple(
        NamedAddress(f"r{n}", Address("h", n + int(now / 25))) for n in range(draw.randrange(4))
    )
    return Announce(
        name=f"{role.value}{number}",
        role=role,
        replica_name=f"r{number}.{life}",
        address=Address(f"10.0.0.{number}", life),
        zone=f"z{number % 3}",
        may_found=role is FleetRole.STORE and draw.random() < 0.8,
        group_members=members if role is FleetRole.STORE and draw.random() < 0.3 else (),
    )


def run_directory(recording: Recording) -> None:
    """Announce machines in bursts and pauses, and ask for all that the directory tells."""
    draw = random.Random(2)
    directory = FleetDirectory(7)
    now = 0.0
    for _ in range(STEPS):
        now += draw.choice((0.01, 0.1, 0.2, 0.4, 0.7, 1.6 if draw.random() < 0.2 else 0.05))
        told = announcement(draw, now)
        has_changed = directory.record_heartbeat(told, now)
        later = now + draw.choice((0.0, 1.4, 1.6))
        founders = [directory.initial_store_members(later, places) for places in (3, 5)]
        found = directory.heartbeat_of(f"store{draw.randrange(10)}")
        names = [directory.node_count(), directory.node_names(), directory.store_names()]
        addresses = [directory.number, directory.stores(), directory.controls()]
        recording.note([now, told], [has_changed, founders, found, names, addresses])


class Backends:
    """A platform's list that changes now and then, and the nodes that may read it."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.records: dict[str, BackendRecord] = {}
        self.nodes = ["n1", "n2", "n3"]

    def change(self) -> None:
        """Let some back ends come, leave or change."""
        for _ in range(self.random.randrange(4)):
            name = f"b{self.random.randrange(30)}"
            if self.random.random() < 0.3:
                self.records.pop(name, None)
                continue
            self.records[name] = BackendRecord(
                instance_id=name,
                service=f"s{self.random.randrange(2)}",
                address=Address("h", self.random.randrange(5)),
                zone="z",
                slots=self.random.randrange(4),
                state=self.random.choice(list(BackendState)),
            )
        if self.random.random() < 0.1:
            count = self.random.randrange(5)
            self.nodes = [f"n{self.random.randrange(6)}" for _ in range(count)]

    def report(self, number: int) -> ReportBackends:
        is_same = self.random.random() < 0.4
        claimed = self.random.choice((number, number, number - 1, 0))
        records = None if is_same else tuple(self.records.values())
        return ReportBackends(name="n1", number=claimed, records=records)


def run_listing(recording: Recording) -> None:
    """Report lists, choose readers, and ask for updates from earlier lists."""
    backends = Backends(3)
    draw = backends.random
    listing = BackendListing(100)
    lists: dict[int, tuple[BackendRecord, ...]] = {0: ()}
    now = 0.0
    for _ in range(STEPS):
        now += draw.choice((0.1, 0.3, 0.5, 1.59, 1.61))
        if draw.random() < 0.4:
            backends.change()
        chosen = listing.choose_reader(backends.nodes, now)
        recording.note([now, backends.nodes], [chosen, listing.reader])
        if draw.random() < 0.7:
            report = backends.report(listing.number)
            has_changed = listing.report(report, now)
            recording.note(report, [has_changed, listing.number, listing.read_at])
        lists[listing.number] = listing.records
        note_update(recording, listing, lists, draw)


def note_update(
    recording: Recording,
    listing: BackendListing,
    lists: dict[int, tuple[BackendRecord, ...]],
    draw: random.Random,
) -> None:
    """Note what a process with some earlier list is told, and the list that it has then."""
    held = max(0, listing.number - draw.randrange(80)) if draw.random() < 0.9 else 5
    since = listing.updates.since(held)
    changes = unpack(listing.updates.update_since(since))
    after = apply_changes(lists.get(since, ()), changes)
    recording.note(["holds", held], [since, changes, after])


class RecordedFleetTest(unittest.TestCase):
    def test_machine(self) -> None:
        recording = Recording("fleet", KINDS)
        recording.check(self, lambda: run_machine(recording))
        recording.require_reached(self, *get_args(FleetCommand), *get_args(RESULTS), *RouteKind)

    def test_directory(self) -> None:
        recording = Recording("fleet_directory", KINDS)
        recording.check(self, lambda: run_directory(recording))
        recording.require_reached(self, Announce, NamedAddress, *FleetRole)

    def test_listing(self) -> None:
        recording = Recording("fleet_listing", KINDS)
        recording.check(self, lambda: run_listing(recording))
        recording.require_reached(self, ReportBackends, BackendChanges, *BackendState)

    def test_bytes_that_hold_no_update(self) -> None:
        self.assertRaises(zlib.error, unpack, b"none")
        self.assertRaises(msgspec.DecodeError, unpack, zlib.compress(b"none"))


if __name__ == "__main__":
    unittest.main()
