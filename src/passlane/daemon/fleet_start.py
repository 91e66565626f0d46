"""The program that the platform starts: ready for signals before anything else is imported.

A reload signal may come while the process is still importing; by default it would end it.
"""

import signal
import sys


def main() -> int:
    """Ignore reload signals until the daemon takes them, then run it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from passlane.daemon.fleet_main import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
