"""A control group of three replicas and reporting regions, on a virtual clock."""

from contextlib import asynccontextmanager

import anyio

from passlane.configuration.documents import PolicyBody
from passlane.configuration.ledger import ConfigurationLedger
from passlane.configuration.parsing import encode_body
from passlane.configuration.view import ConfigurationView
from passlane.control.service import ControlService
from passlane.control.state.machine import ControlStateMachine
from passlane.errors import PasslaneError
from passlane.identifiers import Revision
from passlane.messages.base import Message
from passlane.messages.control import (
    ConfigurationDelta,
    PutDocument,
    RegionReport,
    WithdrawChange,
)
from passlane.replication.client import GroupClient
from replication.cluster import Cluster, MemoryCaller

REGIONS = ("north", "south")
REPORT_INTERVAL_S = 0.2
MEMBERS_PER_REGION = 2
DELTA_BYTES = 600


def policy(text):
    return encode_body(PolicyBody(source=text))


def put(name, text, expected, key):
    body = None if text is None else policy(text)
    return PutDocument("policy", name, body, expected, key)


class ControlCluster(Cluster):
    """Replicas ``a``, ``b``, ``c``; ``sides`` assigns processes to sides of a network partition."""

    machine_class = ControlStateMachine

    def __init__(self, tasks, seed, **settings):
        super().__init__(tasks, seed, **settings)
        self.sides = {}
        self.clients = {}
        self.regions = {name: Region(self, name) for name in REGIONS}

    def reachable(self, own, address):
        member = super().reachable(own, address)
        if member is None or self.sides.get(own, 0) != self.sides.get(member.peer.name, 0):
            return None
        return member

    async def run_member(self, member):
        service = ControlService(member.host, member.machine, member.router, regions=REGIONS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(member.host.run)
            tasks.start_soon(service.run)

    def client_named(self, name):
        if name not in self.clients:
            addresses = [peer.internal for peer in self.settings.members]
            caller = MemoryCaller(self, name)
            self.clients[name] = GroupClient(caller, addresses, self.random)
        return self.clients[name]

    async def send(self, command, name="operator", timeout_s=20.0):
        return await self.client_named(name).execute(command, Message, timeout_s=timeout_s)

    async def withdraw(self, revision, key):
        return await self.send(WithdrawChange(Revision(revision), key))

    async def until_in_force(self, revision):
        await self.until(
            lambda: all(region.in_force() >= revision for region in self.regions.values()), 60.0
        )


class Region:
    """A region's store leader and nodes in one object.

    ``seen`` records, for each node, the policies in force after each change of revision.
    """

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.ledger = ConfigurationLedger()
        self.views = [ConfigurationView() for _ in range(MEMBERS_PER_REGION)]
        self.seen = [[] for _ in self.views]

    def in_force(self):
        return min(view.revision_in_force for view in self.views)

    async def run(self):
        client = self.cluster.client_named(self.name)
        while True:
            try:
                delta = await client.execute(self.report(), ConfigurationDelta, timeout_s=1.0)
            except PasslaneError:
                continue
            self.ledger.apply_delta(delta)
            for index, view in enumerate(self.views):
                if self.cluster.random.random() < 0.8:
                    self.advance(index, view)
            await anyio.sleep(REPORT_INTERVAL_S)

    def report(self):
        return RegionReport(
            region=self.name,
            term=1,
            held_revision=self.ledger.held_revision,
            held_floor=self.ledger.floor_revision,
            prepared_revision=min(view.held_revision for view in self.views),
            revision_in_force=self.in_force(),
            member_count=len(self.views),
        )

    def advance(self, index, view):
        delta = self.ledger.delta_since(view.held_revision, view.floor_revision, DELTA_BYTES)
        changed = view.apply_delta(delta)
        self.views[index] = changed
        if changed.revision_in_force != view.revision_in_force:
            state = {name: body.source for name, body in changed.policies.items()}
            self.seen[index].append((changed.revision_in_force, state))


@asynccontextmanager
async def running_control(seed, **settings):
    async with anyio.create_task_group() as tasks:
        cluster = ControlCluster(tasks, seed, **settings)
        cluster.start()
        for region in cluster.regions.values():
            tasks.start_soon(region.run)
        yield cluster
        tasks.cancel_scope.cancel()
