"""Bodies of the documents that operators submit, by kind.

A document file is TOML with ``kind``, ``name`` and the fields of the body below.
Units stand in the field names.
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
"""A whole number from 1."""

Seconds = Annotated[float, msgspec.Meta(gt=0)]
"""A time in seconds, above 0."""

Rate = Annotated[float, msgspec.Meta(gt=0)]
"""Events a second, above 0."""

Money = Annotated[int, msgspec.Meta(ge=0)]
"""Money in millionths of the tenant's currency unit."""


class _Body(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of document bodies: unknown fields are errors."""


class ServiceBody(_Body, frozen=True):
    """A service: the models and tools it may use and the policy that governs it."""

    models: tuple[str, ...] = ()
    tools: tuple[str, ...] = ()
    policy: str | None = None


class EngineBody(_Body, frozen=True):
    """A model engine and what it can do.

    ``cache_tokens`` is the size of its prefix cache in tokens.
    """

    address: Address
    zone: str
    models: tuple[str, ...]
    max_batch: Count = 16
    cache_tokens: Count = 100_000


class ToolBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A tool of an application.

    ``repeatable`` tools may be sent again after a doubtful failure; others run at
    most once. ``price_micros`` is reserved from the program's budget.
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

    ``max_programs`` counts programs under way in one region, sub-agents left out.
    """

    service: str
    default_budget: Amounts = Amounts(tokens=200_000, calls=470, money_micros=0)
    max_budget: Amounts = Amounts(tokens=2_000_000, calls=4_700, money_micros=10**12)
    max_programs: Count = 1_000
    max_calls_in_flight: Count = 64
    calls_per_second: Rate = 100.0


class PolicyBody(_Body, frozen=True):
    """A Starlark policy; see docs/design/policies.md for the functions it may define."""

    source: str
    max_steps: Count = 20_000


class DrainKind(enum.StrEnum):
    """Kinds of things that can be drained."""

    ENGINE = "engine"
    APPLICATION = "application"
    NODE = "node"


class DrainBody(_Body, frozen=True):
    """Marks an engine, application or node as leaving: it receives no new work."""

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
