"""Command ``log``: prints the newest log lines of one process."""

from typing import Any, ClassVar

from cleo.helpers import option
from cleo.io.inputs.option import Option

from passlane.cli.client import OperatorClient
from passlane.cli.command import OperatorCommand
from passlane.cli.exit_codes import ExitCode
from passlane.errors import ErrorCode, PasslaneError

DEFAULT_LOG_LINES = 100


class LogCommand(OperatorCommand):
    """Shows the newest log lines of a process."""

    name = "log"
    description = "Shows the newest lines of the server's log, which is kept in memory."
    extra_options: ClassVar[list[Option]] = [
        option("lines", "l", "Lines to show.", flag=False, default=str(DEFAULT_LOG_LINES))
    ]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Print the lines."""
        text = self.option("lines")
        if not text.isdecimal():
            raise PasslaneError(
                ErrorCode.BAD_REQUEST, f"--lines must be a whole number, not {text!r}"
            )
        lines = await client.read_log(int(text))
        if self.wants_json:
            self.show_json(lines)
        else:
            self.show_lines([_format_log_line(line) for line in lines])
        return ExitCode.OK


def _format_log_line(line: dict[str, Any]) -> str:
    """Return time (seconds on the process's clock), level, component, event, other fields."""
    fields = dict(line)
    time_s = fields.pop("time_s", None)
    time = "-" if time_s is None else f"{time_s:.3f}"
    parts = [time, *(str(fields.pop(key, "-")) for key in ("level", "component", "event"))]
    parts += [f"{key}={value}" for key, value in fields.items()]
    return " ".join(parts)
