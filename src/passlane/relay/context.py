"""Bundles what one request is served with: call, route, tenant, and the node's components.

Owns nothing; it also derives the placement key and the demand of a turn from these.
"""

import msgspec

from passlane.decisions.admission.answer_room import AnswerRoom
from passlane.decisions.admission.history_room import HistoryRoom
from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.failure.request_identity import request_key
from passlane.decisions.inputs.relayed_call import RelayedCall
from passlane.decisions.placement.request_placement import NodeLocation, PlacementKey
from passlane.decisions.placement.shared_parts import large_shared_part
from passlane.errors import Verdict
from passlane.messages.listing import BackendRecord
from passlane.messages.placement import TurnDemand
from passlane.messages.routes import Route, RoutedService
from passlane.messages.streams import StreamOrigin
from passlane.relay.announced_versions import AnnouncedVersions
from passlane.relay.backends import RelayBackends
from passlane.relay.begun_streams import BegunStreams
from passlane.relay.capacity_waits import CapacityWaits
from passlane.relay.engine_ends import EngineEndWatch
from passlane.relay.forwarded_outputs import ForwardedOutputs
from passlane.relay.observed_attempts import ObservedAttempt
from passlane.relay.refused_requests import RefusedRequests
from passlane.relay.request_quota import RequestQuota
from passlane.routes.tenants import Identity


class RequestContext(msgspec.Struct, frozen=True):
    """One request with its route, its tenant and the components that serve it.

    Attributes
    ----------
    origin
        Where the stream began that the request resumes; ``None`` if it resumes none.
    """

    call: RelayedCall
    route: Route
    service: RoutedService
    identity: Identity
    quota: RequestQuota
    node: NodeLocation
    registry: BackendRegistry
    backends: RelayBackends
    waits: CapacityWaits
    streams: BegunStreams
    outputs: ForwardedOutputs
    versions: AnnouncedVersions
    engine_ends: EngineEndWatch
    refused: RefusedRequests
    histories: HistoryRoom
    answers: AnswerRoom
    origin: StreamOrigin | None = None

    @property
    def is_for_model(self) -> bool:
        """Whether the request goes to model engines."""
        return self.service.tokens_per_event > 0

    @property
    def request_key(self) -> str:
        """Identifies the request over all its attempts; computed anew each time."""
        return request_key(self.call, self.identity.tenant_name)

    def attempt_at(self, backend: BackendRecord) -> ObservedAttempt:
        """Return an attempt at this request for the watch of engines that end."""
        return ObservedAttempt(
            self.request_key, self.call.request_id, backend, self.service.health_path
        )

    async def require_allowed(self, verdict: Verdict) -> None:
        """Check that not too many engines have ended under the request; see ``RefusedRequests``.

        Waits for a short time while the fate of engines is unknown.
        """
        if not self.refused.is_empty:
            await self.refused.require_allowed(self.request_key, verdict)

    def require_not_certain(self) -> None:
        """Check that a request that has not run is not refused for certain."""
        if not self.refused.is_empty:
            self.refused.require_not_certain(self.request_key)

    def require_not_refused(self, verdict: Verdict) -> None:
        """Check the same as ``require_allowed`` without waiting."""
        if not self.refused.is_empty:
            self.refused.require_not_refused(self.request_key, verdict)

    @property
    def engine_priority(self) -> int | None:
        """Its priority at an engine, 0 is the most urgent; ``None`` for other backends."""
        return self.identity.engine_priority_on(self.route) if self.is_for_model else None

    @property
    def turn_demand(self) -> TurnDemand:
        """Inputs for scheduling and placing a turn; the reservation adds the remaining times."""
        parts = self.call.prompt_parts
        has_shared_prefix = len(parts) > 1
        return TurnDemand(
            service=self.service.name,
            route=self.route.name,
            urgency=self.identity.queue_rank_on(self.route),
            zone=self.node.zone,
            tenant=self.identity.tenant_name,
            prompt_tokens=sum(part.tokens for part in parts),
            shared_part=parts[0].part_id if has_shared_prefix else "",
            shared_tokens=parts[0].tokens if has_shared_prefix else 0,
            memory_tokens=self.service.memory_tokens,
            software_version=self.origin.software_version if self.origin is not None else "",
        )

    def placement_key(self, used_last: str, assigned: str = "") -> PlacementKey:
        """Return the inputs for the choice of an engine.

        Parameters
        ----------
        used_last
            The engine that the request's program used last; empty if unknown.
        assigned
            The engine at which a slot is assigned to the request; empty without one.
        """
        program = self.call.program
        return PlacementKey(
            affinity=program.program_id if program is not None and self.is_for_model else "",
            node=self.node,
            used_last=used_last,
            assigned=assigned,
            shared_part=large_shared_part(self.call.prompt_parts) if self.is_for_model else "",
        )
