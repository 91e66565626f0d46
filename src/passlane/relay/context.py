"""What one request is served with."""

import msgspec

from passlane.messages.routes import Route, RoutedService
from passlane.relay.backends import RelayBackends
from passlane.relay.calls import RelayedCall
from passlane.relay.placement import NodePlace, PlacementKey
from passlane.relay.registry import BackendRegistry
from passlane.relay.request_quota import RequestQuota
from passlane.relay.room_waits import RoomWaits
from passlane.relay.shared_parts import large_shared_part
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
        """Rank of the request at an engine; ``None`` for other back ends."""
        return self.identity.priority_on(self.route) if self.is_for_model else None

    def placement_key(self, used_last: str) -> PlacementKey:
        """Return what decides where the request goes.

        Parameters
        ----------
        used_last
            The engine that the request's program used last; empty if unknown.
        """
        program = self.call.program
        return PlacementKey(
            affinity=program.program_id if program is not None and self.is_for_model else "",
            node=self.node,
            used_last=used_last,
            shared_part=large_shared_part(self.call.prompt_parts) if self.is_for_model else "",
        )
