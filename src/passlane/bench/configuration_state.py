"""States of control replicas, store leaders and nodes with many tenants, for measuring."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from passlane.configuration.documents import (
    ApplicationBody,
    EngineBody,
    PolicyBody,
    ServiceBody,
    TenantBody,
    ToolBody,
)
from passlane.configuration.ledger import ConfigurationLedger
from passlane.configuration.parsing import encode_body
from passlane.configuration.view import ConfigurationView
from passlane.control.service import ControlService
from passlane.control.state.machine import ControlStateMachine
from passlane.identifiers import Revision
from passlane.messages.base import encode_message
from passlane.messages.common import Address, Amounts
from passlane.messages.control import (
    AcceptRevision,
    ConfigurationDelta,
    PutDocument,
    PutResult,
    RegionReport,
    SetRegions,
)
from passlane.transport.router import MessageRouter

REGIONS = ("north", "south", "east", "west", "centre")
ENGINES = 2_200
MODELS = 33
APPLICATIONS = 40
FIXED_DOCUMENTS = ENGINES + APPLICATIONS + 2
SEED = 1


class SingleReplica:
    """A group of one replica that applies at once; what replication costs is left out."""

    is_leader = True
    leader_address = None
    term = 1

    def __init__(self, machine: ControlStateMachine) -> None:
        self._machine = machine

    async def propose(self, command: bytes, *, may_be_deferred: bool = False) -> bytes:
        """Apply a command."""
        return self._machine.apply(0, command)

    async def read_barrier(self) -> None:
        """Return at once."""


@dataclass
class MeasuredState:
    """A control replica with its service, and the version of each tenant's document."""

    machine: ControlStateMachine
    service: ControlService
    versions: list[int]
    random: random.Random

    def change_tenant(self) -> PutDocument:
        """Return the next change: a new budget for a random tenant."""
        index = self.random.randrange(len(self.versions))
        command = PutDocument(
            kind="tenant",
            name=tenant_name(index),
            body=tenant_body(self.random),
            expected_version=self.versions[index],
            idempotency_key=f"{self.random.getrandbits(128):032x}",
        )
        self.versions[index] += 1
        return command

    def accept_all(self) -> None:
        """Accept every pending change."""
        self.machine.execute(AcceptRevision(self.machine.ledger.held_revision))


def build_state(tenants: int) -> MeasuredState:
    """Return a replica with so many tenants, and the models and engines designed for."""
    machine = ControlStateMachine()
    machine.execute(SetRegions(REGIONS))
    source = random.Random(SEED)
    for kind, name, body in _fixed_documents():
        _put(machine, source, kind, name, body)
    for index in range(tenants):
        _put(machine, source, "tenant", tenant_name(index), tenant_body(source))
    machine.execute(AcceptRevision(machine.ledger.held_revision))
    service = ControlService(
        SingleReplica(machine),
        machine,
        MessageRouter(),
        regions=REGIONS,
    )
    return MeasuredState(machine, service, [1] * tenants, source)


def copy_ledger(source: ConfigurationLedger) -> ConfigurationLedger:
    """Return a ledger filled by deltas, as a store leader fills its own."""
    ledger = ConfigurationLedger()
    while ledger.held_revision < source.held_revision:
        ledger.apply_delta(source.delta_since(ledger.held_revision, ledger.floor_revision))
    return ledger


def whole_deltas(source: ConfigurationLedger) -> list[ConfigurationDelta]:
    """Return the parts in which a node that holds nothing gets everything."""
    held = Revision(0)
    parts: list[ConfigurationDelta] = []
    while held < source.held_revision:
        parts.append(source.delta_since(held))
        held = parts[-1].to_revision
    return parts


def copy_view(deltas: Sequence[ConfigurationDelta]) -> ConfigurationView:
    """Return a node's view after it has taken in ``deltas``, each decoded from bytes."""
    decoder = msgspec.msgpack.Decoder(ConfigurationDelta)
    view = ConfigurationView()
    for delta in deltas:
        view = view.apply_delta(decoder.decode(encode_message(delta)))
    return view


def region_report(region: str, revision: Revision) -> RegionReport:
    """Return a region's report that everything is in force, from 80 nodes."""
    return RegionReport(
        region=region,
        term=7,
        held_revision=revision,
        prepared_revision=revision,
        revision_in_force=revision,
        member_count=80,
    )


def tenant_name(index: int) -> str:
    """Return a tenant's name."""
    return f"kiosk-{index:06d}"


def tenant_body(source: random.Random) -> str:
    """Return the body of a tenant's document, with limits of its own."""
    return encode_body(
        TenantBody(
            service="disputes",
            default_budget=Amounts(tokens=source.randrange(10**4, 10**6), calls=470),
            max_budget=Amounts(
                tokens=source.randrange(10**6, 10**7),
                calls=source.randrange(470, 4_700),
                money_micros=source.randrange(10**9),
            ),
            max_programs=source.choice((10, 100, 1_000)),
            calls_per_second=source.choice((1.0, 5.0, 20.0, 100.0)),
        )
    )


def _put(
    machine: ControlStateMachine, source: random.Random, kind: str, name: str, body: str
) -> None:
    result = machine.execute(PutDocument(kind, name, body, 0, f"{source.getrandbits(128):032x}"))
    if not isinstance(result, PutResult):
        raise ValueError(f"{kind}/{name}: {result}")
    # Accepted as it comes, so that the pending list stays as short as it is in service.
    machine.execute(AcceptRevision(result.document.revision))


def _fixed_documents() -> list[tuple[str, str, str]]:
    address = Address("10.0.0.1", 9000)
    documents = [
        (
            "engine",
            f"engine-{index:04d}",
            encode_body(EngineBody(address=address, zone="a", models=(_model(index),))),
        )
        for index in range(ENGINES)
    ]
    documents += [
        (
            "application",
            f"application-{index:02d}",
            encode_body(
                ApplicationBody(address=address, zone="a", tools=(ToolBody(name=f"tool-{index}"),))
            ),
        )
        for index in range(APPLICATIONS)
    ]
    service = ServiceBody(models=tuple(_model(index) for index in range(MODELS)), policy="fair")
    documents.append(("policy", "fair", encode_body(PolicyBody(source="# " + "x" * 2_000))))
    documents.append(("service", "disputes", encode_body(service)))
    return documents


def _model(index: int) -> str:
    return f"model-{index % MODELS:02d}"
