"""Resolves the servers and the token from options, environment and settings file."""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address
from passlane.settings.loader import load_settings

SERVER_VARIABLE = "PASSLANE_SERVER"
TOKEN_VARIABLE = "PASSLANE_TOKEN"
SETTINGS_VARIABLE = "PASSLANE_SETTINGS"


@dataclass(frozen=True)
class ConnectionOptions:
    """Connection options of the command line; ``None`` if not given."""

    server: str | None = None
    token: str | None = None
    settings: str | None = None


@dataclass(frozen=True)
class Target:
    """Operators' addresses to try in order, and the token for them."""

    servers: tuple[Address, ...]
    token: str


def find_target(options: ConnectionOptions, variables: Mapping[str, str] = os.environ) -> Target:
    """Return servers and token.

    Options take precedence over environment variables, and these over the settings file
    of a daemon, which gives its operators' address and the token of its first operator.
    Several servers are separated by commas.

    Raises
    ------
    PasslaneError
        ``BAD_REQUEST`` if servers or token are missing or an address is invalid.
    """
    servers = _parse_servers(options.server or variables.get(SERVER_VARIABLE))
    token = options.token or variables.get(TOKEN_VARIABLE)
    settings_file = options.settings or variables.get(SETTINGS_VARIABLE)
    if settings_file and not (servers and token):
        settings = load_settings(Path(settings_file))
        servers = servers or (settings.addresses.operators,)
        if settings.security.operators:
            token = token or settings.security.operators[0].token
    if not servers:
        raise _missing_option("--server", SERVER_VARIABLE)
    if not token:
        raise _missing_option("--token", TOKEN_VARIABLE)
    return Target(servers, token)


def _parse_servers(text: str | None) -> tuple[Address, ...]:
    if not text:
        return ()
    try:
        return tuple(Address.parse(part.strip()) for part in text.split(","))
    except ValueError as error:
        raise PasslaneError(ErrorCode.BAD_REQUEST, f"--server: {error}") from error


def _missing_option(option: str, variable: str) -> PasslaneError:
    return PasslaneError(
        ErrorCode.BAD_REQUEST, f"missing {option}: give {option}, {variable} or --settings FILE"
    )
