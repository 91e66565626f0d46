"""Runs one process of a fleet on the platform; the composition root.

For: ``fleet_start``, for all three roles.
Owns: the supervisor tree, signal handling, the reloads of the settings file, and the HTTP server
for metrics.
Relies on: one module for each role, imported only in a process of that role.
"""

import signal
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Protocol

import anyio

from passlane.daemon.fleet.context import FleetContext
from passlane.decisions.admission.client_budget import ClientBounds, ClientGroup
from passlane.decisions.limits.turn_storage import max_unsent_reply_bytes
from passlane.messages.fleet import FleetRole
from passlane.observability.health import MetricsApplication
from passlane.observability.logging import configure_logging, get_logger
from passlane.observability.metrics import Metrics
from passlane.observability.ring import RingLog
from passlane.observability.standard_output import StandardOutputLog
from passlane.observability.unforeseen_errors import log_ending_errors
from passlane.runtime.client_limiter import ClientLimiter
from passlane.runtime.early_listening import ListeningSockets
from passlane.runtime.interfaces import HttpLimits
from passlane.runtime.real import build_environment
from passlane.settings.fleet import FleetSettings, load_fleet_settings
from passlane.settings.loader import SettingsError
from passlane.supervision.specification import ChildSpecification, RestartRule
from passlane.supervision.supervisor import Supervisor, TooManyRestartsError
from passlane.transport.client import ConnectionPool
from passlane.transport.large_replies import DEFAULT_UNSENT_BYTES, LargeReplies
from passlane.transport.router import MessageRouter
from passlane.transport.server import MessageServer

EXIT_OK = 0
EXIT_FAILED = 1
"""A child of the supervisor exceeded its restart limit."""
EXIT_BAD_SETTINGS = 2
MAX_RING_LINES = 2_000
"""Log lines retained in memory."""
NODE_FOLDER = "/tmp/passlane"
"""Placeholder for the data folder of a node, which stores no files."""
SETTINGS_POLL_INTERVAL_S = 2.0
"""Interval between two checks of the settings file for changes without a signal."""

_log = get_logger("daemon")


class FleetProcess(Protocol):
    """A process of one role."""

    async def run(self) -> None:
        """Run until stopped."""
        ...

    def reload(self, settings: FleetSettings) -> None:
        """Apply those settings that may change while the process runs."""
        ...

    async def drain_and_stop(self) -> None:
        """Finish the work in flight, then stop."""
        ...


def _build_process(context: FleetContext) -> FleetProcess:
    """Return the process for the role in the settings; import only that role's module."""
    role = context.settings.process.role
    if role is FleetRole.NODE:
        from passlane.daemon.fleet.node import FleetNode

        return FleetNode(context)
    if role is FleetRole.CONTROL:
        from passlane.daemon.fleet.control import FleetControl

        return FleetControl(context)
    from passlane.daemon.fleet.store import FleetStore

    return FleetStore(context)


class FleetDaemon:
    """One process: its supervisor tree, its signal handling and its settings file."""

    def __init__(
        self,
        path: Path,
        settings: FleetSettings,
        output: StandardOutputLog,
        sockets: ListeningSockets,
        started_at: float,
    ) -> None:
        self._path = path
        self._settings = settings
        self._output = output
        folder = settings.process.data_folder or NODE_FOLDER
        is_node = settings.process.role is FleetRole.NODE
        machine = settings.machine
        limiter = ClientLimiter(
            ClientBounds.of_machine(machine.memory_bytes, machine.max_descriptors)
        )
        environment = build_environment(
            Path(folder), seed=None, sends_requests=is_node, sockets=sockets, limiter=limiter
        )
        self._pool = ConnectionPool(environment)
        router = MessageRouter()
        large_replies = LargeReplies(
            max_unsent_reply_bytes(machine.memory_mb, DEFAULT_UNSENT_BYTES)
        )
        internal = settings.addresses.internal
        self._server = MessageServer(environment, internal, router, large_replies)
        self._metrics = Metrics()
        limiter.expose(self._metrics)
        large_replies.expose(self._metrics)
        self._environment = environment
        context = FleetContext(settings, environment, self._pool, router, self._metrics, started_at)
        self._process = _build_process(context)

    async def run(self) -> None:
        """Run until the process has stopped after a signal."""
        children = [
            ChildSpecification("log", self._output.run),
            ChildSpecification("connections", self._pool.run),
            ChildSpecification("messages", self._server.run),
            ChildSpecification("settings", self._watch_settings),
        ]
        if self._settings.addresses.metrics is not None:
            # The process keeps running if its metrics server fails.
            children.append(
                ChildSpecification("metrics", self._serve_metrics, RestartRule.TEMPORARY)
            )
        supervisor = Supervisor("fleet", children)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(supervisor.run)
            tasks.start_soon(self._reload_on_signal)
            tasks.start_soon(self._stop_on_signal)
            await self._process.run()
            tasks.cancel_scope.cancel()

    async def _serve_metrics(self) -> None:
        address = self._settings.addresses.metrics
        assert address is not None
        application = MetricsApplication(self._metrics)
        limits = HttpLimits(clients=ClientGroup.PROBES)
        await self._environment.http_server.serve(address, application, limits)

    async def _reload_on_signal(self) -> None:
        """Reload the settings at each SIGHUP, until the process ends.

        SIGHUP stays ignored afterwards: its default action would end a process that drains.
        """
        try:
            with anyio.open_signal_receiver(signal.SIGHUP) as signals:
                async for number in signals:
                    _log.info("signal", number=int(number))
                    self._reload()
        finally:
            signal.signal(signal.SIGHUP, signal.SIG_IGN)

    async def _stop_on_signal(self) -> None:
        """Drain and stop at the first SIGTERM or SIGINT; a second one ends the process at once."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                _log.info("signal", number=int(number))
                break
        await self._process.drain_and_stop()

    async def _watch_settings(self) -> None:
        """Reload the settings periodically, in case the file changed without a signal."""
        while True:
            await anyio.sleep(SETTINGS_POLL_INTERVAL_S)
            self._reload()

    def _reload(self) -> None:
        """Apply changed settings; an invalid file, perhaps half written, is read again later."""
        try:
            settings = load_fleet_settings(self._path)
        except SettingsError as error:
            _log.warning("settings_not_reloaded", problem=str(error))
            return
        if settings != self._settings:
            self._settings = settings
            _log.info("settings_reloaded", seeds=[str(seed) for seed in settings.seeds])
            self._process.reload(settings)


async def _run(build: Callable[[], FleetDaemon]) -> None:
    """Build and run the daemon; its components require a running event loop."""
    await build().run()


def main(path: Path, sockets: ListeningSockets, started_at: float) -> int:
    """Run the process with the settings file at ``path``; return the exit code.

    Parameters
    ----------
    sockets
        Sockets that already listen.
    started_at
        Monotonic time, in seconds, at which the process started.

    Raises
    ------
    Exception
        An unforeseen error, after it was logged.
    """
    try:
        settings = load_fleet_settings(path)
    except SettingsError as error:
        print(f"passlane: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    output = StandardOutputLog()
    configure_logging(RingLog(MAX_RING_LINES), output, process=settings.process.name)
    _log.info("started", role=settings.process.role.value, zone=settings.process.zone)
    exit_code = EXIT_OK
    try:
        build = partial(FleetDaemon, path, settings, output, sockets, started_at)
        anyio.run(_run, build, backend="asyncio")
    except TooManyRestartsError as error:
        _log.error("failed", message=error.message)
        exit_code = EXIT_FAILED
    except Exception as error:
        log_ending_errors(error)
        output.flush()
        raise
    _log.info("stopped", exit_code=exit_code)
    output.flush()
    return exit_code
