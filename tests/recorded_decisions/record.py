"""Rewrites the digests of the machines named on the command line.

Use it only for intended changes of decisions. A refactoring must pass with the existing digests.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from recorded_decisions.loads import LOADS
from recorded_decisions.recording import record

if __name__ == "__main__":
    for machine in sys.argv[1:]:
        record(machine, LOADS[machine]())
