"""Base classes of the commands.

They own the common options, output as text or JSON, error output and exit codes.
"""

from collections.abc import Sequence
from typing import Any, ClassVar

import anyio
import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from passlane.cli.client import OperatorClient
from passlane.cli.connection import ConnectionOptions, find_target
from passlane.cli.exit_codes import ExitCode, exit_code_of
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.interfaces import HttpClient
from passlane.runtime.network import TcpNetwork

TEXT = "text"
JSON = "json"

OUTPUT_OPTION = option("output", "o", "text or json.", flag=False, default=TEXT)
CONNECTION_OPTIONS = [
    option(
        "server", None, "Operators' address host:port; separate several with commas.", flag=False
    ),
    option("token", None, "Operator's token; prefer the variable PASSLANE_TOKEN.", flag=False),
    option(
        "settings", None, "Settings file of a daemon to read address and token from.", flag=False
    ),
]


class FailureReport(msgspec.Struct, frozen=True):
    """JSON output of a command that failed."""

    code: str
    message: str
    verdict: str


class OutputCommand(Command):
    """A command that prints text or JSON and turns errors into exit codes."""

    extra_options: ClassVar[list[Option]] = []

    def __init_subclass__(cls) -> None:
        cls.options = [*cls.extra_options, *cls.common_options()]

    @classmethod
    def common_options(cls) -> list[Option]:
        """Return the options that all commands of this class share."""
        return [OUTPUT_OPTION]

    @property
    def wants_json(self) -> bool:
        """Whether the output is JSON."""
        return bool(self.option("output") == JSON)

    def handle(self) -> int:
        """Run the command and return its exit code."""
        try:
            if self.option("output") not in (TEXT, JSON):
                raise PasslaneError(
                    ErrorCode.BAD_REQUEST,
                    f"--output must be text or json, not {self.option('output')!r}",
                )
            return int(self.execute_command())
        except PasslaneError as error:
            self.show_error(error)
            return int(exit_code_of(error.code))

    def execute_command(self) -> ExitCode:
        """Do the work of the command."""
        raise NotImplementedError

    def show_error(self, error: PasslaneError, subject: str | None = None) -> None:
        """Print an error as JSON on stdout with ``--output json``, else as a line on stderr.

        ``subject`` names the item that failed, for commands that process several.
        """
        if self.wants_json:
            self.show_json(FailureReport(error.code.value, error.message, error.verdict.value))
            return
        prefix = self.name if subject is None else f"{self.name}: {subject}"
        line = f"{prefix}: {error}{self.describe_verdict(error.verdict)}"
        self.line_error(line.replace("<", "\\<"))

    def describe_verdict(self, verdict: Verdict) -> str:
        """Return a note on what a failed command may have changed; empty by default."""
        return ""

    def show_json(self, value: Any) -> None:
        """Print a value as JSON."""
        self.io.write_line(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())

    def show_lines(self, lines: Sequence[str]) -> None:
        """Print lines with markup escaped."""
        for line in lines:
            self.io.write_line(line.replace("<", "\\<"))

    def show_table(self, header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
        """Print rows in columns under a header."""
        texts = [[str(cell) for cell in row] for row in [header, *rows]]
        widths = [max(len(row[column]) for row in texts) for column in range(len(header))]
        self.show_lines([_format_row(row, widths) for row in texts])


class OperatorCommand(OutputCommand):
    """A command that sends requests to a server.

    Parameters
    ----------
    http
        Sends the requests; by default over TCP.
    """

    def __init__(self, http: HttpClient | None = None) -> None:
        super().__init__()
        self._http = http

    @classmethod
    def common_options(cls) -> list[Option]:
        """Return the options for output and connection."""
        return [OUTPUT_OPTION, *CONNECTION_OPTIONS]

    def execute_command(self) -> ExitCode:
        """Create a client and run the command with it."""
        target = find_target(
            ConnectionOptions(self.option("server"), self.option("token"), self.option("settings"))
        )
        http = self._http or SingleConnectionHttpClient(TcpNetwork())
        client = OperatorClient(http, target.servers, target.token)
        return anyio.run(self.run_with, client)

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Do the work of the command with a client."""
        raise NotImplementedError


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return "  ".join(cells).rstrip()
