"""The settings file of an emulated back end's process, as typed structs."""

from pathlib import Path
from typing import Any

import msgspec

from passlane.emulator.application_model import ApplicationSettings
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """An emulated platform: its machines and how far its list lags, in seconds."""

    machines: tuple[str, ...] = ()
    lag_s: float = 2.0


class EmulatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One emulated back end; of the last three sections it uses the one for its kind.

    Attributes
    ----------
    name
        Name of the engine, application or platform.
    listen
        Where it serves HTTP, ``host:port``.
    seed
        Seed of all drawn delays and faults.
    one_way_delay_s
        Added to each request and each answer.
    incarnation
        Number of this start; give each restart a higher one.
    """

    name: str
    listen: Address
    seed: int = 0
    one_way_delay_s: float = 0.0
    incarnation: int = 1
    engine: EngineModelSettings = EngineModelSettings()
    application: ApplicationSettings = ApplicationSettings()
    platform: PlatformSettings = PlatformSettings()


def load_emulator_settings(path: Path) -> EmulatorSettings:
    """Read a settings file.

    Raises
    ------
    PasslaneError
        With code ``invalid_settings``, the file's path and the key.
    """
    try:
        fields = msgspec.toml.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise PasslaneError(ErrorCode.INVALID_SETTINGS, f"{path}: {error}") from error
    return parse_emulator_settings(path, fields)


def parse_emulator_settings(path: Path, fields: dict[str, Any]) -> EmulatorSettings:
    """Return the settings held by ``fields``; raise as ``load_emulator_settings``."""
    try:
        listen = msgspec.to_builtins(Address.parse(str(fields.get("listen", ""))))
        return msgspec.convert({**fields, "listen": listen}, EmulatorSettings)
    except (ValueError, msgspec.MsgspecError) as error:
        raise PasslaneError(ErrorCode.INVALID_SETTINGS, f"{path}: {error}") from error
