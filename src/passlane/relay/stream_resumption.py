"""Finds where a stream began that a request resumes, and refuses what can't go on.

Owns nothing. The decision is made in ``decisions.placement.stream_versions``; where streams began
is known to ``relay.begun_streams`` and to the leader of the store group. Log line:
``stream_resumption_decided``.
"""

import anyio
import msgspec

from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.failure.retry_after import retry_after_outage_s
from passlane.decisions.inputs.relayed_call import RelayedCall
from passlane.decisions.placement.stream_versions import (
    OriginSource,
    Resumption,
    ServiceVersions,
    resume_known,
    resume_unreported,
)
from passlane.errors import PasslaneError
from passlane.messages.routes import Route
from passlane.messages.streams import StreamOrigin
from passlane.observability.logging import get_logger
from passlane.relay.begun_streams import BegunStreams
from passlane.relay.end_reasons import RequestEndReason
from passlane.relay.request_errors import Refusal, RequestRefusedError
from passlane.turns.client import TurnStoreClient

_log = get_logger(__name__)


class ResumingRequest(msgspec.Struct, frozen=True):
    """A request on a route, and the service that a new stream would go to."""

    call: RelayedCall
    route: Route
    service: str

    @property
    def is_resumption(self) -> bool:
        """Whether the request resumes a stream instead of beginning one."""
        names_stream = self.call.last_event_id is not None or self.call.resumes is not None
        return self.route.is_resumable and names_stream

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
        """Decide by this node's own record, by the store's, or by the list of backends."""
        stream_id = request.call.resumes
        if stream_id is None:
            return resume_unreported(request.call.request_id, self._versions(request.service))
        own = self._streams.find_own(stream_id)
        if own is not None:
            return resume_known(own, request.services, OriginSource.OWN)
        timeout_s = request.call.deadline_at - anyio.current_time()
        stored = await self._streams.find_at_store(stream_id, timeout_s=timeout_s)
        if stored is not None:
            return resume_known(stored, request.services, OriginSource.STORE)
        return resume_unreported(stream_id, self._versions(request.service))

    def _versions(self, service: str) -> ServiceVersions:
        now = anyio.current_time()
        updated_at = self._registry.updated_at
        return ServiceVersions(
            service=service,
            recent=self._registry.recent_versions(service, now),
            list_age_s=now - updated_at if updated_at is not None else None,
        )

    def _log(self, request: ResumingRequest, decided: Resumption) -> None:
        origin = decided.origin
        versions = self._versions(request.service)
        age_s = versions.list_age_s
        _log.info(
            "stream_resumption_decided",
            request_id=request.call.request_id,
            resumes=request.call.resumes,
            last_event_id=request.call.last_event_id,
            source=decided.source.value,
            service=origin.service if origin is not None else None,
            software_version=origin.software_version if origin is not None else None,
            began_at=origin.instance if origin is not None else None,
            recent_versions=sorted(versions.recent),
            list_age_s=round(age_s, 3) if age_s is not None else None,
        )
