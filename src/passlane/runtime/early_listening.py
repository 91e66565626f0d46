"""Sockets that listen before most of the process is imported.

Without them, connections during a start are reset and cost clients one of their retries.
A listening socket queues them until the server runs. Only standard library modules are
imported here, so that listening starts early.
"""

import socket
from collections.abc import Iterable

LISTEN_BACKLOG = 2_048
RECEIVE_BUFFER_BYTES = 4_096
"""Bytes of a connection that the kernel may hold unread, about, until a body is read; it bounds
what clients make this machine hold before anything is read."""


class ListeningSockets:
    """Listening sockets by address; each can be taken once."""

    def __init__(self) -> None:
        self._sockets: dict[str, socket.socket] = {}

    def listen(self, addresses: Iterable[str]) -> None:
        """Listen on addresses of the form ``host:port``.

        Addresses that fail are skipped; the server listens on them again and reports
        the error.
        """
        for address in addresses:
            listening = _listen(address)
            if listening is not None:
                self._sockets[address] = listening

    def take(self, address: str) -> socket.socket | None:
        """Return and remove the listening socket of an address; ``None`` if there is none."""
        return self._sockets.pop(address, None)


def bound_socket(host: str, port: int) -> socket.socket:
    """Return a socket bound to an address; raise ``OSError`` if binding fails."""
    # asyncio disables Nagle's algorithm only on sockets with an explicit protocol, which
    # accepted sockets inherit. Otherwise responses wait for a delayed acknowledgement.
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit it.
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound


def _listen(address: str) -> socket.socket | None:
    host, _, port = address.rpartition(":")
    try:
        listening = bound_socket(host, int(port))
        listening.listen(LISTEN_BACKLOG)
    except (OSError, ValueError, OverflowError):
        # The server listens again when it starts and then reports the error.
        return None
    return listening
