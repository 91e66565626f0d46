"""Starts a node with only the deployed packages; reports its imports and its memory when idle.

Run this file to print the figures.
"""

import os
import re
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from importlib.metadata import distribution
from pathlib import Path

import passlane
from passlane.bench.loopback import free_address
from passlane.platform.names import SETTINGS_VARIABLE

ROOT = Path(__file__).resolve().parents[2]
SOURCE = Path(passlane.__file__).parents[1]
DEPLOYED = ROOT / "deploy" / "requirements.lock"
OWN_PACKAGE = "passlane"
STARTUP_WAIT_S = 3.0
"""Time after the first log line until a node is idle and waits for its seeds."""
LINE_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
STARTED = '"event":"started"'
IMPORTED = "imported:"
PROGRAM = f"""
import atexit, runpy, sys
atexit.register(lambda: print({IMPORTED!r}, *filter(sys.modules.get, list(sys.modules))))
runpy.run_module("passlane.daemon.fleet_start", run_name="__main__", alter_sys=True)
"""
SETTINGS = """
seeds = ["{}"]
process = {{ name = "node-1", role = "node", zone = "a", is_first_start = true }}
addresses = {{ internal = "{}", callers = "{}", readiness = "{}", metrics = "{}" }}
backend_list = {{ address = "{}", rate_per_s = 20.0 }}
timing = {{ grace_s = 4 }}
turns = {{ are_placed_by_store = true }}
"""
ADDRESS_COUNT = 6


_RESIDENT_FIELD = 1
"""Position in ``/proc/PID/statm``, in pages."""


@dataclass(frozen=True)
class NodeStart:
    """Modules that a node has imported when it exits, and its resident memory when idle."""

    packages: tuple[str, ...]
    package_modules: int
    own_modules: int
    standard_modules: int
    resident_bytes: int


@dataclass(frozen=True)
class RunningNode:
    """A node's process, its log file and the folder of its packages."""

    process: "subprocess.Popen[bytes]"
    log: Path
    packages: Path


def measure_node_start() -> NodeStart:
    """Start a node whose seeds don't answer, wait until it is idle, and stop it."""
    with tempfile.TemporaryDirectory() as folder:
        with running_node(Path(folder)) as running:
            time.sleep(STARTUP_WAIT_S)
            resident_bytes = resident_bytes_of(running.process.pid)
        return sort_modules(running.log.read_text(), running.packages, resident_bytes)


@contextmanager
def running_node(folder: Path) -> Iterator[RunningNode]:
    """Run a node whose seeds don't answer, until the context is left."""
    packages, settings, log = (folder / name for name in ("packages", "settings", "log"))
    link_deployed_packages(packages)
    settings.write_text(SETTINGS.format(*(free_address() for _ in range(ADDRESS_COUNT))))
    running = RunningNode(start_node(packages, settings, log), log, packages)
    try:
        wait_for_line(running, STARTED)
        yield running
    finally:
        running.process.terminate()
        running.process.wait()


def resident_bytes_of(process_id: int) -> int:
    """Return a process's resident memory in bytes."""
    pages = Path(f"/proc/{process_id}/statm").read_text().split()[_RESIDENT_FIELD]
    return int(pages) * resource.getpagesize()


def link_deployed_packages(folder: Path) -> None:
    """Link the packages that ``pip`` installs next to the deployed code into a folder."""
    folder.mkdir()
    for name in re.findall(r"^(\w+)==", DEPLOYED.read_text(), re.MULTILINE):
        package = distribution(name)
        for top in {file.parts[0] for file in package.files or () if file.suffix in (".py", ".so")}:
            (folder / top).symlink_to(str(package.locate_file(top)))


def start_node(packages: Path, settings: Path, log: Path) -> "subprocess.Popen[bytes]":
    """Start a node as the deployment does; when it exits, it prints the imported modules."""
    environment = {
        "PYTHONPATH": f"{SOURCE}{os.pathsep}{packages}",
        SETTINGS_VARIABLE: str(settings),
    }
    command = [sys.executable, "-S", "-P", "-c", PROGRAM]
    with log.open("wb") as output:
        return subprocess.Popen(
            command, env=environment, stdout=output, stderr=subprocess.STDOUT, cwd=log.parent
        )


def wait_for_line(running: RunningNode, part: str) -> None:
    """Return when the node's log contains ``part``."""
    deadline = time.monotonic() + LINE_TIMEOUT_S
    while part not in running.log.read_text():
        if running.process.poll() is not None or time.monotonic() > deadline:
            raise AssertionError(f"expected {part} in the node's log: {running.log.read_text()}")
        time.sleep(POLL_INTERVAL_S)


def sort_modules(output: str, packages: Path, resident_bytes: int) -> NodeStart:
    """Return the modules that a node imported, by their origin."""
    line = next(line for line in output.splitlines() if line.startswith(IMPORTED))
    modules = line.split()[1:]
    deployed = {path.stem.partition(".")[0] for path in packages.iterdir()}
    tops = [module.partition(".")[0] for module in modules]
    found = [top for top in tops if top in deployed]
    return NodeStart(
        packages=tuple(sorted(set(found))),
        package_modules=len(found),
        own_modules=tops.count(OWN_PACKAGE),
        standard_modules=sum(top in sys.stdlib_module_names for top in tops),
        resident_bytes=resident_bytes,
    )


if __name__ == "__main__":
    print(measure_node_start())
