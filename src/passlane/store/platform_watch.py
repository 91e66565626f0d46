"""Polls the platform's list of machines and tracks those that are about to leave.

The list may be stale or unreachable, so it is used only to drain machines early.
"""

import anyio
import msgspec

from passlane.identifiers import EngineId, NodeId
from passlane.messages.backends import PlatformList
from passlane.messages.common import Address
from passlane.observability.logging import get_logger
from passlane.runtime.interfaces import HttpClient, HttpRequest

POLL_S = 1.0
"""Interval between two requests for the list, and the timeout of each."""

OK_STATUS = 200
LEAVING = "leaving"
"""State of a machine that is about to be stopped."""

_log = get_logger(__name__)
_decoder = msgspec.json.Decoder(PlatformList)


class PlatformWatch:
    """Keeps the names of the leaving machines on the list.

    A machine has the name of the node or engine that runs on it. No machine is considered
    failed or healthy because of the list. If the list cannot be read, the last one applies.
    """

    def __init__(self, http_client: HttpClient, address: Address | None) -> None:
        self._http_client = http_client
        self._address = address
        self._leaving: tuple[str, ...] = ()
        self._is_available = True

    @property
    def leaving_engines(self) -> tuple[EngineId, ...]:
        """Names of leaving machines; each node ignores those that are not engines."""
        return tuple(EngineId(name) for name in self._leaving)

    @property
    def leaving_nodes(self) -> frozenset[NodeId]:
        """Names of leaving machines; those that are not nodes have no effect."""
        return frozenset(NodeId(name) for name in self._leaving)

    async def run(self) -> None:
        """Fetch the list periodically until cancelled."""
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
                self._log_failure(f"status {response.status}")
                return
            listed = _decoder.decode(body)
        except (OSError, msgspec.DecodeError, RecursionError) as error:
            self._log_failure(str(error) or type(error).__name__)
            return
        self._is_available = True
        self._leaving = tuple(
            sorted(machine.name for machine in listed.machines if machine.state == LEAVING)
        )

    def _log_failure(self, reason: str) -> None:
        """Log that the list cannot be read, once until it is read again."""
        if self._is_available:
            _log.info("machine_list_not_read", reason=reason)
        self._is_available = False
