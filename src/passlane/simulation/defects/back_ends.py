"""Defects towards back ends and in stopping."""

import anyio.lowlevel

from passlane.backends import engine_client
from passlane.backends.failures import BackendError
from passlane.daemon.passlaned.daemon import Daemon
from passlane.errors import ErrorCode, Verdict
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


def _time_out_as_not_run(seconds: float) -> BackendError:
    """Claim that a request without an answer did not run."""
    message = f"no answer within {seconds:g} s"
    return BackendError(ErrorCode.TIMEOUT, message, verdict=Verdict.NOT_RUN)


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
        "planned-stop",
        3,
        "a node that is stopped ends at once",
        replacing(Replacement(Daemon, "drain_and_stop", _stop_at_once)),
    ),
    Defect(
        "silence-taken-as-not-run",
        "at-most-once",
        "hung-tool",
        0,
        "a tool that gave no answer in time counts as not run",
        replacing(Replacement(engine_client, "error_of_timeout", _time_out_as_not_run)),
    ),
)
"""Defects towards engines and applications, and in planned stops."""
