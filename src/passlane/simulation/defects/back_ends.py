"""Defects towards back ends and in stopping."""

import anyio.lowlevel

from passlane.daemon.assembly import Daemon
from passlane.identifiers import EngineId
from passlane.node import service
from passlane.simulation.defects.base import Defect, replacing
from passlane.simulation.replacement import Replacement


def _avoid_no_engine(*_arguments: object) -> frozenset[EngineId]:
    return frozenset()


async def _stop_at_once(daemon: Daemon) -> None:
    """Stop without letting anything finish."""
    daemon._scope.cancel()
    await anyio.lowlevel.checkpoint()


BACK_END_DEFECTS = (
    Defect(
        "leaving-ignored",
        "leaving",
        "engine-leaving",
        0,
        "engines that are leaving or drained get new work",
        replacing(Replacement(service, "engines_to_avoid", _avoid_no_engine)),
    ),
    Defect(
        "stop-without-drain",
        "planned-stop",
        "rolling-restart",
        0,
        "a node that is stopped ends at once",
        replacing(Replacement(Daemon, "drain_and_stop", _stop_at_once)),
    ),
)
"""Defects towards engines and applications, and in planned stops."""
