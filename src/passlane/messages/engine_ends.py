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


class RefusedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that is sent to no further engine for ``remaining_s`` seconds."""

    request_key: str
    remaining_s: float
