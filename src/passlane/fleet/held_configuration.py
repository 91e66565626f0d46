"""The configuration that is in force at this process.

For: a node relays by it; it never goes back to an older version within one life.
Owns: the newest configuration that a view brought.
Relies on: nothing; the follower hands over each packed configuration.
"""

from collections.abc import Callable

import anyio

from passlane.fleet.state.packed_configuration import unpack
from passlane.messages.routes import RouteConfiguration
from passlane.observability.logging import get_logger

ConfigurationListener = Callable[[RouteConfiguration], None]

_log = get_logger(__name__)


class HeldConfiguration:
    """The configuration in force, and who is told of newer ones.

    Attributes
    ----------
    newest
        The configuration; ``None`` before the first.
    """

    def __init__(self) -> None:
        self.newest: RouteConfiguration | None = None
        self._listeners: list[ConfigurationListener] = []
        self._is_known = anyio.Event()

    @property
    def version(self) -> int:
        """Version in force; 0 for none."""
        return self.newest.version if self.newest is not None else 0

    def on_change(self, listener: ConfigurationListener) -> None:
        """Call ``listener`` with each newer configuration."""
        self._listeners.append(listener)

    async def wait_until_known(self) -> None:
        """Return once there is a configuration."""
        await self._is_known.wait()

    def take_over(self, packed: bytes) -> None:
        """Put a packed configuration in force; one that isn't newer has no effect.

        Raises
        ------
        zlib.error, msgspec.DecodeError
            When the bytes hold none.
        """
        configuration = unpack(packed)
        held = self.version
        if configuration.version <= held:
            return
        self.newest = configuration
        self._is_known.set()
        _log.info("configuration_in_force", version=configuration.version, before=held)
        for listener in self._listeners:
            listener(configuration)
