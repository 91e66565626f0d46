"""Single HTTP/1.1 connections of httpcore, without its pools, proxies and certificates.

Skipping the initialization of ``httpcore`` avoids importing these and saves memory.
"""

from passlane.runtime.packages import initialization_skipped

with initialization_skipped("httpcore", "httpcore._async"):
    from httpcore._async.http11 import AsyncHTTP11Connection
    from httpcore._backends.base import AsyncNetworkStream
    from httpcore._exceptions import LocalProtocolError, NetworkError, ProtocolError, ReadError
    from httpcore._models import URL, Origin, Request, Response

__all__ = [
    "URL",
    "AsyncHTTP11Connection",
    "AsyncNetworkStream",
    "LocalProtocolError",
    "NetworkError",
    "Origin",
    "ProtocolError",
    "ReadError",
    "Request",
    "Response",
]
