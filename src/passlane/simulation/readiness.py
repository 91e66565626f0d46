"""Waits until the daemons of a simulated fleet take work."""

from collections.abc import Awaitable, Callable, Iterable

import anyio

READY_PATH = "/readyz"
READY_TIMEOUT_S = 60.0
"""Virtual seconds within which a fleet that nothing disturbs is up; it takes a few."""
READY_POLL_S = 0.2


async def wait_for_ready(
    names: Iterable[str], is_ready: Callable[[str], Awaitable[bool]]
) -> list[str]:
    """Ask one process after the other until it is ready; return who was not in time."""
    waiting = list(names)
    with anyio.move_on_after(READY_TIMEOUT_S):
        while waiting:
            if await is_ready(waiting[0]):
                waiting.pop(0)
            else:
                await anyio.sleep(READY_POLL_S)
    return waiting
