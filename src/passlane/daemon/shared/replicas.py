"""What processes that run a replica of a group share.

For: the groups' names and folders, the members a replica starts with, and a planned stop.
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
"""Names on the wire and folders on disks; the same for the control groups of both services."""
TRANSFER_POLL_S = 0.01
"""Seconds between two looks whether another replica leads. Not measured; chosen."""
TRANSFER_POLLS = 200
"""Looks before the replica stops anyway, 2 s in all. Not measured; chosen: several elections."""


def members_at_start(
    own: PeerSettings, initial: Sequence[PeerSettings]
) -> tuple[PeerSettings, ...]:
    """Return the initial members of a group, and behind them the own replica unless it is one."""
    return tuple(initial) if own in initial else (*initial, own)


async def hand_over_leadership(host: ReplicaHost) -> None:
    """Ask another replica to lead and wait a while for that.

    When none can, this replica just stops; the others elect a leader as after a crash.
    """
    if not host.is_leader:
        return
    host.transfer_leadership()
    for _ in range(TRANSFER_POLLS):
        if not host.is_leader:
            return
        await anyio.sleep(TRANSFER_POLL_S)
