"""Helpers for processes that run a replica of a group.

For: group names and folders, the initial members of a group, and the leadership transfer before
a planned stop.
Owns: nothing.
Relies on: ``ReplicaHost``.
"""

from collections.abc import Sequence

import anyio

from passlane.replication.replica_host import ReplicaHost
from passlane.settings.model import PeerSettings

CONTROL_GROUP = "control"
CONTROL_FOLDER = "control"
STORE_FOLDER = "store"
"""Group name on the wire and folder names on disk, the same in a fleet and in ``passlaned``."""
TRANSFER_POLL_INTERVAL_S = 0.01
MAX_TRANSFER_POLLS = 200
"""Polls until the replica stops without a transfer; 2 s in all, enough for several elections."""


def initial_members(own: PeerSettings, initial: Sequence[PeerSettings]) -> tuple[PeerSettings, ...]:
    """Return the initial members of a group, followed by the own replica if it isn't one."""
    return tuple(initial) if own in initial else (*initial, own)


async def transfer_leadership(host: ReplicaHost) -> None:
    """Transfer leadership to another replica, if this one leads, and wait for the transfer.

    If no replica takes over in time, this one stops all the same; the others then elect a leader
    as after a crash.
    """
    if not host.is_leader:
        return
    host.transfer_leadership()
    for _ in range(MAX_TRANSFER_POLLS):
        if not host.is_leader:
            return
        await anyio.sleep(TRANSFER_POLL_INTERVAL_S)
