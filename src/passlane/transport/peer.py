"""The connection to one address.

It is opened when needed, with a backoff after failed attempts.
"""

import random

import anyio
from anyio.abc import TaskGroup

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.common import Address
from passlane.observability.logging import get_logger
from passlane.runtime.interfaces import Environment
from passlane.transport.client_connection import ClientConnection

CONNECT_TIMEOUT_S = 0.3
"""Below the one-second retransmission timeout of a lost SYN packet, so that a machine that
was unreachable is found soon after it returns; above the maximum round trip between
regions."""
INITIAL_BACKOFF_S = 0.03
MAX_BACKOFF_S = 0.12
"""Short, because after a restart of all processes the others wait for the last one to
listen; refusing a connection is cheap."""

_log = get_logger("transport.client")


def backoff_s(failures: int, random_source: random.Random) -> float:
    """Return how long to wait after ``failures`` consecutive failures.

    The backoff doubles with each failure up to its maximum. The wait is random between
    half the backoff and the full backoff, so that clients do not reconnect together.
    """
    max_wait_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(failures - 1, 10))
    return random_source.uniform(max_wait_s / 2, max_wait_s)


class Peer:
    """Opens and keeps the connection to one address.

    During the backoff after a failure, callers get ``UNAVAILABLE`` at once, so that they
    can use another replica.
    """

    def __init__(self, address: Address, environment: Environment, tasks: TaskGroup) -> None:
        self._address = address
        self._network = environment.network
        self._random = environment.random
        self._tasks = tasks
        self._connection: ClientConnection | None = None
        self._connecting: anyio.Event | None = None
        self._failures = 0
        self._retry_at = -float("inf")
        self._last_requested = anyio.current_time()

    def is_unused_since(self, time: float) -> bool:
        """Whether the connection was not requested after ``time`` and has no pending request."""
        is_idle = self._connection is None or self._connection.is_idle
        return is_idle and self._connecting is None and self._last_requested < time

    async def close(self) -> None:
        """Close the connection if there is one."""
        if self._connection is not None:
            await self._connection.close()

    def open_connection(self) -> ClientConnection | None:
        """Return the connection if it is open, else ``None``."""
        if self._connection is None or self._connection.is_closed:
            return None
        self._last_requested = anyio.current_time()
        return self._connection

    async def connection(self) -> ClientConnection:
        """Return the open connection; open it first if necessary.

        Raises
        ------
        PasslaneError
            ``UNAVAILABLE`` with ``not_run`` when it cannot be opened.
        """
        self._last_requested = anyio.current_time()
        connection = self.open_connection()
        if connection is not None:
            return connection
        if self._connecting is None:
            self._start_connecting()
        assert self._connecting is not None
        await self._connecting.wait()
        if self._connection is None or self._connection.is_closed:
            raise self._unavailable("cannot connect")
        return self._connection

    def _unavailable(self, reason: str) -> PasslaneError:
        return PasslaneError(
            ErrorCode.UNAVAILABLE,
            f"{reason} to {self._address}",
            verdict=Verdict.NOT_RUN,
            retry_after_s=max(0.0, self._retry_at - anyio.current_time()),
        )

    def _start_connecting(self) -> None:
        if anyio.current_time() < self._retry_at:
            raise self._unavailable("backoff before the next connection")
        self._connecting = anyio.Event()
        # Runs in the pool's task group: a caller that is cancelled must not cancel it for others.
        self._tasks.start_soon(self._connect_and_run, self._connecting)

    async def _connect_and_run(self, finished: anyio.Event) -> None:
        connection: ClientConnection | None = None
        try:
            connection = await self._connect()
        finally:
            self._connection = connection
            self._connecting = None
            finished.set()
        if connection is None:
            return
        try:
            await connection.run()
        except Exception:
            _log.exception("connection_failed", address=str(self._address))

    async def _connect(self) -> ClientConnection | None:
        reason = "timed out"
        try:
            with anyio.move_on_after(CONNECT_TIMEOUT_S):
                stream = await self._network.connect(self._address)
                self._failures = 0
                return ClientConnection(stream)
        except OSError as error:
            reason = str(error)
        self._failures += 1
        self._retry_at = anyio.current_time() + backoff_s(self._failures, self._random)
        _log.debug("connect_failed", address=str(self._address), reason=reason)
        return None
