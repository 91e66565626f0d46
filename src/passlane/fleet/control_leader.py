"""Which control replica leads, as far as this process knows.

For: heartbeats and reports go to the leader; without one, all control replicas are asked.
Owns: the leader's address, the last hint at it, and the seeds.
Relies on: ``HeldView`` for the control replicas that views told of.
"""

import random as random_module
from collections.abc import Sequence

from passlane.errors import PasslaneError
from passlane.fleet.held_view import HeldView
from passlane.messages.common import Address, NotLeaderError
from passlane.observability.logging import get_logger

_log = get_logger(__name__)


class ControlLeader:
    """The leader of the control group, or where to look for it.

    Parameters
    ----------
    seeds
        Internal addresses of some control replicas, right at the time of the start.

    Attributes
    ----------
    address
        Internal address of the leader; ``None`` while it isn't known.
    """

    def __init__(
        self, seeds: Sequence[Address], view: HeldView, random: random_module.Random
    ) -> None:
        self.address: Address | None = None
        self._hint: Address | None = None
        self._seeds = tuple(seeds)
        self._view = view
        self._random = random

    def is_known(self) -> bool:
        """Whether a leader is known."""
        return self.address is not None

    @property
    def controls(self) -> tuple[Address, ...]:
        """Control replicas to turn to: those last told of, then the seeds."""
        return tuple(dict.fromkeys([*self._view.controls, *self._seeds]))

    def candidates(self) -> tuple[Address, ...]:
        """Return where the leader may be, the likeliest first."""
        hints = (self._hint,) if self._hint is not None else ()
        return tuple(dict.fromkeys([*hints, *self.controls]))

    def address_to_ask(self) -> Address:
        """Return the leader if it is known, else any control replica."""
        return self.address or self._random.choice(self.controls)

    def note_answer(self, address: Address) -> None:
        """Note that this replica answered as the leader."""
        self.address = address

    def note_failure(self, address: Address, error: PasslaneError) -> None:
        """Leave a replica that doesn't lead; it may tell which one does.

        Only the loss of a leader is logged. That others don't answer or don't lead is what a
        search expects of most replicas, several times a second.
        """
        if isinstance(error, NotLeaderError) and error.leader is not None:
            self._hint = error.leader
        if self.address == address:
            _log.info("control_lost", address=str(address), code=error.code.value)
            self.address = None

    def replace_seeds(self, seeds: Sequence[Address]) -> None:
        """Take over seeds of a reloaded settings file."""
        self._seeds = tuple(seeds)
