"""Programs started with ``python -m``: their commands, as the house's command lines have them."""

import importlib.metadata
import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

EXIT_USAGE = 2


def run_single_command(command: Command, arguments: Sequence[str] | None = None) -> int:
    """Run a program that is one command, whose options follow its name; return the exit code.

    Parameters
    ----------
    command
        Its name is that of the program.
    arguments
        Words after the program's name; by default those of the process.
    """
    name = command.name or ""
    application = _application(name, [command])
    # cleo's switch for programs without subcommands has no public setter.
    application._default_command = name
    application._single_command = True
    return _run(application, arguments)


def run_commands(
    name: str, commands: Sequence[Command], arguments: Sequence[str] | None = None
) -> int:
    """Run the command of a program that the first argument names; return the exit code."""
    return _run(_application(name, commands), arguments)


def _application(name: str, commands: Sequence[Command]) -> Application:
    application = Application(name, importlib.metadata.version("passlane"))
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in commands:
        application.add(command)
    return application


def _run(application: Application, arguments: Sequence[str] | None) -> int:
    name = application.name
    words = None if arguments is None else ArgvInput([name, *arguments])
    try:
        return application.run(words)
    except CleoError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return EXIT_USAGE
