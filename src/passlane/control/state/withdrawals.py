"""Withdrawn changes, and the revisions that may therefore not be accepted.

Withdrawing change 11 writes, for example, revision 16 with the earlier body. Accepting a
revision from 11 to 15 would put the withdrawn body in force until 16 is accepted.
Acceptance therefore advances from below 11 to 16 or above in one step.
"""

import msgspec

from passlane.identifiers import Revision
from passlane.messages.control import Document


class Withdrawal(msgspec.Struct, frozen=True):
    """A withdrawn revision and the later revision that restores the earlier body."""

    withdrawn: Revision
    restored_by: Revision


def max_acceptable_revision(
    revision: Revision, accepted: Revision, withdrawals: tuple[Withdrawal, ...]
) -> Revision:
    """Return the maximum revision up to ``revision`` that may be accepted.

    The result is at least ``accepted``, which is in force already.
    """
    acceptable = revision
    # Newest first, because a revision below one withdrawal may be within an earlier one.
    for withdrawal in sorted(withdrawals, key=lambda item: item.withdrawn, reverse=True):
        if withdrawal.withdrawn <= acceptable < withdrawal.restored_by:
            acceptable = Revision(withdrawal.withdrawn - 1)
    return max(acceptable, accepted)


def effective_changes(
    changes: list[Document], withdrawals: tuple[Withdrawal, ...]
) -> list[Document]:
    """Return the pending changes that are not withdrawn and do not withdraw another."""
    excluded = {withdrawal.withdrawn for withdrawal in withdrawals}
    excluded |= {withdrawal.restored_by for withdrawal in withdrawals}
    return [change for change in changes if change.revision not in excluded]
