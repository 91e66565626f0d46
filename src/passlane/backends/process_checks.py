"""Finds out whether the process of a back end has ended while it ran an attempt.

What is unknown counts as an end, and a process that lives must do so for a while: one that is about
to end may still accept connections. An engine tells its incarnation, which grows with each start.
An application tells none, so only a refused connection shows that it has ended.
"""

import enum
from collections.abc import Awaitable, Callable

import anyio

from passlane.backends.engine_client import EngineClient, EngineTimeouts
from passlane.backends.failures import BackendError
from passlane.messages.common import Address
from passlane.runtime.interfaces import HttpClient
from passlane.runtime.reach import LIFE_PROOF_DELAY_S, BackendReach, check_reach

CHECK_TIMEOUT_S = 0.3
"""Timeout of one check, for which the next attempt waits."""


class BackendProcess(enum.StrEnum):
    """What is known of the process that ran an attempt."""

    LIVES = "lives"
    ENDED = "ended"
    UNKNOWN = "unknown"
    """It did not answer: it may have ended, or the path to it may be cut."""


_SHOWN_BY = {
    BackendReach.ACCEPTED: BackendProcess.LIVES,
    BackendReach.REFUSED: BackendProcess.ENDED,
    BackendReach.NO_ANSWER: BackendProcess.UNKNOWN,
    BackendReach.SAME_INSTANCE: BackendProcess.LIVES,
    BackendReach.OTHER_INSTANCE: BackendProcess.ENDED,
}


async def check_lasting(check: Callable[[], Awaitable[BackendProcess]]) -> BackendProcess:
    """Return whether a process lives now and after ``LIFE_PROOF_DELAY_S``.

    The next attempt waits as long.

    Parameters
    ----------
    check
        Checks the process once.
    """
    state = await check()
    if state is not BackendProcess.LIVES:
        return state
    await anyio.sleep(LIFE_PROOF_DELAY_S)
    return await check()


async def check_backend(http: HttpClient, address: Address) -> BackendProcess:
    """Return whether a process listens at an address."""
    return _SHOWN_BY[await check_reach(http, address)]


async def check_engine(http: HttpClient, address: Address, incarnation: int) -> BackendProcess:
    """Return whether the engine of an incarnation still runs.

    Parameters
    ----------
    incarnation
        Incarnation before the attempt; 0 if unknown.
    """
    reached = await check_backend(http, address)
    if reached is not BackendProcess.LIVES or incarnation == 0:
        return reached
    client = EngineClient(http, address, EngineTimeouts(control_s=CHECK_TIMEOUT_S))
    try:
        load = await client.read_load()
    except BackendError:
        # The caller logs that it is unknown.
        return BackendProcess.UNKNOWN
    return BackendProcess.ENDED if load.incarnation > incarnation else BackendProcess.LIVES
