"""Command ``requests``: summarizes the outcomes of requests from log files."""

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
    Grouping,
    Outcome,
    Waits,
    WindowSummary,
    read_requests,
    summarize,
)

DEFAULT_WINDOW_S = 2.0
_GROUPINGS = ", ".join(Grouping)
_HEADER = (
    *(outcome.value for outcome in Outcome),
    "reservation",
    "back end",
    "delivery",
    "place",
    "room",
    "reasons",
)


class RequestsCommand(OutputCommand):
    """Summarizes requests by window of time and group."""

    name = "requests"
    description = (
        "Summarizes from logs, by time window, the outcomes of requests and where they waited."
    )
    arguments: ClassVar[list[Argument]] = [argument("files", "Log files.", multiple=True)]
    extra_options: ClassVar[list[Option]] = [
        option(
            "window",
            "w",
            "Length of a window in seconds.",
            flag=False,
            default=str(DEFAULT_WINDOW_S),
        ),
        option("by", "b", f"Group by one of: {_GROUPINGS}.", flag=False, default=Grouping.KIND),
    ]

    def execute_command(self) -> ExitCode:
        """Print the summary."""
        window_s = _parse_window_s(self.option("window"))
        grouping = _parse_grouping(self.option("by"))
        paths = [Path(name) for name in self.argument("files")]
        summaries = summarize(read_requests(_read_lines(paths)), window_s, grouping)
        if self.wants_json:
            self.show_json(summaries)
        else:
            names = ("kind", "priority") if grouping is Grouping.KIND else (grouping.value,)
            rows = [_build_row(summary, grouping) for summary in summaries]
            self.show_table(("from s", *names, *_HEADER), rows)
        return ExitCode.OK


def _parse_window_s(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0.0 < value < float("inf"):
        raise PasslaneError(
            ErrorCode.BAD_REQUEST, f"--window must be a positive number of seconds, not {text!r}"
        )
    return value


def _parse_grouping(text: str) -> Grouping:
    try:
        return Grouping(text)
    except ValueError as error:
        raise PasslaneError(
            ErrorCode.BAD_REQUEST, f"--by must be one of {_GROUPINGS}, not {text!r}"
        ) from error


def _read_lines(paths: Sequence[Path]) -> Iterator[str]:
    for path in paths:
        try:
            with path.open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise PasslaneError(ErrorCode.NOT_FOUND, f"cannot read {path}: {error}") from error


def _build_row(summary: WindowSummary, grouping: Grouping) -> list[object]:
    reasons = [f"{reason}={count}" for reason, count in sorted(summary.reasons.items())]
    names: list[object] = [summary.group or "-"]
    if grouping is Grouping.KIND:
        names.append("-" if summary.priority is None else summary.priority)
    waits = (
        summary.reservation, summary.back_end, summary.delivery, summary.place, summary.room
    )  # fmt: skip
    return [
        f"{summary.starts_s:g}",
        *names,
        *(summary.outcomes.get(outcome, 0) for outcome in Outcome),
        *(_format_waits(wait) for wait in waits),
        " ".join(reasons) or "-",
    ]


def _format_waits(waits: Waits) -> str:
    """Return median and 95th percentile in milliseconds, or ``-`` without values."""
    if waits.median_s is None or waits.high_s is None:
        return "-"
    return f"{1000 * waits.median_s:.0f}/{1000 * waits.high_s:.0f} ms"
