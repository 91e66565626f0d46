"""Requests of nodes for the quota of tenants, the answers, and replicated usage.

The leader of the store group grants the requests of all nodes and reports the granted usage to
the other replicas.
"""

import enum

import msgspec

from passlane.messages.base import Message


class QuotaPurpose(enum.StrEnum):
    """Relation of a request to the program that it belongs to."""

    BEGIN_PROGRAM = "begin_program"
    """The first request of a program: more requests follow if it is granted."""
    CONTINUE_PROGRAM = "continue_program"
    """A further request of a running program, whose work is lost if it is refused."""
    STANDALONE = "alone"
    """The request belongs to no program."""


class QuotaLimit(msgspec.Struct, frozen=True, kw_only=True):
    """A tenant's rate limit over all nodes, as of one version of the configuration."""

    tenant: str
    rate_per_s: float
    burst: float
    version: int


class QuotaRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Requests quota for a request now, or for requests that are expected to follow.

    Attributes
    ----------
    use
        Relation of the request to its program; ``None`` if there is no request now.
    route
        Name of the route of a turn; empty for other requests.
    ahead
        Number of further requests that are expected soon.
    sent_after_s
        With ``use`` ``None``: seconds since the grant of a request that was sent only now, because
        it waited for a back end; it counts from now on. 0 for none.
    """

    limit: QuotaLimit
    use: QuotaPurpose | None
    route: str = ""
    ahead: int = 0
    sent_after_s: float = 0.0


class TenantUsage(msgspec.Struct, frozen=True, omit_defaults=True):
    """Requests that were granted to a tenant.

    Attributes
    ----------
    granted
        Number of requests.
    last_in_s
        Time from now until the last of them may be sent.
    moved
        Number of requests, reported here or earlier, that are sent only now and so count from
        now on. Builds without this attribute count them from the time of their grant.
    """

    tenant: str
    granted: int
    last_in_s: float = 0.0
    moved: int = 0


class RecordedUsage(msgspec.Struct, frozen=True):
    """Usage that was reported to the replicas at ``group_s`` on the group's clock."""

    usage: TenantUsage
    group_s: float


class UsageSnapshot(msgspec.Struct, frozen=True):
    """A replica's record of the grants of the last window, as stored in a snapshot.

    Attributes
    ----------
    noted
        Usage reports, oldest first.
    newest_s
        The newest reported time on the group's clock.
    shift_s
        Offset that is added to the times that leaders report.
    """

    noted: tuple[RecordedUsage, ...]
    newest_s: float
    shift_s: float


class DrawQuota(Message, frozen=True):
    """Requests quota apart from a turn's reservation or settlement."""

    draw: QuotaRequest


class QuotaGranted(Message, frozen=True):
    """The request may be sent ``start_after_s`` from now.

    ``ahead`` further requests may be sent within
    ``decisions.limits.allowances.ADVANCE_GRANT_TTL_S``.
    """

    start_after_s: float = 0.0
    ahead: int = 0


class QuotaRefused(Message, frozen=True, kw_only=True):
    """The request would exceed the tenant's limit.

    Attributes
    ----------
    retry_after_s
        Time until the request is expected to be granted.
    used
        Requests that count against the current window.
    capacity
        Maximum requests in a window.
    version
        Version of the configuration that sets the limit.
    """

    retry_after_s: float
    used: float
    capacity: float
    version: int


QuotaAnswer = QuotaGranted | QuotaRefused
