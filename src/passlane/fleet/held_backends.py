"""The list of back ends that this process holds.

For: nodes and stores choose among the back ends that the platform lists, which one node reads
for all and the control leader passes on.
Owns: the list, brought up to date by the updates that come with views.
Relies on: nothing; the follower hands over each view.
"""

from collections.abc import Callable, Sequence

import anyio

from passlane.fleet.state.listing_updates import apply_changes, unpack
from passlane.messages.fleet import FleetView
from passlane.messages.listing import BackendRecord
from passlane.observability.logging import get_logger

BackendsListener = Callable[[Sequence[BackendRecord], float], None]
"""Takes a list of back ends and the local time in seconds at which it was last right."""

_log = get_logger(__name__)


class HeldBackends:
    """The list of back ends under its number.

    Attributes
    ----------
    number
        Number of the list; 0 for none.
    """

    def __init__(self) -> None:
        self.number = 0
        self._records: tuple[BackendRecord, ...] = ()
        self._listener: BackendsListener | None = None

    def on_confirmation(self, listener: BackendsListener) -> None:
        """Call ``listener`` with the list whenever it is confirmed; there is one listener."""
        self._listener = listener

    def take_over(self, view: FleetView) -> None:
        """Take over the list of a view, or note that the one held is still right.

        Raises
        ------
        zlib.error, msgspec.DecodeError
            When the update's bytes hold none.
        """
        if view.backends_update is not None:
            self._update(view, view.backends_update)
        is_held = view.backends_number == self.number and self.number > 0
        if self._listener is None or view.backends_age_s is None or not is_held:
            return
        self._listener(self._records, anyio.current_time() - view.backends_age_s)

    def _update(self, view: FleetView, update: bytes) -> None:
        """Bring the list up to date; an update of a list that is not held has no effect."""
        if view.backends_since not in (0, self.number):
            _log.info("backends_update_ignored", since=view.backends_since)
            return
        held = self._records if view.backends_since else ()
        self._records = apply_changes(held, unpack(update))
        self.number = view.backends_number
