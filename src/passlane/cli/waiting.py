"""Waits until a change is in force everywhere and describes its progress.

The description names the regions and nodes where the change is not in force yet.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from passlane.cli.client import OperatorClient
from passlane.cli.exit_codes import ExitCode, exit_code_of
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import Revision
from passlane.messages.control import Progress, RegionProgress

POLL_INTERVAL_S = 0.25
DEFAULT_TIMEOUT_S = 30.0

State = TypeVar("State")


def parse_timeout(text: str) -> float:
    """Return the value of ``--timeout`` in seconds; raise ``BAD_REQUEST`` if invalid."""
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = -1.0
    if not 0 < timeout_s < float("inf"):
        raise PasslaneError(
            ErrorCode.BAD_REQUEST, f"--timeout must be a positive number of seconds, not {text!r}"
        )
    return timeout_s


async def poll_until(
    read: Callable[[], Awaitable[State]],
    is_done: Callable[[State], bool],
    timeout_s: float,
    on_state: Callable[[State], None] | None = None,
) -> State | None:
    """Poll a state until ``is_done`` or the timeout; return the last state received.

    Returns ``None`` if no server reported the state before the timeout. Unavailable
    servers do not end the wait, because the change may still come into force.

    Parameters
    ----------
    on_state
        Called with each state received.
    """
    state: State | None = None
    with anyio.move_on_after(timeout_s):
        while state is None or not is_done(state):
            if state is not None:
                await anyio.sleep(POLL_INTERVAL_S)
            try:
                state = await read()
            except PasslaneError as error:
                if exit_code_of(error.code) is not ExitCode.UNAVAILABLE:
                    raise
                await anyio.sleep(POLL_INTERVAL_S)
                continue
            if on_state is not None:
                on_state(state)
    return state


async def wait_for_progress(
    client: OperatorClient,
    revision: Revision,
    timeout_s: float,
    is_done: Callable[[Progress], bool],
    on_state: Callable[[Progress], None] | None = None,
) -> Progress | None:
    """Return the progress of ``revision`` once ``is_done``, or the last one at the timeout."""

    async def read() -> Progress:
        return await client.read_progress(revision)

    return await poll_until(read, is_done, timeout_s, on_state)


class ChangePrinter:
    """Prints a line if it differs from the previous one.

    Parameters
    ----------
    show
        Prints one line.
    """

    def __init__(self, show: Callable[[str], None]) -> None:
        self._show = show
        self._last_line = ""

    def print(self, line: str) -> None:
        """Print ``line`` unless it equals the last line printed."""
        if line != self._last_line:
            self._last_line = line
            self._show(line)


def is_in_force(progress: Progress | None) -> bool:
    """Return whether the change is in force everywhere."""
    return progress is not None and progress.in_force_everywhere


def summarize_progress(progress: Progress, revision: Revision) -> str:
    """Return a one-line summary of the progress of ``revision``, to be printed when it changes.

    It contains no times, which would change it with each poll.
    """
    state = "accepted" if progress.accepted_revision >= revision else "pending"
    lagging_regions = [region for region in progress.regions if region.revision_in_force < revision]
    if not lagging_regions:
        return f"revision {revision} {state}"
    return f"revision {revision} {state}; waiting for " + ", ".join(
        map(_summarize_region, lagging_regions)
    )


def _summarize_region(region: RegionProgress) -> str:
    if region.report_age_s is None:
        return f"region {region.region} (has not reported)"
    return (
        f"region {region.region} (prepared {region.prepared_revision}, "
        f"in force {region.revision_in_force})"
    )


def describe_progress(progress: Progress | None, revision: Revision) -> list[str]:
    """Return lines that show what is in force in each region and which nodes lag behind."""
    if progress is None:
        return [f"revision {revision}: no server reported its progress"]
    if progress.in_force_everywhere:
        return [f"revision {revision} is in force everywhere"]
    state = "accepted" if progress.accepted_revision >= revision else "pending"
    lines = [f"revision {revision} is {state}, not in force everywhere yet; lagging:"]
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
