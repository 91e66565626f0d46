"""Which deltas a holder of the configuration may take in.

A holder that fell far behind starts over with a snapshot in parts. Deletions up to the
snapshot's floor stand in none of its parts, so parts of different snapshots never mix:
a late part of an older one could bring back a document that has been deleted since.
"""

from passlane.identifiers import Revision
from passlane.messages.control import ConfigurationDelta


def starts_over(
    held_revision: Revision, floor_revision: Revision, delta: ConfigurationDelta
) -> bool:
    """Return whether a holder must forget what it holds before it takes in ``delta``."""
    return delta.is_snapshot and max(held_revision, floor_revision) < delta.floor_revision


def continues(held_revision: Revision, floor_revision: Revision, delta: ConfigurationDelta) -> bool:
    """Return whether ``delta`` leaves no gap and is no part of another snapshot.

    Parameters
    ----------
    held_revision
        Newest revision that the holder holds, after it has started over if it must.
    floor_revision
        Floor of the snapshot that the holder began with. Once ``held_revision`` has come
        as far as both floors, no deletion below them can be missed any more.
    """
    if delta.from_revision > held_revision:
        return False
    if delta.floor_revision == floor_revision:
        return True
    return held_revision >= max(floor_revision, delta.floor_revision)
