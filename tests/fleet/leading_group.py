"""A control group of one replica, for tests of the leader's services."""

import anyio.lowlevel

from passlane.fleet.leader_state import LeaderState
from passlane.fleet.state.machine import FleetStateMachine
from passlane.messages.common import Address
from passlane.messages.fleet import Announce, FleetRole, NamedAddress


class LeadingGroup:
    """A leading replica that applies each command at once."""

    def __init__(self, machine):
        self.machine = machine
        self.is_leader = True
        self.term = 1
        self.leader_address = None
        self.commands = []

    async def propose(self, command, *, may_be_deferred=False):
        await anyio.lowlevel.checkpoint()
        self.commands.append(command)
        return self.machine.apply(len(self.commands), command)

    async def read_barrier(self):
        await anyio.lowlevel.checkpoint()


def leader_state():
    """Return a ``LeaderState`` and its group."""
    machine = FleetStateMachine()
    group = LeadingGroup(machine)
    return LeaderState(group, machine), group


def member(number):
    """Return a replica's name and address."""
    return NamedAddress(f"10.2.0.{number}", Address(f"10.2.0.{number}", 7000))


def store_heartbeat(number, members=()):
    """Return the heartbeat of a store machine."""
    replica = member(number)
    return Announce(
        name=f"store-{number}",
        role=FleetRole.STORE,
        replica_name=replica.name,
        address=replica.address,
        zone="a",
        may_found=True,
        group_members=tuple(members),
    )


def node_heartbeat(**cached):
    """Return the heartbeat of a node with these versions of the cached state."""
    return Announce(
        name="node-1",
        role=FleetRole.NODE,
        replica_name="10.1.0.1",
        address=Address("10.1.0.1", 7000),
        zone="a",
        **cached,
    )
