"""Decides whether a request is the first of a new program.

A node at its bounds refuses these first. Owns the ids of programs that the node has served
lately. Source: ``docs/design/node-bounds.md``.
"""

from collections import OrderedDict

from passlane.decisions.inputs.relayed_call import RelayedCall

MOST_PROGRAMS = 2_000
"""Programs that are kept, some 200 bytes each; those unused for longest are forgotten. Not
measured; chosen."""
MEMORY_S = 30.0
"""Seconds. A program that has sent nothing for so long counts as new: its callers have gone. Not
measured; chosen."""


class KnownPrograms:
    """The programs that have sent a request of late; local times."""

    def __init__(self) -> None:
        self._seen_at: OrderedDict[str, float] = OrderedDict()

    def is_new(self, call: RelayedCall, now: float) -> bool:
        """Whether a request is the first of its program here, or of no program."""
        if call.program is None:
            return True
        if call.previous_turn is not None:
            return False
        seen_at = self._seen_at.get(call.program.program_id)
        return seen_at is None or now - seen_at > MEMORY_S

    def note(self, call: RelayedCall, now: float) -> None:
        """Keep that a request of this program was taken on."""
        if call.program is None:
            return
        self._seen_at[call.program.program_id] = now
        self._seen_at.move_to_end(call.program.program_id)
        if len(self._seen_at) > MOST_PROGRAMS:
            self._seen_at.popitem(last=False)
