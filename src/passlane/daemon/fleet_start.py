"""Entry point of a process of a fleet: the steps that must not wait for the other imports.

For: ``deploy/system.toml``, which runs this module for all three roles.
Owns: the sockets that listen before the daemon is imported.
Relies on: as few imports as possible before ``fleet.process``.

While the rest is imported, SIGHUP is ignored, since by default it ends the process, and clients
that connect wait instead of being reset. Garbage collection is off, because imports produce no
garbage. No role uses TLS, so OpenSSL isn't loaded.
"""

import gc
import os
import signal
import sys
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path

from passlane.platform.names import SETTINGS_VARIABLE
from passlane.runtime.allocator import return_large_blocks
from passlane.runtime.early_listening import ListeningSockets
from passlane.runtime.without_openssl import leave_openssl_out

EARLY_ADDRESSES = ("callers", "readiness", "operators")
"""Settings under ``addresses`` that clients outside the fleet connect to."""


def main() -> int:
    """Listen and ignore SIGHUP while the daemon is imported, then run it."""
    started_at = time.monotonic()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    sockets = ListeningSockets()
    sockets.listen(early_addresses(path))
    return_large_blocks()
    leave_openssl_out()
    from passlane.daemon.fleet.process import main as run

    gc.freeze()
    gc.enable()
    return run(path, sockets, started_at)


def early_addresses(path: Path) -> Iterator[str]:
    """Return the addresses to listen on immediately; none if the settings can't be read.

    Raises no error: ``fleet.process`` reports invalid settings before it does anything else.
    """
    try:
        addresses = tomllib.loads(path.read_text())["addresses"]
    except (OSError, ValueError, KeyError):
        # Not logged: the check of the settings reports the same error and ends the process, and
        # the imports of the log would delay listening.
        return
    for name in EARLY_ADDRESSES:
        address = addresses.get(name) if isinstance(addresses, dict) else None
        if isinstance(address, str):
            yield address


if __name__ == "__main__":
    sys.exit(main())
