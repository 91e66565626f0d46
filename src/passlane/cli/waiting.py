"""Waits until a change is in force everywhere, and says who is not there yet."""

from collections.abc import Callable

import anyio

from passlane.cli.client import OperatorClient
from passlane.cli.exit_codes import ExitCode, exit_code_of
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import Revision
from passlane.messages.control import Progress, RegionProgress

POLL_INTERVAL_S = 0.25
DEFAULT_TIMEOUT_S = 30.0


def parse_timeout(text: str) -> float:
    """Return the seconds that an option gives; raise ``BAD_REQUEST`` otherwise."""
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = -1.0
    if not 0 < timeout_s < float("inf"):
        raise PasslaneError(ErrorCode.BAD_REQUEST, "--timeout is a number of seconds above 0")
    return timeout_s


async def wait_for_progress(
    client: OperatorClient,
    revision: Revision,
    timeout_s: float,
    is_done: Callable[[Progress | None], bool],
) -> Progress | None:
    """Return the progress of ``revision`` once ``is_done``, or the last at the time-out.

    ``None`` when no server told the progress in that time. A server that does not
    answer for a while does not end the wait; the change may still be coming through.
    """
    progress: Progress | None = None
    with anyio.move_on_after(timeout_s):
        while not is_done(progress):
            try:
                progress = await client.read_progress(revision)
            except PasslaneError as error:
                if exit_code_of(error.code) is not ExitCode.UNAVAILABLE:
                    raise
            if not is_done(progress):
                await anyio.sleep(POLL_INTERVAL_S)
    return progress


def is_in_force(progress: Progress | None) -> bool:
    """Return whether the change is in force everywhere."""
    return progress is not None and progress.in_force_everywhere


def describe_progress(progress: Progress | None, revision: Revision) -> list[str]:
    """Return lines that say what is in force where, and who holds the change up."""
    if progress is None:
        return [f"revision {revision}: no server told how far it is"]
    if progress.in_force_everywhere:
        return [f"revision {revision} is in force everywhere"]
    state = "accepted" if progress.accepted_revision >= revision else "pending"
    lines = [f"revision {revision} is {state}, not in force everywhere yet"]
    for region in progress.regions:
        if region.revision_in_force < revision:
            lines += _describe_region(region, revision)
    return lines


def _describe_region(region: RegionProgress, revision: Revision) -> list[str]:
    if region.report_age_s is None:
        return [f"  region {region.region}: has not reported to the control leader"]
    lines = [
        f"  region {region.region}: prepared {region.prepared_revision}, "
        f"in force {region.revision_in_force}, {region.member_count} nodes, "
        f"last report {region.report_age_s:.1f} s ago"
    ]
    lines += [
        f"    node {member.node_id}: prepared {member.prepared_revision}, "
        f"in force {member.revision_in_force}"
        for member in region.laggards
        if member.revision_in_force < revision
    ]
    return lines
