"""What is known of the engines' lives, and clients for them."""

from passlane.backends.engine_client import EngineClient
from passlane.identifiers import EngineId
from passlane.messages.common import Address
from passlane.runtime.interfaces import HttpClient


class EngineRegistry:
    """Newest incarnation seen of each engine; makes a client for an engine's address."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http
        self._incarnations: dict[EngineId, int] = {}

    def client(self, address: Address) -> EngineClient:
        """Return a client for the engine at ``address``."""
        return EngineClient(self._http, address)

    def incarnation_of(self, engine_id: EngineId) -> int:
        """Return the newest incarnation seen; 0 before the first report."""
        return self._incarnations.get(engine_id, 0)

    def note_incarnation(self, engine_id: EngineId, incarnation: int) -> None:
        """Take in an incarnation as reported; an older one changes nothing."""
        self._incarnations[engine_id] = max(incarnation, self.incarnation_of(engine_id))
