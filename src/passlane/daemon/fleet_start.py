"""The program that the platform starts: what must not wait for the imports of the rest.

For: ``deploy/system.toml`` names this module's path, for all three roles of a fleet.
Owns: the sockets that listen early.
Relies on: as little as possible before ``fleet.process`` is imported.

A reload signal may come while the process is still importing; by default it would end it.
Clients may connect meanwhile; they wait instead of being reset. Nothing that is imported
is garbage, so the collector rests until the process runs. No role speaks TLS, so OpenSSL
stays out.
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
from passlane.runtime.early_listening import ListeningSockets
from passlane.runtime.without_openssl import leave_openssl_out

EARLY_ADDRESSES = ("callers", "readiness", "operators")
"""Settings under ``addresses`` that others connect to from outside the fleet."""


def main() -> int:
    """Listen and ignore reload signals until the daemon takes over, then run it."""
    started_at = time.monotonic()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    sockets = ListeningSockets()
    sockets.listen(early_addresses(path))
    leave_openssl_out()
    from passlane.daemon.fleet.process import main as run

    gc.freeze()
    gc.enable()
    return run(path, sockets, started_at)


def early_addresses(path: Path) -> Iterator[str]:
    """Return the addresses to listen on at once; none if the settings can't be read.

    Raises no error: whatever is wrong with the settings is told when ``fleet.process`` checks
    them, a moment later and before anything else is done.
    """
    try:
        addresses = tomllib.loads(path.read_text())["addresses"]
    except (OSError, ValueError, KeyError):
        # Silent, since the check of the settings names the same problem and ends the process.
        # There is no log yet, and the logging's imports are what listening must not wait for.
        return
    for name in EARLY_ADDRESSES:
        address = addresses.get(name) if isinstance(addresses, dict) else None
        if isinstance(address, str):
            yield address


if __name__ == "__main__":
    sys.exit(main())
