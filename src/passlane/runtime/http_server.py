"""Serves ASGI applications with uvicorn."""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Iterator
from functools import partial
from typing import cast

import anyio
import anyio.lowlevel

from passlane.decisions.admission.client_budget import ClientGroup
from passlane.messages.common import Address
from passlane.runtime.client_limiter import ClientLimiter
from passlane.runtime.early_listening import LISTEN_BACKLOG, ListeningSockets, bound_socket
from passlane.runtime.interfaces import AsgiApplication, HttpLimits
from passlane.runtime.packages import skip_initialization

# ``import uvicorn`` would also import its command line, which is not used.
_uvicorn = skip_initialization("uvicorn")

from uvicorn.config import Config  # noqa: E402
from uvicorn.server import Server  # noqa: E402

from passlane.runtime.http_limits import LimitedHttpProtocol  # noqa: E402

# Modules of uvicorn import this name from the package.
vars(_uvicorn).setdefault("Config", Config)


ACCEPTED_PER_TURN = {
    ClientGroup.CALLERS: 128,
    ClientGroup.OPERATORS: 128,
    ClientGroup.PROBES: 256,
}
"""Connections that are accepted in one turn of the event loop; the others wait in the queue of the
listening socket. A probe must not wait there until it counts as missed."""


class _Server(Server):
    """A uvicorn server without signal handlers that sleeps until it is stopped."""

    def __init__(self, config: Config) -> None:
        super().__init__(config)
        self._stopped = asyncio.Event()
        self._finish_by = 0.0

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept; restore the length of the queue, which asyncio sets to its batch."""
        await super().startup(sockets)
        for listening in sockets or []:
            listening.listen(LISTEN_BACKLOG)

    def stop(self, finish_s: float) -> None:
        """Stop accepting connections and give requests in flight ``finish_s`` seconds."""
        self._finish_by = anyio.current_time() + finish_s
        self.should_exit = True
        self._stopped.set()

    async def main_loop(self) -> None:
        """Wait for ``stop`` instead of polling, as uvicorn does."""
        await self._stopped.wait()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Close idle connections, wait for requests in flight, and cancel those that are late.

        uvicorn pauses before it waits, also if nothing is in flight. All servers of a process
        stop within its grace time, so here the wait ends ``finish_s`` after ``stop``.
        """
        for server in self.servers:
            server.close()
        for listening in sockets or []:
            listening.close()
        for connection in list(self.server_state.connections):
            connection.shutdown()
        # The event loop reports the closed connections first.
        await anyio.lowlevel.checkpoint()
        with anyio.CancelScope(deadline=self._finish_by):
            await self._wait_tasks_to_complete()
        for task in self.server_state.tasks:
            task.cancel()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def _protocol_with(limits: HttpLimits, limiter: ClientLimiter) -> type[asyncio.Protocol]:
    """Return a protocol factory for uvicorn that enforces ``limits``."""
    return cast(
        type[asyncio.Protocol], partial(LimitedHttpProtocol, limits=limits, limiter=limiter)
    )


class UvicornHttpServer:
    """Serves applications with uvicorn; implements ``runtime.interfaces.HttpServer``.

    Parameters
    ----------
    sockets
        Sockets that already listen; others are opened when their address is served.
    limiter
        Accounts for the memory of the connections of all servers of the process.
    """

    def __init__(
        self, sockets: ListeningSockets | None = None, limiter: ClientLimiter | None = None
    ) -> None:
        self._sockets = sockets or ListeningSockets()
        self._limiter = limiter or ClientLimiter()
        # Each write to a closed connection would log a line to standard error.
        for logger_name in ("uvicorn.error", "asyncio"):
            logging.getLogger(logger_name).setLevel(logging.CRITICAL)

    async def serve(
        self,
        address: Address,
        application: AsgiApplication,
        limits: HttpLimits | None = None,
    ) -> None:
        """Serve until cancelled, then let requests in flight finish.

        Raises
        ------
        OSError
            When listening on the address fails.
        """
        limits = limits or HttpLimits()
        config = Config(
            application,
            http=_protocol_with(limits, self._limiter),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            backlog=ACCEPTED_PER_TURN[limits.clients],
            date_header=False,
        )
        server = _Server(config)
        # Bound here because uvicorn exits the process when binding fails.
        listening = self._sockets.take(str(address)) or bound_socket(address.host, address.port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_shielded, server, listening)
            try:
                await anyio.sleep_forever()
            finally:
                server.stop(limits.finish_s)

    @staticmethod
    async def _run_shielded(server: _Server, listening: socket.socket) -> None:
        # Shielded so that a cancelled server can finish requests in flight.
        with anyio.CancelScope(shield=True):
            await server.serve(sockets=[listening])
