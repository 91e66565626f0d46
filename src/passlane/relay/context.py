"""Gathers what one request is served with: the request, its route and tenant, and the node's parts.

Owns nothing; what it derives (where the request may go, what its turn demands) is plain.
"""

import msgspec

from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.inputs.relayed_call import RelayedCall
from passlane.decisions.placement.request_placement import NodePlace, PlacementKey
from passlane.decisions.placement.shared_parts import large_shared_part
from passlane.messages.placement import TurnDemand
from passlane.messages.routes import Route, RoutedService
from passlane.relay.backends import RelayBackends
from passlane.relay.request_quota import RequestQuota
from passlane.relay.room_waits import RoomWaits
from passlane.routes.tenants import Identity


class RequestContext(msgspec.Struct, frozen=True):
    """One request, by whom and on which route, and what it may use."""

    call: RelayedCall
    route: Route
    service: RoutedService
    identity: Identity
    quota: RequestQuota
    node: NodePlace
    registry: BackendRegistry
    backends: RelayBackends
    waits: RoomWaits

    @property
    def is_for_model(self) -> bool:
        """Whether the request goes to model engines."""
        return self.service.tokens_per_event > 0

    @property
    def engine_priority(self) -> int | None:
        """Its priority at an engine, 0 first; ``None`` for other back ends."""
        return self.identity.engine_priority_on(self.route) if self.is_for_model else None

    @property
    def turn_demand(self) -> TurnDemand:
        """What decides when and where a turn runs; times are told when it asks."""
        parts = self.call.prompt_parts
        shares = len(parts) > 1
        return TurnDemand(
            service=self.service.name,
            route=self.route.name,
            urgency=self.identity.urgency_on(self.route),
            zone=self.node.zone,
            tenant=self.identity.tenant_name,
            prompt_tokens=sum(part.tokens for part in parts),
            shared_part=parts[0].part_id if shares else "",
            shared_tokens=parts[0].tokens if shares else 0,
            memory_tokens=self.service.memory_tokens,
        )

    def placement_key(self, used_last: str, assigned: str = "") -> PlacementKey:
        """Return what decides where the request goes.

        Parameters
        ----------
        used_last
            The engine that the request's program used last; empty if unknown.
        assigned
            The engine at which it has a place; empty if it has none.
        """
        program = self.call.program
        return PlacementKey(
            affinity=program.program_id if program is not None and self.is_for_model else "",
            node=self.node,
            used_last=used_last,
            assigned=assigned,
            shared_part=large_shared_part(self.call.prompt_parts) if self.is_for_model else "",
        )
