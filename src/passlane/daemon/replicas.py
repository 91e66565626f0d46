"""What processes that run a replica of a group share."""

import anyio

from passlane.replication.replica_host import ReplicaHost

CONTROL_GROUP = "control"
CONTROL_FOLDER = "control"
STORE_FOLDER = "store"
TRANSFER_POLL_S = 0.01
TRANSFER_POLLS = 200


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
