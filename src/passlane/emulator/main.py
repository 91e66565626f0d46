"""``python -m passlane.emulator.main KIND --settings FILE``: an emulated back end as a process."""

import argparse
import signal
import sys
from pathlib import Path

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.emulator.application_app import build_tool_application
from passlane.emulator.application_model import ApplicationModel
from passlane.emulator.engine_app import build_engine_application
from passlane.emulator.engine_service import EngineService
from passlane.emulator.platform_app import build_platform_application
from passlane.emulator.platform_model import PlatformModel
from passlane.emulator.remote_cache import remote_cache_reader
from passlane.emulator.settings import EmulatorSettings, load_emulator_settings
from passlane.errors import PasslaneError
from passlane.identifiers import EngineId
from passlane.messages.common import Address
from passlane.runtime.interfaces import AsgiApplication, Environment
from passlane.runtime.real import build_environment

KINDS = ("engine", "application", "platform")
EXIT_INVALID_SETTINGS = 2


def main(arguments: list[str] | None = None) -> int:
    """Serve one back end until SIGTERM or SIGINT; return the exit code."""
    options = _parse(arguments)
    try:
        settings = load_emulator_settings(options.settings)
    except PasslaneError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if options.listen is not None:
        settings = msgspec.structs.replace(settings, listen=options.listen)
    if options.incarnation is not None:
        settings = msgspec.structs.replace(settings, incarnation=options.incarnation)
    anyio.run(_serve, options.kind, settings)
    return 0


def _parse(arguments: list[str] | None) -> argparse.Namespace:
    """Return the command line's options."""
    parser = argparse.ArgumentParser(prog="passlane.emulator.main", description=__doc__)
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("--settings", type=Path, required=True, help="TOML file")
    parser.add_argument("--listen", type=Address.parse, help="host:port, instead of the file's")
    parser.add_argument("--incarnation", type=int, help="number of this start")
    return parser.parse_args(arguments)


async def _serve(kind: str, settings: EmulatorSettings) -> None:
    """Serve a back end until a signal tells it to stop."""
    environment = build_environment(Path(), settings.seed)
    async with anyio.create_task_group() as tasks:
        application = _build(kind, settings, environment, tasks)
        tasks.start_soon(environment.http_server.serve, settings.listen, application)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        tasks.cancel_scope.cancel()


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
