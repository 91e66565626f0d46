"""Base class of the commands that change documents.

It reports the result, waits until a change is in force and describes failures.
"""

from collections.abc import Sequence

import msgspec
from cleo.helpers import option

from passlane.api.operator_views import ChangeView
from passlane.cli.client import OperatorClient
from passlane.cli.command import OperatorCommand
from passlane.cli.exit_codes import ExitCode
from passlane.cli.waiting import (
    DEFAULT_TIMEOUT_S,
    ChangePrinter,
    describe_progress,
    is_in_force,
    parse_timeout,
    summarize_progress,
    wait_for_progress,
)
from passlane.errors import Verdict
from passlane.identifiers import Revision
from passlane.messages.control import Progress

TIMEOUT_OPTION = option(
    "timeout", None, "Maximum seconds to wait.", flag=False, default=str(DEFAULT_TIMEOUT_S)
)
WAIT_OPTIONS = [
    option("wait", "w", "Return when the change is in force everywhere.", flag=True),
    TIMEOUT_OPTION,
]

_VERDICT_TEXT = {
    Verdict.NOT_RUN: "nothing was changed",
    Verdict.MAY_HAVE_RUN: "the change may have been recorded; check with 'passlane get'",
    Verdict.RAN: "the change was recorded",
}


class AppliedDocument(msgspec.Struct, frozen=True):
    """Result for one document; ``revision`` is that of its newest version."""

    kind: str
    name: str
    result: str
    version: int
    revision: Revision


class ChangeReport(msgspec.Struct, frozen=True):
    """JSON output of commands that change documents."""

    documents: tuple[AppliedDocument, ...]
    progress: Progress | None = None


class ChangingCommand(OperatorCommand):
    """A command that changes documents and can wait until the change is in force."""

    def describe_verdict(self, verdict: Verdict) -> str:
        """Return what a failure means for the documents."""
        return f" ({_VERDICT_TEXT[verdict]})"

    async def finish(self, client: OperatorClient, applied: Sequence[AppliedDocument]) -> ExitCode:
        """Wait if ``--wait`` was given, print the result and return the exit code."""
        if not self.option("wait"):
            self._show_report(applied, None)
            return ExitCode.OK
        timeout_s = parse_timeout(self.option("timeout"))
        revision = max(document.revision for document in applied)
        printer = ChangePrinter(self.show_progress_line)
        if not self.wants_json:
            self.show_applied(applied)
        progress = await wait_for_progress(
            client,
            revision,
            timeout_s,
            is_in_force,
            lambda state: printer.print(summarize_progress(state, revision)),
        )
        if self.wants_json:
            self._show_report(applied, progress)
        else:
            self.show_lines(describe_progress(progress, revision))
        return ExitCode.OK if is_in_force(progress) else ExitCode.NOT_YET

    def show_applied(self, applied: Sequence[AppliedDocument]) -> None:
        """Print one line for each document."""
        self.show_lines(
            [
                f"{document.kind}/{document.name} {document.result}, "
                f"version {document.version}, revision {document.revision}"
                for document in applied
            ]
        )

    def show_progress_line(self, line: str) -> None:
        """Print a progress line on stderr, so that stdout holds only the result."""
        if not self.wants_json:
            self.line_error(line.replace("<", "\\<"))

    def _show_report(self, applied: Sequence[AppliedDocument], progress: Progress | None) -> None:
        if self.wants_json:
            self.show_json(ChangeReport(tuple(applied), progress))
        else:
            self.show_applied(applied)


def applied_document(change: ChangeView, result: str) -> AppliedDocument:
    """Return the result that describes a recorded change."""
    return AppliedDocument(change.kind, change.name, result, change.version, change.revision)
