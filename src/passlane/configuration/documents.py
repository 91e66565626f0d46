"""Bodies of the documents that operators submit, by kind.

A document file is TOML with ``kind``, ``name`` and the fields of the body. Field names
include the unit.
"""

import enum
from typing import Annotated

import msgspec

from passlane.messages.common import Address, Amounts


class DocumentKind(enum.StrEnum):
    """Kinds of documents."""

    SERVICE = "service"
    ENGINE = "engine"
    APPLICATION = "application"
    TENANT = "tenant"
    POLICY = "policy"
    DRAIN = "drain"


Count = Annotated[int, msgspec.Meta(ge=1)]
"""An integer of at least 1."""

Seconds = Annotated[float, msgspec.Meta(gt=0)]
"""A duration in seconds, above 0."""

Rate = Annotated[float, msgspec.Meta(gt=0)]
"""Events per second, above 0."""

Money = Annotated[int, msgspec.Meta(ge=0)]
"""An amount of money in millionths of the tenant's currency unit."""


class _Body(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of document bodies: unknown fields are errors."""


class ServiceBody(_Body, frozen=True):
    """A service: the models and tools that it may use, and its policy."""

    models: tuple[str, ...] = ()
    tools: tuple[str, ...] = ()
    policy: str | None = None


class EngineBody(_Body, frozen=True):
    """A model engine: its address, zone, models and capacity.

    ``cache_tokens`` is the size of its prefix cache in tokens.
    """

    address: Address
    zone: str
    models: tuple[str, ...]
    max_batch: Count = 16
    cache_tokens: Count = 100_000


class ToolBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A tool of an application.

    Calls of a ``repeatable`` tool are retried when their outcome is unknown; calls of other
    tools run at most once. ``price_micros`` is reserved from the program's budget.
    """

    name: str
    repeatable: bool = False
    offers_status: bool = True
    timeout_s: Seconds = 10.0
    price_micros: Money = 0


class ApplicationBody(_Body, frozen=True):
    """An application and its tools."""

    address: Address
    zone: str
    tools: tuple[ToolBody, ...]
    max_in_flight: Count = 64


class TenantBody(_Body, frozen=True):
    """A tenant: its service and limits.

    ``max_programs`` limits the running programs in one region, sub-agents not counted.
    """

    service: str
    default_budget: Amounts = Amounts(tokens=200_000, calls=470, money_micros=0)
    max_budget: Amounts = Amounts(tokens=2_000_000, calls=4_700, money_micros=10**12)
    max_programs: Count = 1_000
    max_calls_in_flight: Count = 64
    calls_per_second: Rate = 100.0


class PolicyBody(_Body, frozen=True):
    """A Starlark policy; ``max_steps`` limits the steps of one evaluation."""

    source: str
    max_steps: Count = 20_000


class DrainKind(enum.StrEnum):
    """Kinds of targets that can be drained."""

    ENGINE = "engine"
    APPLICATION = "application"
    NODE = "node"


class DrainBody(_Body, frozen=True):
    """Drains an engine, application or node: it receives no new work."""

    target_kind: DrainKind
    target: str


DocumentBody = ServiceBody | EngineBody | ApplicationBody | TenantBody | PolicyBody | DrainBody

BODY_TYPES: dict[DocumentKind, type[DocumentBody]] = {
    DocumentKind.SERVICE: ServiceBody,
    DocumentKind.ENGINE: EngineBody,
    DocumentKind.APPLICATION: ApplicationBody,
    DocumentKind.TENANT: TenantBody,
    DocumentKind.POLICY: PolicyBody,
    DocumentKind.DRAIN: DrainBody,
}
