"""Rules for which deltas a copy of the configuration may apply.

A copy that is too far behind is replaced by a snapshot, which is sent in parts. The parts do
not include deletions up to the snapshot's floor revision. Parts of different snapshots must
therefore not be mixed: a stale part could restore a document that has since been deleted.
"""

from passlane.identifiers import Revision
from passlane.messages.control import ConfigurationDelta


def requires_reset(
    held_revision: Revision, floor_revision: Revision, delta: ConfigurationDelta
) -> bool:
    """Return whether the copy must be cleared before ``delta`` is applied."""
    return delta.is_snapshot and max(held_revision, floor_revision) < delta.floor_revision


def is_applicable(
    held_revision: Revision, floor_revision: Revision, delta: ConfigurationDelta
) -> bool:
    """Return whether ``delta`` leaves no gap and is not part of another snapshot.

    Parameters
    ----------
    held_revision
        Newest revision of the copy, after a required reset.
    floor_revision
        Floor revision of the snapshot that the copy is based on. Once ``held_revision`` has
        reached the floors of the copy and of the delta, no deletion below them is missing.
    """
    if delta.from_revision > held_revision:
        return False
    if delta.floor_revision == floor_revision:
        return True
    return held_revision >= max(floor_revision, delta.floor_revision)
