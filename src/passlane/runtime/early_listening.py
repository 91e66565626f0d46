"""Sockets that listen before most of the process is imported.

While a process imports its code, connections to a port that nobody listens on are reset,
and a client spends one of its few tries. A socket that listens already lets them wait for
the moment that it takes to start. Only modules of the standard library are imported here.
"""

import socket
from collections.abc import Iterable

LISTEN_BACKLOG = 2_048


class ListeningSockets:
    """Listening sockets by address; each is handed out once."""

    def __init__(self) -> None:
        self._sockets: dict[str, socket.socket] = {}

    def listen(self, addresses: Iterable[str]) -> None:
        """Listen on addresses of the form ``host:port``.

        One that can't be listened on is left out: whoever serves it tries again and
        reports the error.
        """
        for address in addresses:
            listening = _listen(address)
            if listening is not None:
                self._sockets[address] = listening

    def take(self, address: str) -> socket.socket | None:
        """Return the socket that listens on an address, if it was not taken before."""
        return self._sockets.pop(address, None)


def bound_socket(host: str, port: int) -> socket.socket:
    """Return a socket that is bound to an address; raise ``OSError`` if that fails."""
    # asyncio turns Nagle's algorithm off only where the protocol is named, and accepted
    # sockets inherit it; without that an answer waits 40 ms for a delayed acknowledgement.
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
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
        # The server listens again when it starts, and then tells what is wrong.
        return None
    return listening
