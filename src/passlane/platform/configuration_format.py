"""Converts between the platform's configuration document and ``RouteConfiguration``."""

from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.number_bounds import Count, FiniteAmount, FiniteNumber, SignedNumber
from passlane.messages.routes import (
    RequestLimits,
    Route,
    RouteConfiguration,
    RoutedService,
    RouteKind,
    ServiceShare,
    Tenant,
)
from passlane.routes.tenants import digest_of_key

MILLISECONDS_PER_SECOND = 1_000.0
FULL_WEIGHT = 1
"""Weight of the only service of a route."""
MAX_REASON_CHARACTERS = 300

_Kind = Literal["safe", "unsafe", "streaming"]
_KINDS: dict[_Kind, RouteKind] = {
    "safe": RouteKind.REPEATABLE,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}
_WIRE_KINDS: dict[RouteKind, _Kind] = {kind: word for word, kind in _KINDS.items()}


class _SplitService(msgspec.Struct, frozen=True):
    service: str
    weight: Count


class _Route(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    host: str
    path_prefix: str
    kind: _Kind = "unsafe"
    timeout_ms: FiniteNumber
    target_latency_ms: FiniteNumber = 0.0
    priority: SignedNumber = 5
    service: str | None = None
    traffic_split: tuple[_SplitService, ...] | None = None
    max_attempts: SignedNumber = 1
    retained: bool = False
    retention_s: FiniteNumber = 0.0
    resumable: bool = False
    target_gap_ms: FiniteNumber = 0.0
    public: bool = False
    sticky: bool = False


class _Engine(msgspec.Struct, frozen=True):
    slots: SignedNumber = 0
    chunk_tokens: Count = 1
    kv_capacity: SignedNumber = 0


class _Service(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    health_path: str = "/"
    max_conns: SignedNumber = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: SignedNumber = 16_384
    max_body_bytes: SignedNumber = 4_194_304
    header_timeout_ms: FiniteNumber = 3_000
    idle_timeout_ms: FiniteNumber = 15_000


_Key = Annotated[str, msgspec.Meta(min_length=1)]


class _Tenant(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    api_keys: tuple[_Key, ...] = ()
    priority: Count | None = None
    rate_per_s: FiniteAmount = 0.0
    burst: FiniteAmount = 0.0


class _Document(msgspec.Struct, frozen=True):
    version: SignedNumber
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


_decoder = msgspec.json.Decoder(_Document)


def parse_configuration(source: bytes) -> RouteConfiguration:
    """Return the configuration in a document, without checking its consistency.

    Raises
    ------
    PasslaneError
        ``INVALID_DOCUMENT`` when the document is not valid JSON, is nested too deeply, or a field
        has another type or is beyond its bound.
    """
    document = _decode(source)
    return RouteConfiguration(
        version=document.version,
        routes=tuple(_route_of(route) for route in document.routes),
        services=tuple(_service_of(service) for service in document.services),
        limits=_limits_of(document.limits),
        source=source,
        tenants=tuple(_tenant_of(tenant) for tenant in document.tenants),
    )


def _decode(source: bytes) -> _Document:
    try:
        # The decoder passes over the bytes of fields that it doesn't know.
        source.decode("utf-8")
        return _decoder.decode(source)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        reason = str(error)[:MAX_REASON_CHARACTERS]
        raise PasslaneError(ErrorCode.INVALID_DOCUMENT, reason) from error
    except RecursionError as error:
        raise PasslaneError(
            ErrorCode.INVALID_DOCUMENT, "the document is nested too deeply"
        ) from error


def encode_configuration(
    configuration: RouteConfiguration, keys_of_tenant: Mapping[str, tuple[str, ...]]
) -> bytes:
    """Return the document that an operator sends for a configuration.

    Parameters
    ----------
    keys_of_tenant
        API keys by tenant, since a configuration contains only their digests.
    """
    document = _Document(
        version=configuration.version,
        routes=tuple(_route_document(route) for route in configuration.routes),
        services=tuple(_service_document(service) for service in configuration.services),
        tenants=tuple(
            _Tenant(
                name=tenant.name,
                api_keys=keys_of_tenant[tenant.name],
                priority=tenant.priority,
                rate_per_s=tenant.rate_per_s,
                burst=tenant.burst,
            )
            for tenant in configuration.tenants
        ),
    )
    return msgspec.json.encode(document)


def _route_document(route: Route) -> _Route:
    (share,) = route.shares
    return _Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_WIRE_KINDS[route.kind],
        timeout_ms=route.timeout_s * MILLISECONDS_PER_SECOND,
        target_latency_ms=route.target_latency_s * MILLISECONDS_PER_SECOND,
        priority=route.priority,
        service=share.service,
        max_attempts=route.max_attempts,
        retained=route.keeps_turns,
        retention_s=route.retention_s,
        resumable=route.is_resumable,
        target_gap_ms=route.target_gap_s * MILLISECONDS_PER_SECOND,
        public=route.is_public,
        sticky=route.is_sticky,
    )


def _service_document(service: RoutedService) -> _Service:
    engine = _Engine(service.slots, service.tokens_per_event, service.memory_tokens)
    return _Service(
        name=service.name,
        health_path=service.health_path,
        max_conns=service.max_connections,
        engine=engine if service.tokens_per_event else None,
    )


def _route_of(route: _Route) -> Route:
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_KINDS[route.kind],
        timeout_s=route.timeout_ms / MILLISECONDS_PER_SECOND,
        target_latency_s=route.target_latency_ms / MILLISECONDS_PER_SECOND,
        priority=route.priority,
        shares=_shares_of(route),
        max_attempts=route.max_attempts,
        keeps_turns=route.retained,
        retention_s=route.retention_s,
        is_resumable=route.resumable,
        target_gap_s=route.target_gap_ms / MILLISECONDS_PER_SECOND,
        is_public=route.public,
        is_sticky=route.sticky,
    )


def _shares_of(route: _Route) -> tuple[ServiceShare, ...]:
    if route.traffic_split:
        return tuple(ServiceShare(split.service, split.weight) for split in route.traffic_split)
    return (ServiceShare(route.service, FULL_WEIGHT),) if route.service is not None else ()


def _tenant_of(tenant: _Tenant) -> Tenant:
    return Tenant(
        name=tenant.name,
        key_digests=tuple(digest_of_key(key) for key in tenant.api_keys),
        priority=tenant.priority,
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
    )


def _service_of(service: _Service) -> RoutedService:
    engine = service.engine
    return RoutedService(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_conns,
        slots=engine.slots if engine is not None else 0,
        tokens_per_event=engine.chunk_tokens if engine is not None else 0,
        memory_tokens=engine.kv_capacity if engine is not None else 0,
    )


def _limits_of(limits: _Limits) -> RequestLimits:
    return RequestLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / MILLISECONDS_PER_SECOND,
        idle_timeout_s=limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
    )
