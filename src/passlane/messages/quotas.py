"""What a node asks of the one that grants tenants' requests, and what it is told."""

import enum

import msgspec

from passlane.messages.base import Message


class QuotaUse(enum.StrEnum):
    """What a request means to the program that it belongs to."""

    BEGIN_PROGRAM = "begin_program"
    """The first of a program: more will follow if it is granted."""
    CONTINUE_PROGRAM = "continue_program"
    """One of a program under way: without it all that was done is lost."""
    ALONE = "alone"
    """It belongs to no program."""


class QuotaLimit(msgspec.Struct, frozen=True, kw_only=True):
    """A tenant's limit over all nodes, as of one version of the configuration."""

    tenant: str
    rate_per_s: float
    burst: float
    version: int


class QuotaDraw(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for a request now, or for requests that are expected to follow.

    Attributes
    ----------
    use
        What the request is for; ``None`` if there is no request now.
    route
        Name of the route of a turn; empty for other requests.
    ahead
        Requests wanted for the next moment, beyond that.
    """

    limit: QuotaLimit
    use: QuotaUse | None
    route: str = ""
    ahead: int = 0


class TenantUsage(msgspec.Struct, frozen=True, omit_defaults=True):
    """Requests that were granted to a tenant; the last of them for ``last_in_s`` from now.

    Attributes
    ----------
    moved
        Requests that were told of earlier, or are told of here, and are sent only now: they count
        from now on. A build that doesn't know it counts them from the moment of their grant.
    """

    tenant: str
    granted: int
    last_in_s: float = 0.0
    moved: int = 0


class NotedUsage(msgspec.Struct, frozen=True):
    """What replicas were told of grants at ``group_s`` on the group's clock."""

    usage: TenantUsage
    group_s: float


class UsageSnapshot(msgspec.Struct, frozen=True):
    """What a replica knows of the grants of the last window, as it stands in a snapshot.

    Attributes
    ----------
    newest_s
        The newest moment heard of, on the group's clock.
    shift_s
        By how much moments that leaders tell are moved on.
    """

    noted: tuple[NotedUsage, ...]
    newest_s: float
    shift_s: float


class DrawQuota(Message, frozen=True):
    """Carries a draw that goes with no turn."""

    draw: QuotaDraw


class QuotaGranted(Message, frozen=True):
    """The request may be sent ``start_after_s`` from now, and ``ahead`` more soon.

    Those ahead may be sent within ``quotas.allowances.ADVANCE_GRANT_TTL_S``.
    """

    start_after_s: float = 0.0
    ahead: int = 0


class QuotaRefused(Message, frozen=True, kw_only=True):
    """The tenant's limit does not hold the request.

    Of the ``capacity`` of a window, by the limit of the configuration's ``version``, so much
    is ``used``.
    """

    retry_after_s: float
    used: float
    capacity: float
    version: int


QuotaAnswer = QuotaGranted | QuotaRefused
