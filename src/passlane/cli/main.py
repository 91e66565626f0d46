"""Entry point of the command ``passlane``, the operators' client."""

import importlib.metadata
import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from passlane.cli.documents import ApplyCommand, DeleteCommand, GetCommand, WithdrawCommand
from passlane.cli.drains import DrainCommand, UndrainCommand
from passlane.cli.exit_codes import ExitCode
from passlane.cli.log import LogCommand
from passlane.cli.policies import PolicyCheckCommand
from passlane.cli.policy_explain import PolicyExplainCommand
from passlane.cli.programs import (
    ProgramsExplainCommand,
    ProgramsListCommand,
    ProgramsShowCommand,
)
from passlane.cli.proofs import (
    BenchListCommand,
    BenchRunCommand,
    SimulationDefectsCommand,
    SimulationListCommand,
    SimulationRunCommand,
    TraceReplayCommand,
)
from passlane.cli.request_log import RequestsCommand
from passlane.cli.soak import SoakCommand
from passlane.cli.status import StatusCommand

COMMANDS = (
    ApplyCommand,
    GetCommand,
    DeleteCommand,
    WithdrawCommand,
    StatusCommand,
    PolicyCheckCommand,
    PolicyExplainCommand,
    DrainCommand,
    UndrainCommand,
    ProgramsListCommand,
    ProgramsShowCommand,
    ProgramsExplainCommand,
    LogCommand,
    RequestsCommand,
    SimulationRunCommand,
    SimulationListCommand,
    SimulationDefectsCommand,
    TraceReplayCommand,
    BenchListCommand,
    BenchRunCommand,
    SoakCommand,
)


def build_application() -> Application:
    """Return the application with all commands."""
    application = Application("passlane", importlib.metadata.version("passlane"))
    for command in COMMANDS:
        application.add(command())
    return application


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code.

    Parameters
    ----------
    arguments
        Arguments after the program's name; by default those of the process.
    """
    application = build_application()
    application.auto_exits(False)
    application.catch_exceptions(False)
    argv_input = None if arguments is None else ArgvInput(["passlane", *arguments])
    try:
        return application.run(argv_input)
    except CleoError as error:
        # Unknown command or option, or missing argument: no command has run.
        print(f"passlane: {str(error).strip().rstrip('.')}; see 'passlane list'", file=sys.stderr)
        return int(ExitCode.USAGE)


if __name__ == "__main__":
    sys.exit(main())
