"""Decides at which engines a stream that broke off may go on.

The outputs of two software versions do not fit together, and engines do not check which version
began a stream. So a stream goes on only at the service and the software version that began it.
Owns nothing. The log line ``stream_resumption_decided`` shows the decision on a request that
resumes a stream, ``backend_chosen`` the version of the chosen engine, and ``request_ended`` that of
the stream.
"""

import enum
from collections.abc import Collection
from typing import NamedTuple

import msgspec

from passlane.decisions.backends.registry import ServiceHealth
from passlane.messages.listing import BackendRecord
from passlane.messages.streams import StreamOrigin

FRESH_LIST_S = 3.0
"""Maximum age in seconds of a list from which the version of a stream may be inferred; nodes read
the list themselves before it is that old. Lists of other nodes may be newer and name a version that
this one does not."""


class OriginSource(enum.StrEnum):
    """How it is known, or why it is not, at which version a resumed stream began."""

    OWN = "own"
    """This node forwarded its first event."""
    STORE = "store"
    """The store group's leader has it from the node that forwarded its first event."""
    ONLY_VERSION = "only_version"
    """It was not reported, but its route has had only one version recently."""
    SERVICE_LEFT_ROUTE = "service_left_route"
    """Its service is no longer one of the route's."""
    UNKNOWN = "unknown"
    """It was not reported, and it may have begun at any of several versions."""
    STORE_DID_NOT_ANSWER = "store_did_not_answer"
    """The store group could not be asked."""


class VersionOfService(NamedTuple):
    """A software version of a service; an empty version is an unknown one."""

    service: str
    version: str


class RouteVersions(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of the versions at which streams of one route may have begun.

    Attributes
    ----------
    listed
        Versions of its services that this node's list has named recently.
    announced
        Versions that nodes have announced to the store group before streams began there; ``None``
        if the store group can't tell. A process that has just begun has seen one list, so the list
        alone is no evidence.
    list_age_s
        Seconds since the list was confirmed; ``None`` without a list.
    """

    listed: frozenset[VersionOfService]
    announced: frozenset[VersionOfService] | None
    list_age_s: float | None


class Resumption(msgspec.Struct, frozen=True):
    """The decision on a request that resumes a stream: where the stream began, or why it can't go
    on (``origin`` is ``None``).
    """

    source: OriginSource
    origin: StreamOrigin | None = None


def resume_known(
    origin: StreamOrigin, services: Collection[str], source: OriginSource
) -> Resumption:
    """Decide on a stream whose origin is known: it goes on if its service is still the route's."""
    if origin.service not in services:
        return Resumption(OriginSource.SERVICE_LEFT_ROUTE)
    return Resumption(source, origin)


def resume_unreported(stream_id: str, versions: RouteVersions) -> Resumption:
    """Decide on a stream that no node has reported.

    Its version is certain only if the store group has a single one of its route, which is known,
    if the list names no other, and if the list is fresh.
    """
    is_fresh = versions.list_age_s is not None and versions.list_age_s <= FRESH_LIST_S
    if not is_fresh or not versions.announced:
        return Resumption(OriginSource.UNKNOWN)
    possible = versions.announced | versions.listed
    if len(possible) != 1:
        return Resumption(OriginSource.UNKNOWN)
    (only,) = possible
    if not only.version:
        return Resumption(OriginSource.UNKNOWN)
    origin = StreamOrigin(stream_id=stream_id, service=only.service, software_version=only.version)
    return Resumption(OriginSource.ONLY_VERSION, origin)


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


def is_list_late(origin: StreamOrigin, recent_versions: Collection[str]) -> bool:
    """Return whether the list does not name yet the version of a stream that another node began.

    Otherwise no engine of the version is known to come back.
    """
    return bool(origin.software_version) and origin.software_version not in recent_versions


def restrict_to_origin(health: ServiceHealth, origin: StreamOrigin) -> ServiceHealth:
    """Return a service's health with only the engines at which a stream may go on."""
    loads = [load for load in health.loads if may_continue(origin, load.record)]
    return msgspec.structs.replace(health, loads=loads)
