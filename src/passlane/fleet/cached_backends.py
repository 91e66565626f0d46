"""This process's copy of the list of backends.

For: nodes and stores choose among the backends that the platform lists; one node reads the list
for all, and the control leader distributes it.
Owns: the list, to which the updates in views are applied.
Relies on: nothing; the follower passes each view.
"""

from collections.abc import Callable, Sequence

import anyio

from passlane.fleet.state.listing_updates import apply_changes, unpack
from passlane.messages.fleet import FleetView
from passlane.messages.listing import BackendRecord
from passlane.observability.logging import get_logger

BackendsListener = Callable[[Sequence[BackendRecord], float], None]
"""Receives a list of backends and the local time in seconds at which it was last valid."""

_log = get_logger(__name__)


class CachedBackends:
    """The cached list of backends and its number.

    Attributes
    ----------
    number
        Number of the list; 0 before the first.
    """

    def __init__(self) -> None:
        self.number = 0
        self._records: tuple[BackendRecord, ...] = ()
        self._listener: BackendsListener | None = None

    def on_confirmation(self, listener: BackendsListener) -> None:
        """Set the listener, which is called with the list whenever a view confirms it."""
        self._listener = listener

    def apply(self, view: FleetView) -> None:
        """Apply the update of a view, or confirm that the cached list is still valid.

        Raises
        ------
        zlib.error, msgspec.DecodeError
            When the update cannot be decoded.
        """
        if view.backends_update is not None:
            self._update(view, view.backends_update)
        is_current = view.backends_number == self.number and self.number > 0
        if self._listener is None or view.backends_age_s is None or not is_current:
            return
        self._listener(self._records, anyio.current_time() - view.backends_age_s)

    def _update(self, view: FleetView, update: bytes) -> None:
        """Apply an update; one that is based on another list than the cached one is ignored."""
        if view.backends_since not in (0, self.number):
            _log.info("backends_update_ignored", since=view.backends_since)
            return
        base_records = self._records if view.backends_since else ()
        self._records = apply_changes(base_records, unpack(update))
        self.number = view.backends_number
