"""How a child of a supervisor is started and when it is restarted."""

import enum
from collections.abc import Awaitable, Callable

import msgspec

DEFAULT_MAX_RESTARTS = 5
DEFAULT_WINDOW_S = 30.0


class RestartRule(enum.StrEnum):
    """When a child that ended is started again.

    ``PERMANENT`` always, ``TRANSIENT`` only after an error, ``TEMPORARY`` never; an
    error of a temporary child is logged and harms nothing else.
    """

    PERMANENT = "permanent"
    TRANSIENT = "transient"
    TEMPORARY = "temporary"


class ChildSpecification(msgspec.Struct, frozen=True):
    """One child of a supervisor.

    Attributes
    ----------
    name
        Shown in logs and errors.
    start
        Runs the child until it ends; called anew, with fresh state, at each restart.
    restart
        When to start it again.
    max_restarts, window_s
        More restarts than this within the window fail the supervisor.
    """

    name: str
    start: Callable[[], Awaitable[None]]
    restart: RestartRule = RestartRule.PERMANENT
    max_restarts: int = DEFAULT_MAX_RESTARTS
    window_s: float = DEFAULT_WINDOW_S
