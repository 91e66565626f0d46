"""Finds where a stream began that a request resumes, and refuses what can't go on.

Owns nothing. The decision is made in ``decisions.placement.stream_versions``; where streams began
is known to ``relay.begun_streams`` and to the leader of the store group. Log lines:
``stream_resumption_decided``, ``stream_versions_compared``.
"""

from collections.abc import Collection

import anyio
import msgspec

from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.failure.retry_after import retry_after_outage_s
from passlane.decisions.inputs.relayed_call import RelayedCall
from passlane.decisions.placement.stream_versions import (
    OriginSource,
    Resumption,
    RouteVersions,
    VersionOfService,
    resume_known,
    resume_unreported,
)
from passlane.errors import PasslaneError
from passlane.messages.routes import Route
from passlane.messages.streams import ServedVersion, StreamOrigin
from passlane.observability.logging import get_logger
from passlane.relay.begun_streams import BegunStreams
from passlane.relay.end_reasons import RequestEndReason
from passlane.relay.request_errors import Refusal, RequestRefusedError
from passlane.turns.client import TurnStoreClient

_log = get_logger(__name__)


class ResumingRequest(msgspec.Struct, frozen=True):
    """A request on a route."""

    call: RelayedCall
    route: Route

    @property
    def is_resumption(self) -> bool:
        """Whether the request resumes a stream instead of beginning one."""
        names_stream = self.call.last_event_id is not None or self.call.resumes is not None
        return self.route.is_resumable and names_stream

    @property
    def address(self) -> str:
        """Host and path of the request."""
        return self.call.host.lower() + self.call.path

    @property
    def services(self) -> frozenset[str]:
        """Services of the route."""
        return frozenset(share.service for share in self.route.shares if share.weight > 0)


class StreamResumption:
    """Finds the origins of the streams that requests resume."""

    def __init__(
        self, streams: BegunStreams, registry: BackendRegistry, store: TurnStoreClient
    ) -> None:
        self._streams = streams
        self._registry = registry
        self._store = store

    async def find_origin(self, request: ResumingRequest) -> StreamOrigin | None:
        """Return where the resumed stream began; ``None`` if the request begins a stream.

        Raises
        ------
        RequestRefusedError
            When the stream can't go on, or the store group did not answer.
        """
        if not request.is_resumption:
            return None
        try:
            decided = await self._decide(request)
        except PasslaneError as error:
            self._log(request, Resumption(OriginSource.STORE_DID_NOT_ANSWER))
            retry_after_s = retry_after_outage_s(self._store.outage_s)
            reason = RequestEndReason.STORE_DID_NOT_ANSWER
            refusal = Refusal.of(reason, retry_after_s, error.code.value)
            raise RequestRefusedError(refusal) from error
        self._log(request, decided)
        if decided.origin is not None:
            return decided.origin
        # Nothing is known to change this, so there is no time after which to retry.
        if decided.source is OriginSource.SERVICE_LEFT_ROUTE:
            raise RequestRefusedError(Refusal.of(RequestEndReason.NO_ENGINE_OF_VERSION))
        raise RequestRefusedError(Refusal.of(RequestEndReason.STREAM_ORIGIN_UNKNOWN))

    async def _decide(self, request: ResumingRequest) -> Resumption:
        """Decide by this node's own record, by the store's, or by the versions of the route."""
        stream_id = request.call.resumes
        own = self._streams.find_own(stream_id) if stream_id is not None else None
        if own is not None:
            return resume_known(own, request.services, OriginSource.OWN)
        timeout_s = request.call.deadline_at - anyio.current_time()
        found = await self._streams.find_at_store(
            stream_id or "", request.address, timeout_s=timeout_s
        )
        if found.origin is not None:
            return resume_known(found.origin, request.services, OriginSource.STORE)
        versions = self._versions(request, found.served_versions)
        self._log_versions(request, versions, found.term)
        decided = resume_unreported(stream_id or request.call.request_id, versions)
        if decided.origin is None:
            return decided
        return resume_known(decided.origin, request.services, decided.source)

    def _versions(
        self, request: ResumingRequest, announced: Collection[ServedVersion] | None
    ) -> RouteVersions:
        now = anyio.current_time()
        updated_at = self._registry.updated_at
        listed = {
            VersionOfService(service, version)
            for service in request.services
            for version in self._registry.recent_versions(service, now)
        }
        recorded = None
        if announced is not None:
            recorded = frozenset(VersionOfService(v.service, v.software_version) for v in announced)
        return RouteVersions(
            listed=frozenset(listed),
            announced=recorded,
            list_age_s=now - updated_at if updated_at is not None else None,
        )

    def _log_versions(
        self, request: ResumingRequest, versions: RouteVersions, store_term: int
    ) -> None:
        """Log at which versions a stream may have begun, and the term of the store that says so."""
        age_s = versions.list_age_s
        announced = versions.announced
        _log.info(
            "stream_versions_compared",
            request_id=request.call.request_id,
            listed=sorted(versions.listed),
            announced=sorted(announced) if announced is not None else None,
            list_age_s=round(age_s, 3) if age_s is not None else None,
            store_term=store_term,
        )

    def _log(self, request: ResumingRequest, decided: Resumption) -> None:
        origin = decided.origin
        _log.info(
            "stream_resumption_decided",
            request_id=request.call.request_id,
            resumes=request.call.resumes,
            last_event_id=request.call.last_event_id,
            source=decided.source.value,
            service=origin.service if origin is not None else None,
            software_version=origin.software_version if origin is not None else None,
            began_at=origin.instance if origin is not None else None,
        )
