"""Tracks the address of the control group's leader in this process.

For: heartbeats and reports are sent to the leader; without one, all control replicas are probed.
Owns: the leader's address, the last leader hint, and the seed addresses.
Relies on: ``CachedView`` for the control replicas of the last view.
"""

import random as random_module
from collections.abc import Sequence

from passlane.errors import PasslaneError
from passlane.fleet.cached_view import CachedView
from passlane.messages.common import Address, NotLeaderError
from passlane.observability.logging import get_logger

_log = get_logger(__name__)


class ControlLeader:
    """The leader of the control group, or the candidates to probe for it.

    Parameters
    ----------
    seeds
        Internal addresses of some control replicas, valid at startup.

    Attributes
    ----------
    address
        Internal address of the leader; ``None`` while it is unknown.
    """

    def __init__(
        self, seeds: Sequence[Address], view: CachedView, random: random_module.Random
    ) -> None:
        self.address: Address | None = None
        self._hint: Address | None = None
        self._seeds = tuple(seeds)
        self._view = view
        self._random = random

    def is_known(self) -> bool:
        """Whether the leader's address is known."""
        return self.address is not None

    @property
    def controls(self) -> tuple[Address, ...]:
        """Known control replicas: those of the last view, then the seeds."""
        return tuple(dict.fromkeys([*self._view.controls, *self._seeds]))

    def candidates(self) -> tuple[Address, ...]:
        """Return the addresses at which the leader may be, the most likely first."""
        hints = (self._hint,) if self._hint is not None else ()
        return tuple(dict.fromkeys([*hints, *self.controls]))

    def target_address(self) -> Address:
        """Return the leader's address if it is known, else that of a random control replica."""
        return self.address or self._random.choice(self.controls)

    def record_answer(self, address: Address) -> None:
        """Record that this replica answered as the leader."""
        self.address = address

    def record_failure(self, address: Address, error: PasslaneError) -> None:
        """Record that a replica failed to answer as the leader, and its leader hint if any.

        Only the loss of the current leader is logged; during a search, most replicas are expected
        to fail several times a second.
        """
        if isinstance(error, NotLeaderError) and error.leader is not None:
            self._hint = error.leader
        if self.address == address:
            _log.info("control_lost", address=str(address), code=error.code.value)
            self.address = None

    def replace_seeds(self, seeds: Sequence[Address]) -> None:
        """Replace the seeds by those of a reloaded settings file."""
        self._seeds = tuple(seeds)
