"""Engines that ended under requests, as nodes and the store group tell each other."""

import msgspec


class EngineEnd(msgspec.Struct, frozen=True, kw_only=True):
    """An engine that ended while it ran a request.

    Attributes
    ----------
    request_key
        Identifies the request over all its attempts; see ``decisions.failure.request_identity``.
    instance
        Incarnation of the engine.
    """

    request_key: str
    instance: str


class AttemptFate(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of an engine after an attempt at a request that it may have run.

    Attributes
    ----------
    request_key, instance
        As in ``EngineEnd``.
    is_alive
        Whether the engine lived on; if not, its fate is unknown.
    """

    request_key: str
    instance: str
    is_alive: bool


class EnginesEnded(msgspec.Struct, frozen=True, kw_only=True):
    """Why a turn is not sent: engines that ended under its request, or whose fate is unknown.

    Attributes
    ----------
    is_certain
        Whether so many are known to have ended; if not, the fate of some is unknown, or other
        attempts are under way.
    """

    request_key: str
    ended: int
    unknown: int
    running: int
    is_certain: bool


class RefusedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that is sent to no further engine for ``remaining_s`` seconds.

    Attributes
    ----------
    is_certain
        Whether so many engines are known to have ended; if not, the fate of some is unknown.
        Older builds send certain ones alone.
    """

    request_key: str
    remaining_s: float
    is_certain: bool = True
