"""Knows who waits for room at which service of a node.

Owns one ``RoomWaits`` for each service of the configuration.
"""

from collections.abc import Callable, Iterable

import msgspec

from passlane.decisions.order.service_room import ServiceRoom
from passlane.decisions.placement.request_placement import NodePlace
from passlane.messages.routes import RoutedService
from passlane.relay.room_waits import RoomWaits


class _ServiceKey(msgspec.Struct, frozen=True):
    """What a service's waits belong to; a service that becomes one of engines begins anew."""

    name: str
    is_for_model: bool

    @classmethod
    def of(cls, service: RoutedService) -> "_ServiceKey":
        return cls(service.name, service.tokens_per_event > 0)


class ServiceWaits:
    """The waits of each service; bounded by the services of the configuration.

    Parameters
    ----------
    draw
        Gives a uniform number from 0 to 1; spreads pauses.
    """

    def __init__(self, node: NodePlace, draw: Callable[[], float]) -> None:
        self._node = node
        self._draw = draw
        self._by_service: dict[_ServiceKey, RoomWaits] = {}

    def of(self, service: RoutedService) -> RoomWaits:
        """Return the waits of a service."""
        key = _ServiceKey.of(service)
        waits = self._by_service.get(key)
        if waits is None:
            room = ServiceRoom(self._node, is_for_model=key.is_for_model)
            waits = RoomWaits(room, self._draw)
            self._by_service[key] = waits
        return waits

    def keep(self, services: Iterable[RoutedService]) -> None:
        """Forget all services but these; requests that wait there go on by themselves."""
        kept = {_ServiceKey.of(service) for service in services}
        self._by_service = {key: self._by_service[key] for key in kept & set(self._by_service)}
