"""Registry of engine incarnations and factory of engine clients."""

from passlane.backends.engine_client import EngineClient
from passlane.identifiers import EngineId
from passlane.messages.common import Address
from passlane.runtime.interfaces import HttpClient


class EngineRegistry:
    """Tracks the newest reported incarnation of each engine and creates engine clients."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http
        self._incarnations: dict[EngineId, int] = {}

    def client(self, address: Address) -> EngineClient:
        """Return a client for the engine at ``address``."""
        return EngineClient(self._http, address)

    def incarnation_of(self, engine_id: EngineId) -> int:
        """Return the newest reported incarnation; 0 before the first report."""
        return self._incarnations.get(engine_id, 0)

    def record_incarnation(self, engine_id: EngineId, incarnation: int) -> None:
        """Record a reported incarnation; an older one is ignored."""
        self._incarnations[engine_id] = max(incarnation, self.incarnation_of(engine_id))
