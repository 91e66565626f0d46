"""Copies an example's settings into a run folder, with free ports in place of its own."""

import re
import socket
import tomllib
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from passlane.emulator.example_files import CONFIGURATION_FILE, LOOPBACK_ADDRESS
from passlane.messages.common import Address


class ProcessKind(StrEnum):
    """What a process of a fleet is, as seen by its settings file."""

    DAEMON = "daemon"
    ENGINE = "engine"
    APPLICATION = "application"
    PLATFORM = "platform"


@dataclass(frozen=True)
class ProcessFile:
    """One process of a fleet.

    Attributes
    ----------
    name
        Name of the process, from its settings.
    roles
        Roles of a daemon; empty for emulated back ends.
    health
        Address that is asked whether the process is ready.
    callers
        A node's address for callers.
    """

    name: str
    kind: ProcessKind
    settings: Path
    health: Address
    roles: tuple[str, ...] = ()
    zone: str = ""
    callers: Address | None = None


def copy_example(example: Path, folder: Path) -> list[ProcessFile]:
    """Copy the settings files of ``example`` to ``folder`` and return their processes.

    Each loopback address is replaced by one with the same host and a free port, the same
    in all files, so that several fleets can run on one machine.
    """
    folder.mkdir(parents=True, exist_ok=True)
    ports = _FreePorts()
    processes: list[ProcessFile] = []
    for source in sorted(example.glob("*.toml")):
        target = folder / source.name
        target.write_text(LOOPBACK_ADDRESS.sub(ports.replace, source.read_text()))
        if source.name != CONFIGURATION_FILE:
            processes.append(_read_process(target))
    ports.close()
    return processes


class _FreePorts:
    """Finds free ports and keeps them reserved until all are found."""

    def __init__(self) -> None:
        self._known: dict[str, str] = {}
        self._sockets: list[socket.socket] = []

    def replace(self, match: re.Match[str]) -> str:
        """Return the address that stands for the one in the example."""
        text = match.group(0)
        if text not in self._known:
            self._known[text] = self._find(match.group(1))
        return self._known[text]

    def close(self) -> None:
        """Give the ports free for the processes that are to listen on them."""
        for reserved in self._sockets:
            reserved.close()

    def _find(self, host: str) -> str:
        """Return an address of ``host`` on which nobody listens."""
        reserved = socket.socket()
        reserved.bind((host, 0))
        self._sockets.append(reserved)
        return f"{host}:{reserved.getsockname()[1]}"


def _read_process(path: Path) -> ProcessFile:
    """Return the process that a settings file describes."""
    fields = tomllib.loads(path.read_text())
    if "process" in fields:
        addresses = fields["addresses"]
        callers = addresses.get("callers")
        return ProcessFile(
            name=fields["process"]["name"],
            kind=ProcessKind.DAEMON,
            settings=path,
            health=Address.parse(addresses["operators"]),
            roles=tuple(fields["process"]["roles"]),
            zone=fields["process"]["zone"],
            callers=None if callers is None else Address.parse(callers),
        )
    kind = next(kind for kind in ProcessKind if kind.value in fields)
    return ProcessFile(
        name=fields["name"], kind=kind, settings=path, health=Address.parse(fields["listen"])
    )
