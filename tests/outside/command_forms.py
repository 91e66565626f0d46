"""Commands, arguments and options of the programs that the package installs."""

import re
import tomllib
from importlib import import_module
from typing import Any
from unittest import mock

from cleo.application import Application
from cleo.commands.command import Command

from outside.product_source import SOURCE

REPOSITORY = SOURCE.parents[1]
PYPROJECT = REPOSITORY / "pyproject.toml"
DEPLOYMENT = REPOSITORY / "deploy" / "system.toml"
RUN_LINE = re.compile(r'^run = "(.*)"$', re.MULTILINE)


def command_forms() -> dict[str, Any]:
    """Return the commands of each installed program with their arguments and options."""
    scripts = tomllib.loads(PYPROJECT.read_text())["project"]["scripts"]
    return {name: _program_form(place) for name, place in sorted(scripts.items())}


def _program_form(place: str) -> dict[str, Any]:
    application = _application_of(place)
    own = {command.name: command for command in application.all().values()}
    return {str(name): _command_form(command) for name, command in sorted(own.items())}


def _application_of(place: str) -> Application:
    """Return the application that a program's main function runs, without running it."""
    module, function = place.split(":")
    ran: list[Application] = []

    def take(application: Application, *_: Any) -> int:
        ran.append(application)
        return 0

    with mock.patch.object(Application, "run", take):
        getattr(import_module(module), function)()
    return ran[0]


def _command_form(command: Command) -> dict[str, Any]:
    definition = command.definition
    return {
        "aliases": sorted(command.aliases),
        "hidden": command.hidden,
        "arguments": [
            [a.name, a.is_required(), a.is_list(), a.default] for a in definition.arguments
        ],
        "options": sorted(
            [o.name, o.shortcut or "", o.is_flag(), o.is_list(), str(o.default)]
            for o in definition.options
        ),
    }


def deployed_programs() -> list[str]:
    """Return the command of each process that the deployment starts."""
    return sorted(set(RUN_LINE.findall(DEPLOYMENT.read_text())))


def module_of(command: str) -> str:
    """Return the module that ``python -m`` of a deployed command runs."""
    return command.split(" -m ")[1].split()[0]
