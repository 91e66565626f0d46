"""Decides whether a request is the first of a new program.

An overloaded node refuses new programs first. Owns the ids of the programs that the node has
served recently.
"""

from collections import OrderedDict

from passlane.decisions.inputs.relayed_call import RelayedCall

MAX_PROGRAMS = 2_000
"""Maximum number of retained programs, about 200 bytes each; the least recently used is evicted."""
RETENTION_S = 30.0
"""A program without a request for longer than this counts as new."""


class KnownPrograms:
    """Programs that have sent a request recently; times are local."""

    def __init__(self) -> None:
        self._seen_at: OrderedDict[str, float] = OrderedDict()

    def is_new(self, call: RelayedCall, now: float) -> bool:
        """Return whether a request is the first of its program on this node.

        1. A request without a program is new.
        2. A request that continues a previous turn is not new.
        3. Otherwise it is new if its program sent nothing within ``RETENTION_S``.
        """
        if call.program is None:
            return True
        if call.previous_turn is not None:
            return False
        seen_at = self._seen_at.get(call.program.program_id)
        return seen_at is None or now - seen_at > RETENTION_S

    def note(self, call: RelayedCall, now: float) -> None:
        """Record that a request of this program was admitted."""
        if call.program is None:
            return
        self._seen_at[call.program.program_id] = now
        self._seen_at.move_to_end(call.program.program_id)
        if len(self._seen_at) > MAX_PROGRAMS:
            self._seen_at.popitem(last=False)
