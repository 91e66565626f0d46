"""Free addresses on the loopback interface, for experiments that start servers."""

import socket

from passlane.messages.common import Address

LOOPBACK = "127.0.0.1"


def free_address() -> Address:
    """Return an address of this machine whose port the operating system chose.

    The port is only free at this moment: nothing keeps it for the caller.
    """
    with socket.socket() as listener:
        listener.bind((LOOPBACK, 0))
        return Address(LOOPBACK, listener.getsockname()[1])
