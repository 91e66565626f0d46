"""``python -m passlane.emulator.main KIND --settings FILE``: an emulated back end as a process."""

import argparse
import random
import sys
from pathlib import Path

import anyio
import httpcore
import msgspec
import uvicorn

from passlane.emulator.application_app import build_tool_application
from passlane.emulator.application_model import ApplicationModel
from passlane.emulator.engine_app import build_engine_application
from passlane.emulator.engine_service import EngineService
from passlane.emulator.platform_app import build_platform_application
from passlane.emulator.platform_model import PlatformModel
from passlane.emulator.settings import EmulatorSettings, load_emulator_settings
from passlane.errors import PasslaneError
from passlane.identifiers import EngineId
from passlane.messages.backends import CacheSnapshot
from passlane.messages.common import Address
from passlane.runtime.interfaces import AsgiApplication

KINDS = ("engine", "application", "platform")
EXIT_INVALID_SETTINGS = 2
IDLE_CONNECTION_S = 75
SHUTDOWN_TIMEOUT_S = 2


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
    """Serve a back end until the server is told to stop."""
    generator = random.Random(settings.seed)
    async with anyio.create_task_group() as tasks:
        if kind == "engine":
            service = EngineService(
                settings.engine, EngineId(settings.name), generator, settings.incarnation
            )
            tasks.start_soon(service.run)
            application = build_engine_application(
                service, _read_remote_cache, settings.one_way_delay_s
            )
        elif kind == "application":
            application = build_tool_application(
                ApplicationModel(settings.application, generator), settings.one_way_delay_s
            )
        else:
            application = _platform_application(settings)
        await _run_server(application, settings.listen)
        tasks.cancel_scope.cancel()


def _platform_application(settings: EmulatorSettings) -> AsgiApplication:
    """Return the application of an emulated platform."""
    platform = settings.platform
    model = PlatformModel(platform.machines, platform.lag_s, anyio.current_time())
    return build_platform_application(model)


async def _run_server(application: AsgiApplication, listen: Address) -> None:
    """Serve until a signal arrives."""
    config = uvicorn.Config(
        application,
        host=listen.host,
        port=listen.port,
        http="httptools",
        lifespan="off",
        access_log=False,
        log_level="critical",
        timeout_keep_alive=IDLE_CONNECTION_S,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
    )
    await uvicorn.Server(config).serve()


async def _read_remote_cache(address: Address, program_id: str) -> int:
    """Ask another engine how many tokens it holds for a program.

    Raises
    ------
    OSError
        When it can't be asked.
    """
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", f"http://{address}/v1/cache")
        snapshot = msgspec.json.decode(response.content, type=CacheSnapshot)
    except (httpcore.NetworkError, httpcore.ProtocolError, msgspec.DecodeError) as error:
        raise OSError(f"engine at {address}: {error}") from error
    return sum(entry.tokens for entry in snapshot.entries if entry.program_id == program_id)


if __name__ == "__main__":
    sys.exit(main())
