"""Follows the platform's lagging list of machines that are about to leave."""

import anyio
import msgspec

from passlane.identifiers import EngineId, NodeId
from passlane.messages.backends import PlatformList
from passlane.messages.common import Address
from passlane.observability.logging import get_logger
from passlane.runtime.interfaces import HttpClient, HttpRequest

POLL_S = 1.0
"""Seconds between two requests for the list."""

OK_STATUS = 200
LEAVING = "leaving"
"""State of a machine that is about to go."""

_log = get_logger(__name__)
_decoder = msgspec.json.Decoder(PlatformList)


class PlatformWatch:
    """Keeps the names on the list that are leaving.

    A machine is called like the node or engine on it. The list lags and may be out of
    reach, so it only ever *adds* to what is known: nothing is taken for dead or alive
    because of it, and what it last said stands until it says otherwise.
    """

    def __init__(self, http_client: HttpClient, address: Address | None) -> None:
        self._http_client = http_client
        self._address = address
        self._leaving: tuple[str, ...] = ()
        self._is_read = True

    @property
    def leaving_engines(self) -> tuple[EngineId, ...]:
        """Names that may be engines; a node knows which of them are."""
        return tuple(EngineId(name) for name in self._leaving)

    @property
    def leaving_nodes(self) -> frozenset[NodeId]:
        """Names that may be nodes."""
        return frozenset(NodeId(name) for name in self._leaving)

    async def run(self) -> None:
        """Fetch the list, again and again, until cancelled."""
        while self._address is not None:
            await self._fetch(self._address)
            await anyio.sleep(POLL_S)

    async def _fetch(self, address: Address) -> None:
        request = HttpRequest(method="GET", address=address, path="/v1/machines")
        try:
            with anyio.fail_after(POLL_S):
                async with self._http_client.exchange(request) as response:
                    body = b"".join([chunk async for chunk in response.chunks()])
            if response.status != OK_STATUS:
                self._note_failure(f"status {response.status}")
                return
            listed = _decoder.decode(body)
        except (OSError, msgspec.DecodeError) as error:
            self._note_failure(str(error) or type(error).__name__)
            return
        self._is_read = True
        self._leaving = tuple(
            sorted(machine.name for machine in listed.machines if machine.state == LEAVING)
        )

    def _note_failure(self, reason: str) -> None:
        """Log that the list can't be read, once until it can be read again."""
        if self._is_read:
            _log.info("machine_list_not_read", reason=reason)
        self._is_read = False
