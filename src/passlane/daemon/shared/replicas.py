"""What processes that run a replica of a group share."""

from collections.abc import Sequence

import anyio

from passlane.replication.replica_host import ReplicaHost
from passlane.settings.model import PeerSettings

CONTROL_GROUP = "control"
CONTROL_FOLDER = "control"
STORE_FOLDER = "store"
TRANSFER_POLL_S = 0.01
TRANSFER_POLLS = 200


def members_at_start(
    own: PeerSettings, founders: Sequence[PeerSettings]
) -> tuple[PeerSettings, ...]:
    """Return the founders of a group, and behind them the own replica if it is none of them."""
    return tuple(founders) if own in founders else (*founders, own)


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
