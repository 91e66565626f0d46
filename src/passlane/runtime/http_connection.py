"""Single HTTP/1.1 connections of httpcore, without its pools, proxies and certificates.

Skipping the initialization of ``httpcore`` avoids importing these and saves memory.
"""

from h11 import InformationalResponse

from passlane.runtime.packages import initialization_skipped

with initialization_skipped("httpcore", "httpcore._async"):
    from httpcore._async.http11 import AsyncHTTP11Connection
    from httpcore._backends.base import AsyncNetworkStream
    from httpcore._exceptions import (
        LocalProtocolError,
        NetworkError,
        ProtocolError,
        ReadError,
        RemoteProtocolError,
    )
    from httpcore._models import URL, Origin, Request, Response

__all__ = [
    "URL",
    "AsyncHTTP11Connection",
    "AsyncNetworkStream",
    "InformationalResponse",
    "LocalProtocolError",
    "NetworkError",
    "Origin",
    "ProtocolError",
    "ReadError",
    "RemoteProtocolError",
    "Request",
    "Response",
]
