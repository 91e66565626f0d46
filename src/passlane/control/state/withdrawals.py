"""Withdrawn changes, and the revisions at which acceptance may therefore not stop.

Withdrawing change 11 writes revision 16 with the earlier body. Accepting anything from
11 to 15 would put the withdrawn body in force for a moment, and 16 would then revert
it. So acceptance goes from below 11 to 16 or beyond in one step.
"""

import msgspec

from passlane.identifiers import Revision
from passlane.messages.control import Document


class Withdrawal(msgspec.Struct, frozen=True):
    """The withdrawn revision and the later one that restores the earlier body."""

    withdrawn: Revision
    restored_by: Revision


def last_acceptable(
    revision: Revision, accepted: Revision, withdrawals: tuple[Withdrawal, ...]
) -> Revision:
    """Return the largest revision up to ``revision`` at which acceptance may stop.

    The result is never below ``accepted``, which is in force already.
    """
    stop = revision
    # Newest first: stepping below one withdrawal may land within an earlier one.
    for withdrawal in sorted(withdrawals, key=lambda item: item.withdrawn, reverse=True):
        if withdrawal.withdrawn <= stop < withdrawal.restored_by:
            stop = Revision(withdrawal.withdrawn - 1)
    return max(stop, accepted)


def standing_changes(
    changes: list[Document], withdrawals: tuple[Withdrawal, ...]
) -> list[Document]:
    """Return those pending changes that neither are withdrawn nor withdraw another."""
    undone = {withdrawal.withdrawn for withdrawal in withdrawals}
    undone |= {withdrawal.restored_by for withdrawal in withdrawals}
    return [change for change in changes if change.revision not in undone]
