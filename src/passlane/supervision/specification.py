"""Specification of a supervised child: how it starts and when it is restarted."""

import enum
from collections.abc import Awaitable, Callable

import msgspec

DEFAULT_MAX_RESTARTS = 5
DEFAULT_WINDOW_S = 30.0


class RestartRule(enum.StrEnum):
    """When a child is restarted after it ended.

    ``PERMANENT`` always, ``TRANSIENT`` only after an error, ``TEMPORARY`` never. An
    error of a temporary child is logged and does not affect the supervisor.
    """

    PERMANENT = "permanent"
    TRANSIENT = "transient"
    TEMPORARY = "temporary"


class ChildSpecification(msgspec.Struct, frozen=True):
    """One child of a supervisor.

    Attributes
    ----------
    name
        Name of the child in logs and errors.
    start
        Runs the child until it ends; called again at each restart, with new state.
    restart
        When the child is restarted.
    max_restarts, window_s
        The supervisor fails after more restarts than this within the window; ``None`` restarts
        the child without a limit.
    """

    name: str
    start: Callable[[], Awaitable[None]]
    restart: RestartRule = RestartRule.PERMANENT
    max_restarts: int | None = DEFAULT_MAX_RESTARTS
    window_s: float = DEFAULT_WINDOW_S
