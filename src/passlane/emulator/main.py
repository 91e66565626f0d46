"""``python -m passlane.emulator.main KIND --settings FILE``: an emulated back end as a process."""

import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import ClassVar

import anyio
import msgspec
from anyio.abc import TaskGroup
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from passlane.emulator.application_app import build_tool_application
from passlane.emulator.application_model import ApplicationModel
from passlane.emulator.engine_app import build_engine_application
from passlane.emulator.engine_service import EngineService
from passlane.emulator.http_server import ByteStreamHttpServer
from passlane.emulator.platform_app import build_platform_application
from passlane.emulator.platform_model import PlatformModel
from passlane.emulator.program import EXIT_USAGE, run_commands
from passlane.emulator.remote_cache import remote_cache_reader
from passlane.emulator.settings import EmulatorSettings, load_emulator_settings
from passlane.errors import PasslaneError
from passlane.identifiers import EngineId
from passlane.runtime.interfaces import AsgiApplication, Environment, HttpServer
from passlane.runtime.real import build_environment

KINDS = ("engine", "application", "platform")


class BackEndCommand(Command):
    """Serves one back end until SIGTERM or SIGINT.

    Parameters
    ----------
    kind
        What it is: the command's name.
    """

    description = "Serves an emulated back end."
    options: ClassVar[list[Option]] = [
        option("settings", "s", "Settings file (TOML).", flag=False),
        option("incarnation", None, "Number of this start.", flag=False),
    ]

    def __init__(self, kind: str) -> None:
        super().__init__()
        self.name = kind
        self._kind = kind

    def handle(self) -> int:
        """Serve the back end and return the exit code."""
        file, incarnation = self.option("settings"), self.option("incarnation")
        if file is None:
            self.line_error(f"{self._kind}: --settings FILE is needed")
            return EXIT_USAGE
        try:
            settings = load_emulator_settings(Path(file))
        except PasslaneError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        if incarnation is not None:
            settings = msgspec.structs.replace(settings, incarnation=int(incarnation))
        anyio.run(_serve, self._kind, settings)
        return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """Serve the back end that the command line names; return the exit code."""
    commands = [BackEndCommand(kind) for kind in KINDS]
    return run_commands("passlane.emulator.main", commands, arguments)


async def _serve(kind: str, settings: EmulatorSettings) -> None:
    """Serve a back end until a signal tells it to stop."""
    environment = build_environment(Path(), settings.seed)
    async with anyio.create_task_group() as tasks:
        application = _build(kind, settings, environment, tasks)
        tasks.start_soon(_server(settings, environment).serve, settings.listen, application)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        tasks.cancel_scope.cancel()


def _server(settings: EmulatorSettings, environment: Environment) -> HttpServer:
    """Return the HTTP server of a back end."""
    if settings.engine.ends_with_connection:
        return ByteStreamHttpServer(environment.network)
    return environment.http_server


def _build(
    kind: str, settings: EmulatorSettings, environment: Environment, tasks: TaskGroup
) -> AsgiApplication:
    """Return the application of a back end; what it runs besides is started in ``tasks``."""
    if kind == "engine":
        service = EngineService(
            settings.engine, EngineId(settings.name), environment.random, settings.incarnation
        )
        tasks.start_soon(service.run)
        reader = remote_cache_reader(environment.http_client)
        return build_engine_application(service, reader, settings.one_way_delay_s)
    if kind == "application":
        model = ApplicationModel(settings.application, environment.random)
        return build_tool_application(model, settings.one_way_delay_s)
    platform = settings.platform
    return build_platform_application(
        PlatformModel(platform.machines, platform.lag_s, anyio.current_time())
    )


if __name__ == "__main__":
    sys.exit(main())
