"""The table of routes: which requests go to which services, and within which limits.

A configuration is replaced as a whole. Its version only rises; the document that an
operator sent is kept beside the parsed form, so that a read gives it back unchanged.
"""

import enum

import msgspec

from passlane.messages.base import Message


class RouteKind(enum.StrEnum):
    """How often a request on a route may run."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service and its weight among those that share a route."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host whose path begins with a prefix.

    Attributes
    ----------
    timeout_s
        Longest time a request is held.
    target_latency_s
        Time within which an answer (of a stream: its first event) counts in full.
    priority
        Rank among routes; 0 is the most urgent.
    max_attempts
        Most back ends that one request may run on.
    keeps_turns
        Whether a request brings only its new input and the history is kept here.
    retention_s
        Seconds for which a turn is kept.
    is_resumable
        Whether a broken stream may go on at another engine.
    target_gap_s
        Longest pause between events that counts in full; 0 if there is none.
    is_public
        Whether a request needs no key, where there are tenants.
    is_sticky
        Whether a back end does work faster on an object that it has worked on lately.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    keeps_turns: bool = False
    retention_s: float = 0.0
    is_resumable: bool = False
    target_gap_s: float = 0.0
    is_public: bool = False
    is_sticky: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.REPEATABLE or self.is_resumable


class RoutedService(msgspec.Struct, frozen=True, kw_only=True):
    """A group of back ends that answer the same requests.

    ``tokens_per_event`` is 0 for services that are no model engines; ``memory_tokens`` is what
    one engine holds, 0 if unknown.
    """

    name: str
    health_path: str
    max_connections: int
    slots: int = 0
    tokens_per_event: int = 0
    memory_tokens: int = 0


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a client may send, and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A customer on whose behalf requests come.

    Attributes
    ----------
    key_digests
        Digests of its API keys, see ``routes.tenants.digest_of_key``.
    priority
        Rank of its requests in place of the route's; ``None`` leaves the route's.
    rate_per_s
        Requests a second that it is allowed over all nodes together; 0 for no limit.
    burst
        Requests that may come at once on top of the rate.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether its requests are counted against a rate."""
        return self.rate_per_s > 0


class RouteConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """All routes and services under one version; ``source`` is the document as sent.

    Without ``tenants`` no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: RequestLimits
    source: bytes
    tenants: tuple[Tenant, ...] = ()


class ReplaceConfiguration(Message, frozen=True):
    """Puts a configuration in force if its version is above the one held."""

    configuration: RouteConfiguration


class ConfigurationReplaced(Message, frozen=True):
    """Answers ``ReplaceConfiguration``; ``is_new`` is false for an older version."""

    version: int
    is_new: bool


class ReadConfiguration(Message, frozen=True):
    """Asks the leader for the newest acknowledged configuration."""


class CurrentConfiguration(Message, frozen=True):
    """The newest configuration; ``None`` before the first."""

    configuration: RouteConfiguration | None
