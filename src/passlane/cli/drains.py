"""Commands ``drain`` and ``undrain``: mark something as leaving, and take that back."""

from typing import ClassVar

import msgspec
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from passlane.cli.client import OperatorClient
from passlane.cli.command import OperatorCommand
from passlane.cli.documents import DELETED, WAIT_OPTIONS, AppliedDocument, ChangingCommand
from passlane.cli.exit_codes import ExitCode
from passlane.cli.waiting import (
    describe_progress,
    is_in_force,
    parse_timeout,
    wait_for_progress,
)
from passlane.configuration.documents import DocumentKind, DrainBody, DrainKind
from passlane.configuration.parsing import encode_body
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import Revision
from passlane.messages.control import Progress

TARGET_ARGUMENTS = [
    argument("target_kind", "engine, node or application."),
    argument("target", "Its name."),
]


class DrainReport(msgspec.Struct, frozen=True):
    """JSON output of ``drain``; ``calls_in_flight`` is ``None`` if it is not known yet."""

    target_kind: str
    target: str
    revision: Revision
    in_force_everywhere: bool
    calls_in_flight: int | None
    progress: Progress | None


class DrainCommand(OperatorCommand):
    """Marks an engine, node or application as leaving."""

    name = "drain"
    description = "Gives an engine, node or application no new work."
    arguments: ClassVar[list[Argument]] = TARGET_ARGUMENTS
    extra_options: ClassVar[list[Option]] = [
        option("wait", "w", "Return when nothing is in flight there any more.", flag=True),
        WAIT_OPTIONS[1],
    ]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Write the drain document; with ``--wait`` watch until nothing is in flight."""
        kind, target = _target(self)
        revision = await _mark(client, kind, target)
        if not self.option("wait"):
            self._show(kind, target, revision, None)
            return ExitCode.OK

        def is_empty(progress: Progress | None) -> bool:
            return is_in_force(progress) and _calls_at(progress, kind, target) == 0

        timeout_s = parse_timeout(self.option("timeout"))
        progress = await wait_for_progress(client, revision, timeout_s, is_empty)
        self._show(kind, target, revision, progress)
        return ExitCode.OK if is_empty(progress) else ExitCode.NOT_YET

    def _show(
        self, kind: DrainKind, target: str, revision: Revision, progress: Progress | None
    ) -> None:
        calls = _calls_at(progress, kind, target) if progress is not None else None
        if self.wants_json:
            self.show_json(
                DrainReport(kind, target, revision, is_in_force(progress), calls, progress)
            )
            return
        self.show_lines([f"{kind}/{target} is marked as leaving, revision {revision}"])
        if self.option("wait"):
            self.show_lines(describe_progress(progress, revision))
            self.show_lines([f"calls in flight there: {'unknown' if calls is None else calls}"])


class UndrainCommand(ChangingCommand):
    """Takes a drain back."""

    name = "undrain"
    description = "Lets an engine, node or application take work again."
    arguments: ClassVar[list[Argument]] = TARGET_ARGUMENTS
    extra_options: ClassVar[list[Option]] = [*WAIT_OPTIONS]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Delete the drain document."""
        kind, target = _target(self)
        name = drain_name(kind, target)
        document = await client.read_document(DocumentKind.DRAIN, name)
        if document is None:
            raise PasslaneError(ErrorCode.NOT_FOUND, f"{kind} {target!r} is not being drained")
        change = await client.delete_document(DocumentKind.DRAIN, name, document.version)
        applied = AppliedDocument(change.kind, name, DELETED, change.version, change.revision)
        return await self.finish(client, [applied])


def drain_name(kind: DrainKind, target: str) -> str:
    """Return the name of the document that drains a target."""
    return f"{kind.value}-{target}"


def _target(command: OperatorCommand) -> tuple[DrainKind, str]:
    try:
        kind = DrainKind(command.argument("target_kind"))
    except ValueError:
        kinds = ", ".join(kind.value for kind in DrainKind)
        raise PasslaneError(ErrorCode.BAD_REQUEST, f"the kind is one of {kinds}") from None
    return kind, command.argument("target")


async def _mark(client: OperatorClient, kind: DrainKind, target: str) -> Revision:
    name = drain_name(kind, target)
    current = await client.read_document(DocumentKind.DRAIN, name)
    if current is not None:
        return current.revision
    body = encode_body(DrainBody(target_kind=kind, target=target))
    change = await client.put_document(DocumentKind.DRAIN, name, body, 0)
    return change.revision


def _calls_at(progress: Progress | None, kind: DrainKind, target: str) -> int | None:
    if progress is None:
        return None
    return sum(
        entry.calls
        for entry in progress.in_flight
        if entry.target_kind == kind and entry.target == target
    )
