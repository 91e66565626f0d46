"""The real environment of a daemon: TCP, HTTP, disk and a random generator."""

import random
from contextlib import AbstractAsyncContextManager
from pathlib import Path

from passlane.messages.common import Address
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


class _NoHttpClient:
    """Stands for the HTTP client in processes that send no requests."""

    def exchange(self, request: HttpRequest) -> AbstractAsyncContextManager[HttpResponse]:
        """Refuse: nothing leaves this process."""
        raise HttpConnectionError("this process sends no requests", bytes_left=False)

    def has_idle_connection(self, address: Address) -> bool:
        """Return that there is none."""
        return False


class _LateHttpServer:
    """Imports the HTTP server when it is first used, once replicas are already running."""

    def __init__(self, sockets: ListeningSockets) -> None:
        self._sockets = sockets

    async def serve(
        self,
        address: Address,
        application: AsgiApplication,
        limits: HttpLimits | None = None,
    ) -> None:
        """Serve until cancelled; see ``HttpServer.serve``."""
        from passlane.runtime.http_server import UvicornHttpServer

        await UvicornHttpServer(self._sockets).serve(address, application, limits)


def _http_client(network: Network) -> HttpClient:
    # Imported late: it takes a fifth of a second that replicas need not spend at a start.
    from passlane.runtime.http_client import SingleConnectionHttpClient

    return SingleConnectionHttpClient(network)


def build_environment(
    data_folder: Path,
    seed: int | None,
    network: Network | None = None,
    *,
    sends_requests: bool = True,
    sockets: ListeningSockets | None = None,
) -> Environment:
    """Return the real environment.

    Parameters
    ----------
    data_folder
        Holds all files of the process.
    seed
        Seed of the random generator; ``None`` takes one from the operating system.
    network
        In place of plain TCP, such as one that adds delays between zones.
    sends_requests
        Whether the process sends HTTP requests.
    sockets
        Those that listen already.
    """
    network = network or TcpNetwork()
    return Environment(
        network=network,
        http_client=_http_client(network) if sends_requests else _NoHttpClient(),
        http_server=_LateHttpServer(sockets or ListeningSockets()),
        disk=RealDisk(data_folder),
        random=random.Random(seed),
    )
