"""The command ``passlaned``: runs one process of passlane.

For: the entry point ``passlaned`` in ``pyproject.toml``. Nodes of ``passlaned`` lead programs.
Owns: the command line, the signal handling and the exit codes.
Relies on: ``passlaned.daemon`` for the process itself.
"""

import importlib.metadata
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any, ClassVar

import anyio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from passlane.daemon.passlaned.daemon import Daemon
from passlane.decisions.admission.client_budget import ClientBounds
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.runtime.client_limiter import ClientLimiter
from passlane.runtime.delayed_network import DelayedNetwork
from passlane.runtime.interfaces import Environment
from passlane.runtime.network import TcpNetwork
from passlane.runtime.process_usage import descriptor_limit
from passlane.runtime.real import build_environment
from passlane.settings.loader import SettingsError, load_settings
from passlane.settings.model import Settings
from passlane.supervision.supervisor import TooManyRestartsError

EXIT_OK = 0
EXIT_FAILED = 1
"""A part of the daemon exceeded its restart limit."""
EXIT_BAD_SETTINGS = 2

_KEY_OF_OPTION: Mapping[str, str] = {
    "address-internal": "addresses.internal",
    "address-operators": "addresses.operators",
    "address-callers": "addresses.callers",
    "zone": "process.zone",
}


class RunCommand(Command):
    """Runs the daemon; with ``--check`` only checks its settings."""

    name = "passlaned"
    description = "Runs one process of passlane."
    options: ClassVar[list[Option]] = [
        option("settings", "s", "Settings file (TOML).", flag=False),
        option("check", None, "Check the settings, then exit.", flag=True),
        option("address-internal", None, "Overrides addresses.internal (host:port).", flag=False),
        option("address-operators", None, "Overrides addresses.operators (host:port).", flag=False),
        option("address-callers", None, "Overrides addresses.callers (host:port).", flag=False),
        option("zone", None, "Overrides process.zone.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command and return the exit code."""
        path = self.option("settings")
        if path is None:
            self.line_error("passlaned: --settings FILE is required")
            return EXIT_BAD_SETTINGS
        try:
            settings = load_settings(Path(path), self._overrides())
        except SettingsError as error:
            self.line_error(f"passlaned: {error}")
            return EXIT_BAD_SETTINGS
        if self.option("check"):
            self.line(f"{path}: ok")
            return EXIT_OK
        return run_daemon(settings)

    def _overrides(self) -> dict[str, Any]:
        values = {key: self.option(name) for name, key in _KEY_OF_OPTION.items()}
        return {key: value for key, value in values.items() if value is not None}


def run_daemon(settings: Settings) -> int:
    """Run a daemon until it has drained after a signal; return the exit code."""
    ring = RingLog(settings.observability.ring_lines)
    configure_logging(ring, process=settings.process.name)
    network = DelayedNetwork(TcpNetwork(), settings.process.zone, settings.delays)
    limiter = ClientLimiter(ClientBounds.of_machine(None, descriptor_limit()))
    environment = build_environment(
        Path(settings.process.data_folder), seed=None, network=network, limiter=limiter
    )
    try:
        anyio.run(_run_until_signal, settings, environment, ring, limiter, backend="asyncio")
    except TooManyRestartsError as error:
        print(f"passlaned: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


async def _run_until_signal(
    settings: Settings, environment: Environment, ring: RingLog, limiter: ClientLimiter
) -> None:
    daemon = Daemon(settings, environment, ring)
    limiter.expose(daemon.metrics)
    failures: list[TooManyRestartsError] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_drain_on_signal, daemon)
        try:
            await daemon.run()
        except TooManyRestartsError as error:
            failures.append(error)
        tasks.cancel_scope.cancel()
    if failures:
        raise failures[0]


async def _drain_on_signal(daemon: Daemon) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            await daemon.drain_and_stop()
            return


def main() -> int:
    """Run the ``passlaned`` command; return the exit code."""
    application = Application("passlaned", importlib.metadata.version("passlane"))
    application.auto_exits(False)
    application.add(RunCommand())
    # cleo has no public setter for programs without subcommands.
    application._default_command = RunCommand.name
    application._single_command = True
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
