"""Tracks the requests that wait for capacity, by service.

Owns one ``CapacityWaits`` for each service of the configuration.
"""

from collections.abc import Callable, Iterable

import msgspec

from passlane.decisions.order.service_capacity import ServiceCapacity
from passlane.decisions.placement.request_placement import NodeLocation
from passlane.messages.routes import RoutedService
from passlane.relay.capacity_waits import CapacityWaits


class _ServiceKey(msgspec.Struct, frozen=True):
    """Identifies a service's waits; a service that changes between plain and model has new ones."""

    name: str
    is_for_model: bool

    @classmethod
    def of(cls, service: RoutedService) -> "_ServiceKey":
        return cls(service.name, service.tokens_per_event > 0)


class ServiceWaits:
    """The waits of each service; bounded by the number of services in the configuration.

    Parameters
    ----------
    draw
        Returns a uniform random number from 0 to 1, for jitter.
    """

    def __init__(self, node: NodeLocation, draw: Callable[[], float]) -> None:
        self._node = node
        self._draw = draw
        self._by_service: dict[_ServiceKey, CapacityWaits] = {}

    def for_service(self, service: RoutedService) -> CapacityWaits:
        """Return the waits of a service."""
        key = _ServiceKey.of(service)
        waits = self._by_service.get(key)
        if waits is None:
            queue = ServiceCapacity(self._node, is_for_model=key.is_for_model)
            waits = CapacityWaits(queue, self._draw)
            self._by_service[key] = waits
        return waits

    def retain(self, services: Iterable[RoutedService]) -> None:
        """Drop all services but these; requests that already wait there are not affected."""
        retained = {_ServiceKey.of(service) for service in services}
        self._by_service = {key: self._by_service[key] for key in retained & set(self._by_service)}
