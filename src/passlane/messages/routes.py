"""The route configuration: which requests go to which services, and within which limits.

A configuration is always replaced as a whole, and its version only increases. The document
that the operator sent is stored together with the parsed form, so that a read returns it
unchanged.
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
    """A service of a route, and its weight among the services of that route."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Rules for the requests of one host whose path has a given prefix.

    Attributes
    ----------
    timeout_s
        Maximum time until a request is answered.
    target_latency_s
        Maximum latency of an answer (of a stream: of its first event) that meets the target.
    priority
        Priority among the routes; 0 is the most urgent.
    max_attempts
        Maximum number of backends that one request may run on.
    keeps_turns
        Whether requests contain only their new input, and passlane stores the history.
    retention_s
        Time for which a turn is stored.
    is_resumable
        Whether a broken stream may be resumed at another engine.
    target_gap_s
        Maximum pause between events that meets the target; 0 without a target.
    is_public
        Whether requests need no API key although there are tenants.
    is_sticky
        Whether a backend is faster with an object that it has processed recently.
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
    """A group of backends that serve the same requests.

    Attributes
    ----------
    tokens_per_event
        Tokens in one event of a stream; 0 for a service whose backends are not engines.
    memory_tokens
        Memory of one engine, in tokens; 0 if unknown.
    """

    name: str
    health_path: str
    max_connections: int
    slots: int = 0
    tokens_per_event: int = 0
    memory_tokens: int = 0


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and the duration of a client's request."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A customer whose requests are authenticated by API keys.

    Attributes
    ----------
    key_digests
        Digests of its API keys, see ``routes.tenants.digest_of_key``.
    priority
        Priority of its requests; ``None`` for the priority of the route.
    rate_per_s
        Maximum requests per second over all nodes; 0 for no limit.
    burst
        Number of requests that may exceed the rate at once.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a rate limit."""
        return self.rate_per_s > 0


class RouteConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """All routes, services and tenants of one version.

    ``source`` is the document as the operator sent it. Without ``tenants``, requests need no
    API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: RequestLimits
    source: bytes
    tenants: tuple[Tenant, ...] = ()


class ReplaceConfiguration(Message, frozen=True):
    """Puts a configuration in force if its version is above the current one."""

    configuration: RouteConfiguration


class ConfigurationReplaced(Message, frozen=True):
    """Answers ``ReplaceConfiguration``.

    ``is_new`` is false if the version was not above the current one.
    """

    version: int
    is_new: bool


class ReadConfiguration(Message, frozen=True):
    """Query to the leader for the newest acknowledged configuration."""


class CurrentConfiguration(Message, frozen=True):
    """The newest configuration; ``None`` before the first."""

    configuration: RouteConfiguration | None
