"""The configuration that is applied in this process.

For: a node relays requests according to it, and never returns to an older version until it is
restarted.
Owns: the newest configuration received in a view.
Relies on: nothing; the follower passes each packed configuration.
"""

from collections.abc import Callable

import anyio

from passlane.fleet.state.packed_configuration import unpack
from passlane.messages.routes import RouteConfiguration
from passlane.observability.logging import get_logger

ConfigurationListener = Callable[[RouteConfiguration], None]

_log = get_logger(__name__)


class CachedConfiguration:
    """The newest configuration and the listeners for changes.

    Attributes
    ----------
    newest
        The newest configuration; ``None`` before the first.
    """

    def __init__(self) -> None:
        self.newest: RouteConfiguration | None = None
        self._listeners: list[ConfigurationListener] = []
        self._is_known = anyio.Event()

    @property
    def version(self) -> int:
        """Version of the newest configuration; 0 before the first."""
        return self.newest.version if self.newest is not None else 0

    def on_change(self, listener: ConfigurationListener) -> None:
        """Register a listener, which is called with each newer configuration."""
        self._listeners.append(listener)

    async def wait_until_known(self) -> None:
        """Wait until there is a configuration."""
        await self._is_known.wait()

    def apply(self, packed: bytes) -> None:
        """Apply a packed configuration; one that isn't newer is ignored.

        Raises
        ------
        zlib.error, msgspec.DecodeError
            When the bytes cannot be decoded.
        """
        configuration = unpack(packed)
        previous_version = self.version
        if configuration.version <= previous_version:
            return
        self.newest = configuration
        self._is_known.set()
        _log.info("configuration_in_force", version=configuration.version, before=previous_version)
        for listener in self._listeners:
            listener(configuration)
