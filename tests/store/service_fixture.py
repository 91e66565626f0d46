"""Fakes for tests of the store service: a group of one replica, a transport without network.

Also a stub of the control group and a listener that records what a node receives.
"""

import random
from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any

import anyio

from passlane.configuration.ledger import ConfigurationLedger
from passlane.configuration.view import ConfigurationView
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import EngineId, Revision
from passlane.membership.events import LeadershipGained, LeadershipLost, MembershipChange
from passlane.messages.base import Message
from passlane.messages.common import Address, NotLeaderError
from passlane.messages.control import ConfigurationDelta, Document, RegionReport, TargetInFlight
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.replication.client import GroupClient
from passlane.settings.model import (
    AddressSettings,
    MembershipSettings,
    ProcessSettings,
    Role,
    Settings,
)
from passlane.store.machine import StoreStateMachine
from passlane.transport.router import MessageRouter

configure_logging(RingLog(1_000))

STORE = Address("127.0.0.1", 1)
CONTROL = Address("127.0.0.1", 2)
HOP_DELAY_S = 0.002


def settings_of(name: str) -> Settings:
    return Settings(
        process=ProcessSettings(
            name=name, roles=(Role.NODE,), region="r", zone="z", data_folder="unused"
        ),
        addresses=AddressSettings(internal=Address("127.0.0.1", 9), operators=STORE),
        membership=MembershipSettings(partitions=4),
    )


class OneReplicaGroup:
    """Applies each command immediately; tests set ``is_leader`` and ``term``.

    ``is_replaced`` makes it a leader that has not yet noticed that another one leads.
    """

    def __init__(self, machine: StoreStateMachine) -> None:
        self.machine = machine
        self.is_leader = True
        self.is_replaced = False
        self.leader_address: Address | None = None
        self.term = 1
        self.barriers = 0
        self.commands = 0

    async def propose(self, command: bytes) -> bytes:
        self._require_leadership()
        await anyio.sleep(HOP_DELAY_S)
        self.commands += 1
        return self.machine.apply(self.commands, command)

    async def read_barrier(self) -> None:
        self._require_leadership()
        self.barriers += 1
        await anyio.sleep(HOP_DELAY_S)
        self._require_leadership()
        if self.is_replaced:
            raise NotLeaderError("another replica leads", None)

    def _require_leadership(self) -> None:
        if not self.is_leader:
            raise NotLeaderError("not the leader", None)


class DirectCaller:
    """Calls the registered handler of a process after ``HOP_DELAY_S``."""

    def __init__(self) -> None:
        self.routers = {STORE: MessageRouter(), CONTROL: MessageRouter()}
        self.cut_off: set[Address] = set()

    async def call(
        self, address: Address, request: Message, reply: type, *, timeout_s: float
    ) -> Any:
        await anyio.sleep(HOP_DELAY_S)
        if address in self.cut_off:
            raise PasslaneError(ErrorCode.UNAVAILABLE, "cut off", verdict=Verdict.NOT_RUN)
        handler = self.routers[address].unary_handler(request)
        assert handler is not None
        return await handler(request)

    def stream(self, *_: Any, **__: Any) -> AbstractAsyncContextManager[AsyncIterator[Message]]:
        raise NotImplementedError

    async def send(self, address: Address, message: Message) -> None:
        raise NotImplementedError

    def client_of(self, address: Address) -> GroupClient:
        return GroupClient(self, [address], random.Random(1))


class ControlStub:
    """A control group of one region; accepts the revision that the region reports as prepared."""

    def __init__(self, router: MessageRouter) -> None:
        self.ledger = ConfigurationLedger()
        self.reports: list[RegionReport] = []
        router.add_unary(RegionReport, self.receive)

    def put(self, name: str) -> Revision:
        revision = Revision(self.ledger.held_revision + 1)
        body = '{"service": "s"}'
        self.ledger.append(Document("tenant", name, 1, revision, body))
        return revision

    async def receive(self, report: RegionReport) -> ConfigurationDelta:
        self.reports.append(report)
        self.ledger.accept(report.prepared_revision)
        return self.ledger.delta_since(report.held_revision, report.held_floor)


class RecordingListener:
    """A ``HeartbeatListener`` that records what it receives."""

    def __init__(self) -> None:
        self.configuration = ConfigurationView()
        self.is_draining = False
        self.in_flight_at_drained: tuple[TargetInFlight, ...] = ()
        self.leaving: tuple[EngineId, ...] = ()
        self.changes: list[MembershipChange] = []

    def apply_configuration(
        self, delta: ConfigurationDelta | None, accepted_revision: Revision
    ) -> None:
        if delta is not None:
            self.configuration = self.configuration.apply_delta(delta)
        self.configuration = self.configuration.accept(accepted_revision)

    def set_leaving_engines(self, names: Sequence[EngineId]) -> None:
        self.leaving = tuple(names)

    def apply_membership_change(self, change: MembershipChange) -> None:
        self.changes.append(change)

    def count(self, kind: type[LeadershipGained] | type[LeadershipLost]) -> int:
        return sum(isinstance(change, kind) for change in self.changes)
