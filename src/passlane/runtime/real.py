"""Builds the real environment of a daemon: TCP, HTTP, disk and a random generator."""

import random
from contextlib import AbstractAsyncContextManager
from pathlib import Path

from passlane.messages.common import Address
from passlane.runtime.client_limiter import ClientLimiter
from passlane.runtime.disk import RealDisk
from passlane.runtime.early_listening import ListeningSockets
from passlane.runtime.interfaces import (
    AsgiApplication,
    Environment,
    HttpClient,
    HttpConnectionError,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    Network,
)
from passlane.runtime.network import TcpNetwork


class _DisabledHttpClient:
    """HTTP client of processes that send no requests; every request fails."""

    def exchange(self, request: HttpRequest) -> AbstractAsyncContextManager[HttpResponse]:
        """Raise ``HttpConnectionError``."""
        raise HttpConnectionError("this process sends no requests", bytes_left=False)

    def has_idle_connection(self, address: Address) -> bool:
        """Return ``False``."""
        return False

    async def try_connect(self, address: Address) -> None:
        """Raise ``HttpConnectionError``."""
        raise HttpConnectionError("this process opens no connections", bytes_left=False)


class _LazyHttpServer:
    """Imports the HTTP server on first use, so that replicas start before the import."""

    def __init__(self, sockets: ListeningSockets, limiter: ClientLimiter | None) -> None:
        self._sockets = sockets
        self._limiter = limiter

    async def serve(
        self,
        address: Address,
        application: AsgiApplication,
        limits: HttpLimits | None = None,
    ) -> None:
        """Serve until cancelled; see ``HttpServer.serve``."""
        from passlane.runtime.http_server import UvicornHttpServer

        await UvicornHttpServer(self._sockets, self._limiter).serve(address, application, limits)


def _http_client(network: Network) -> HttpClient:
    # Imported lazily, so that replicas start without the import.
    from passlane.runtime.http_client import SingleConnectionHttpClient

    return SingleConnectionHttpClient(network)


def build_environment(
    data_folder: Path,
    seed: int | None,
    network: Network | None = None,
    *,
    sends_requests: bool = True,
    sockets: ListeningSockets | None = None,
    limiter: ClientLimiter | None = None,
) -> Environment:
    """Return the real environment.

    Parameters
    ----------
    data_folder
        Folder that contains all files of the process.
    seed
        Seed of the random generator; ``None`` uses one from the operating system.
    network
        Used instead of plain TCP, such as ``DelayedNetwork``.
    sends_requests
        Whether the process sends HTTP requests.
    sockets
        Sockets that already listen.
    limiter
        Accounts for the memory of all HTTP servers; without it, each has bounds of its own.
    """
    network = network or TcpNetwork()
    return Environment(
        network=network,
        http_client=_http_client(network) if sends_requests else _DisabledHttpClient(),
        http_server=_LazyHttpServer(sockets or ListeningSockets(), limiter),
        disk=RealDisk(data_folder),
        random=random.Random(seed),
    )
