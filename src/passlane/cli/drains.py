"""Commands ``drain`` and ``undrain``: start and end the drain of a target.

A target is an engine, a node or an application.
"""

from dataclasses import dataclass
from typing import ClassVar

import msgspec
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from passlane.cli.changing import (
    TIMEOUT_OPTION,
    WAIT_OPTIONS,
    ChangingCommand,
    applied_document,
)
from passlane.cli.client import OperatorClient
from passlane.cli.command import OperatorCommand
from passlane.cli.documents import DELETED
from passlane.cli.exit_codes import ExitCode
from passlane.cli.waiting import (
    ChangePrinter,
    describe_progress,
    is_in_force,
    parse_timeout,
    poll_until,
    summarize_progress,
)
from passlane.configuration.documents import DocumentKind, DrainBody, DrainKind
from passlane.configuration.parsing import encode_body
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import Revision
from passlane.messages.control import Progress

TARGET_ARGUMENTS = [
    argument("target_kind", "engine, node or application."),
    argument("target", "Name of the target."),
]


class DrainReport(msgspec.Struct, frozen=True):
    """JSON output of ``drain``; counts are ``None`` while they are unknown.

    ``partitions`` is the number of partitions that a drained node still leads; ``None``
    for other targets and for a node that the server's region does not list.
    """

    target_kind: str
    target: str
    revision: Revision
    in_force_everywhere: bool
    calls_in_flight: int | None
    partitions: int | None
    progress: Progress | None


@dataclass(frozen=True)
class DrainTarget:
    """The target of a drain and the revision of its drain document."""

    kind: DrainKind
    name: str
    revision: Revision


@dataclass(frozen=True)
class DrainState:
    """Progress of a drain; ``partitions`` is ``None`` unless a listed node is drained."""

    target: DrainTarget
    progress: Progress
    partitions: int | None

    @property
    def calls(self) -> int | None:
        """Calls in flight at the target; ``None`` until the drain is in force everywhere."""
        if not is_in_force(self.progress):
            return None
        return sum(
            entry.calls
            for entry in self.progress.in_flight
            if entry.target_kind == self.target.kind and entry.target == self.target.name
        )

    @property
    def is_done(self) -> bool:
        """Whether no call is in flight at the target and a drained node leads no partition."""
        leads_no_partition = self.target.kind is not DrainKind.NODE or self.partitions == 0
        return self.calls == 0 and leads_no_partition

    def summary(self) -> str:
        """Return a one-line summary, to be printed when it changes."""
        if self.calls is None:
            return summarize_progress(self.progress, self.target.revision)
        return ", ".join(self.counts())

    def counts(self) -> list[str]:
        """Return the remaining calls and partitions as text."""
        counts = [f"calls in flight at the target: {_format_count(self.calls)}"]
        if self.target.kind is DrainKind.NODE:
            counts.append(f"partitions led: {_format_count(self.partitions)}")
        return counts


class DrainCommand(ChangingCommand):
    """Marks an engine, node or application as leaving."""

    name = "drain"
    description = "Stops sending new work to an engine, node or application."
    arguments: ClassVar[list[Argument]] = TARGET_ARGUMENTS
    extra_options: ClassVar[list[Option]] = [
        option("wait", "w", "Show progress; return when the drain is complete.", flag=True),
        TIMEOUT_OPTION,
    ]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Write the drain document; with ``--wait`` wait until the drain is complete."""
        kind, name = _parse_target(self)
        target = DrainTarget(kind, name, await _write_drain(client, kind, name))
        if not self.wants_json:
            self.show_lines([f"{kind}/{name} is marked as leaving, revision {target.revision}"])
        if not self.option("wait"):
            self._show_json_report(target, None)
            return ExitCode.OK
        state = await self._wait(client, target)
        self._show_json_report(target, state)
        if not self.wants_json:
            self._show_outcome(target, state)
        return ExitCode.OK if state is not None and state.is_done else ExitCode.NOT_YET

    async def _wait(self, client: OperatorClient, target: DrainTarget) -> DrainState | None:
        printer = ChangePrinter(self.show_progress_line)

        async def read() -> DrainState:
            progress = await client.read_progress(target.revision)
            return DrainState(target, progress, await _count_led_partitions(client, target))

        return await poll_until(
            read,
            lambda state: state.is_done,
            parse_timeout(self.option("timeout")),
            lambda state: printer.print(state.summary()),
        )

    def _show_outcome(self, target: DrainTarget, state: DrainState | None) -> None:
        self.show_lines(describe_progress(state.progress if state else None, target.revision))
        if state is None:
            return
        self.show_lines(state.counts())
        if target.kind is DrainKind.NODE and state.partitions is None:
            self.show_lines(
                ["the server's region lists no such node: it is gone, or in another region"]
            )

    def _show_json_report(self, target: DrainTarget, state: DrainState | None) -> None:
        if not self.wants_json:
            return
        self.show_json(
            DrainReport(
                target_kind=target.kind,
                target=target.name,
                revision=target.revision,
                in_force_everywhere=state is not None and is_in_force(state.progress),
                calls_in_flight=None if state is None else state.calls,
                partitions=None if state is None else state.partitions,
                progress=None if state is None else state.progress,
            )
        )


class UndrainCommand(ChangingCommand):
    """Ends a drain."""

    name = "undrain"
    description = "Ends a drain, so that an engine, node or application receives work again."
    arguments: ClassVar[list[Argument]] = TARGET_ARGUMENTS
    extra_options: ClassVar[list[Option]] = [*WAIT_OPTIONS]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Delete the drain document."""
        kind, target = _parse_target(self)
        name = drain_name(kind, target)
        document = await client.read_document(DocumentKind.DRAIN, name)
        if document is None:
            raise PasslaneError(ErrorCode.NOT_FOUND, f"{kind} {target!r} is not being drained")
        change = await client.delete_document(DocumentKind.DRAIN, name, document.version)
        return await self.finish(client, [applied_document(change, DELETED)])


def drain_name(kind: DrainKind, target: str) -> str:
    """Return the name of the document that drains a target."""
    return f"{kind.value}-{target}"


def _parse_target(command: OperatorCommand) -> tuple[DrainKind, str]:
    try:
        kind = DrainKind(command.argument("target_kind"))
    except ValueError:
        kinds = ", ".join(kind.value for kind in DrainKind)
        raise PasslaneError(
            ErrorCode.BAD_REQUEST,
            f"target_kind must be one of {kinds}, not {command.argument('target_kind')!r}",
        ) from None
    return kind, command.argument("target")


async def _write_drain(client: OperatorClient, kind: DrainKind, target: str) -> Revision:
    name = drain_name(kind, target)
    current = await client.read_document(DocumentKind.DRAIN, name)
    if current is not None:
        return current.revision
    body = encode_body(DrainBody(target_kind=kind, target=target))
    change = await client.put_document(DocumentKind.DRAIN, name, body, 0)
    return change.revision


async def _count_led_partitions(client: OperatorClient, target: DrainTarget) -> int | None:
    if target.kind is not DrainKind.NODE:
        return None
    status = await client.read_status()
    partition_counts = (node.partitions for node in status.nodes if node.node_id == target.name)
    return next(partition_counts, None)


def _format_count(count: int | None) -> str:
    return "unknown" if count is None else str(count)
