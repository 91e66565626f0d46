"""The platform's HTTP protocol: the lagging list of machines, as an ASGI application."""

import anyio
import msgspec

from passlane.emulator.asgi import STATUS_OK, Exchange, Route, build_application
from passlane.emulator.platform_model import LEAVING, LIVE, PlatformModel
from passlane.messages.backends import PlatformMachine
from passlane.runtime.interfaces import AsgiApplication

GONE = "gone"
DEFAULT_LEAVES_IN_S = 60.0


def build_platform_application(model: PlatformModel) -> AsgiApplication:
    """Return the ASGI application that serves an emulated platform.

    ``GET /v1/machines`` is the platform's protocol. ``POST /v1/test/machines`` with a
    ``PlatformMachine`` (state ``live``, ``leaving`` or ``gone``) is for tests only.
    """

    async def machines(exchange: Exchange) -> None:
        await exchange.answer(STATUS_OK, model.read(anyio.current_time()))

    async def change(exchange: Exchange) -> None:
        machine = msgspec.json.decode(exchange.request.body, type=PlatformMachine)
        _apply(model, machine, anyio.current_time())
        await exchange.answer(STATUS_OK, machine)

    return build_application(
        (
            Route("GET", "/v1/machines", machines),
            Route("POST", "/v1/test/machines", change),
        )
    )


def _apply(model: PlatformModel, machine: PlatformMachine, now: float) -> None:
    """Change the true list as a test wishes; unknown states are a decoding error."""
    match machine.state:
        case "live":
            model.mark_live(machine.name, now)
        case "leaving":
            leaves_in_s = machine.leaves_in_s
            if leaves_in_s is None:
                leaves_in_s = DEFAULT_LEAVES_IN_S
            model.mark_leaving(machine.name, leaves_in_s, now)
        case "gone":
            model.remove(machine.name, now)
        case _:
            raise msgspec.DecodeError(f"state must be {LIVE}, {LEAVING} or {GONE}")
