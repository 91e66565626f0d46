"""The connection to one address, opened when needed and with back-off after failures."""

import random

import anyio
from anyio.abc import TaskGroup

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.common import Address
from passlane.observability.logging import get_logger
from passlane.runtime.interfaces import Environment
from passlane.transport.client_connection import ClientConnection

CONNECT_TIMEOUT_S = 0.3
"""Shorter than the second after which a lost opening packet is sent again: a machine that
was dark when it was asked is reached as soon as it is back. Must be longer than the longest
round trip between two regions."""
FIRST_BACK_OFF_S = 0.03
MAX_BACK_OFF_S = 0.12
"""Short, because after a loss of all processes every other one waits for the slowest to
listen again; a refused connection costs the refusing machine next to nothing."""

_log = get_logger("transport.client")


def back_off_s(failures: int, random_source: random.Random) -> float:
    """Return how long to wait after so many failures in a row.

    The bound doubles with each failure; the wait is drawn between half of the bound
    and the whole, so that many clients of one lost server do not return together.
    """
    bound = min(MAX_BACK_OFF_S, FIRST_BACK_OFF_S * 2 ** min(failures - 1, 10))
    return random_source.uniform(bound / 2, bound)


class Peer:
    """Opens and keeps the connection to one address.

    While the back-off after a failure lasts, callers get ``UNAVAILABLE`` at once, so
    that they can turn to another replica.
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
        self._last_wanted = anyio.current_time()

    def is_unused_since(self, time: float) -> bool:
        """Whether nobody wanted this connection after ``time`` and no answer is due."""
        is_idle = self._connection is None or self._connection.is_idle
        return is_idle and self._connecting is None and self._last_wanted < time

    async def close(self) -> None:
        """Close the connection if there is one."""
        if self._connection is not None:
            await self._connection.close()

    def open_connection(self) -> ClientConnection | None:
        """Return the connection if it is open."""
        if self._connection is None or self._connection.is_closed:
            return None
        self._last_wanted = anyio.current_time()
        return self._connection

    async def connection(self) -> ClientConnection:
        """Return the open connection, after opening it if need be.

        Raises
        ------
        PasslaneError
            ``UNAVAILABLE`` with ``not_run`` when it cannot be had.
        """
        self._last_wanted = anyio.current_time()
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
            raise self._unavailable("waiting before connecting again")
        self._connecting = anyio.Event()
        # In the pool's task group: a caller that gives up must not end it for others.
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
        self._retry_at = anyio.current_time() + back_off_s(self._failures, self._random)
        _log.debug("connect_failed", address=str(self._address), reason=reason)
        return None
