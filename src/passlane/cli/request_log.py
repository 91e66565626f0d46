"""Command ``requests``: what became of requests, from the logs of processes."""

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from passlane.cli.command import OutputCommand
from passlane.cli.exit_codes import ExitCode
from passlane.errors import ErrorCode, PasslaneError
from passlane.observability.request_log import (
    Outcome,
    Waits,
    WindowSummary,
    read_requests,
    summarize,
)

DEFAULT_WINDOW_S = 2.0
_HEADER = (
    "from s",
    "kind",
    "priority",
    *(outcome.value for outcome in Outcome),
    "reservation",
    "back end",
    "delivery",
    "reasons",
)


class RequestsCommand(OutputCommand):
    """Summarizes requests by window of time, kind and priority."""

    name = "requests"
    description = "Tells from logs, by window, what became of requests and where they waited."
    arguments: ClassVar[list[Argument]] = [argument("files", "Log files.", multiple=True)]
    extra_options: ClassVar[list[Option]] = [
        option("window", "w", "Seconds in a window.", flag=False, default=str(DEFAULT_WINDOW_S))
    ]

    def execute_command(self) -> ExitCode:
        """Print the summary."""
        window_s = _positive(self.option("window"))
        paths = [Path(name) for name in self.argument("files")]
        summaries = summarize(read_requests(_lines_of(paths)), window_s)
        if self.wants_json:
            self.show_json(summaries)
        else:
            self.show_table(_HEADER, [_row_of(summary) for summary in summaries])
        return ExitCode.OK


def _positive(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0.0 < value < float("inf"):
        raise PasslaneError(ErrorCode.BAD_REQUEST, "--window is a positive number of seconds")
    return value


def _lines_of(paths: Sequence[Path]) -> Iterator[str]:
    for path in paths:
        try:
            with path.open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise PasslaneError(ErrorCode.NOT_FOUND, f"cannot read {path}: {error}") from error


def _row_of(summary: WindowSummary) -> list[object]:
    reasons = [f"{reason}={count}" for reason, count in sorted(summary.reasons.items())]
    return [
        f"{summary.starts_s:g}",
        summary.kind,
        "-" if summary.priority is None else summary.priority,
        *(summary.outcomes.get(outcome, 0) for outcome in Outcome),
        *(_text_of(w) for w in (summary.reservation, summary.back_end, summary.delivery)),
        " ".join(reasons) or "-",
    ]


def _text_of(waits: Waits) -> str:
    """Return median and 95th percentile in milliseconds."""
    if waits.median_s is None or waits.high_s is None:
        return "-"
    return f"{1000 * waits.median_s:.0f}/{1000 * waits.high_s:.0f} ms"
