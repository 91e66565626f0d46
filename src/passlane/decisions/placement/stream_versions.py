"""Decides at which engines a stream that broke off may go on.

The outputs of two software versions do not fit together, and engines do not check which version
began a stream. So a stream goes on only at the service and the software version that began it.
Owns nothing. The log line ``backend_chosen`` shows the version of the chosen engine, and
``request_ended`` that of the stream.
"""

import msgspec

from passlane.decisions.backends.registry import ServiceHealth
from passlane.messages.listing import BackendRecord
from passlane.messages.streams import StreamOrigin


def origin_at(record: BackendRecord, stream_id: str) -> StreamOrigin:
    """Return the origin of a stream that an engine begins."""
    return StreamOrigin(
        stream_id=stream_id,
        service=record.service,
        instance=record.incarnation,
        software_version=record.software_version,
    )


def may_continue(origin: StreamOrigin, record: BackendRecord) -> bool:
    """Return whether a stream may go on at an engine.

    1. Never at another service.
    2. At the engine that began it.
    3. At any engine of the same software version. An unknown version equals no other one.
    """
    if record.service != origin.service:
        return False
    if origin.instance and record.incarnation == origin.instance:
        return True
    return bool(origin.software_version) and record.software_version == origin.software_version


def restrict_to_origin(health: ServiceHealth, origin: StreamOrigin | None) -> ServiceHealth:
    """Return a service's health with only the engines at which a stream may go on.

    Without an origin the stream has not begun, and any engine may begin it.
    """
    if origin is None:
        return health
    loads = [load for load in health.loads if may_continue(origin, load.record)]
    return msgspec.structs.replace(health, loads=loads)
