"""Commands for documents: ``apply``, ``get``, ``delete`` and ``withdraw``."""

from collections.abc import Sequence
from pathlib import Path
from typing import ClassVar

import msgspec
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from passlane.api.operator_views import ChangeView, DocumentView
from passlane.cli.client import OperatorClient
from passlane.cli.command import OperatorCommand
from passlane.cli.exit_codes import ExitCode
from passlane.cli.waiting import (
    DEFAULT_TIMEOUT_S,
    describe_progress,
    is_in_force,
    parse_timeout,
    wait_for_progress,
)
from passlane.configuration.files import DocumentDraft, load_document_files
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import Revision
from passlane.messages.control import Progress

WAIT_OPTIONS = [
    option("wait", "w", "Return when the change is in force everywhere.", flag=True),
    option(
        "timeout",
        None,
        "Seconds to wait at most.",
        flag=False,
        default=str(DEFAULT_TIMEOUT_S),
    ),
]

UNCHANGED = "unchanged"
CREATED = "created"
CHANGED = "changed"
DELETED = "deleted"
WITHDRAWN = "withdrawn"


class AppliedDocument(msgspec.Struct, frozen=True):
    """What became of one document; ``revision`` is that of its newest version."""

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
    """A command that changes documents and may wait until that is in force."""

    async def finish(self, client: OperatorClient, applied: Sequence[AppliedDocument]) -> ExitCode:
        """Wait if asked to, print what was done, and return the exit code."""
        if not self.option("wait"):
            self._show(applied, None, None)
            return ExitCode.OK
        timeout_s = parse_timeout(self.option("timeout"))
        revision = max(document.revision for document in applied)
        progress = await wait_for_progress(client, revision, timeout_s, is_in_force)
        self._show(applied, progress, revision)
        return ExitCode.OK if is_in_force(progress) else ExitCode.NOT_YET

    def _show(
        self,
        applied: Sequence[AppliedDocument],
        progress: Progress | None,
        waited_for: Revision | None,
    ) -> None:
        if self.wants_json:
            self.show_json(ChangeReport(tuple(applied), progress))
            return
        self.show_lines(
            [
                f"{document.kind}/{document.name} {document.result}, "
                f"version {document.version}, revision {document.revision}"
                for document in applied
            ]
        )
        if waited_for is not None:
            self.show_lines(describe_progress(progress, waited_for))


class ApplyCommand(ChangingCommand):
    """Submits the documents of a file."""

    name = "apply"
    description = "Submits the documents of a TOML file or of a folder of them."
    extra_options: ClassVar[list[Option]] = [
        option("file", "f", "Document file or folder.", flag=False),
        *WAIT_OPTIONS,
    ]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Submit each document that differs from what is recorded."""
        path = self.option("file")
        if path is None:
            raise PasslaneError(ErrorCode.BAD_REQUEST, "-f FILE is needed")
        drafts = load_document_files(Path(path))
        applied = [await self._apply(client, draft) for draft in drafts]
        return await self.finish(client, applied)

    @staticmethod
    async def _apply(client: OperatorClient, draft: DocumentDraft) -> AppliedDocument:
        current = await client.read_document(draft.kind, draft.name)
        if current is not None and _has_body(current, draft):
            return AppliedDocument(
                draft.kind, draft.name, UNCHANGED, current.version, current.revision
            )
        expected = draft.version
        if expected is None:
            expected = 0 if current is None else current.version
        change = await client.put_document(draft.kind, draft.name, draft.body, expected)
        return _applied(change, CREATED if current is None else CHANGED)


class GetCommand(OperatorCommand):
    """Shows documents."""

    name = "get"
    description = "Shows one document, those of a kind, or all."
    arguments: ClassVar[list[Argument]] = [
        argument("kind", "Kind of documents.", optional=True),
        argument("name", "Name of a document.", optional=True),
    ]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Print the documents."""
        kind, name = self.argument("kind"), self.argument("name")
        if name is not None:
            return await self._show_one(client, kind, name)
        found = await client.read_documents(kind)
        if self.wants_json:
            self.show_json(found)
            return ExitCode.OK
        rows = [
            (document.kind, document.name, document.version, document.revision, _state(document))
            for document in found.documents
        ]
        self.show_table(("KIND", "NAME", "VERSION", "REVISION", "STATE"), rows)
        return ExitCode.OK

    async def _show_one(self, client: OperatorClient, kind: str, name: str) -> ExitCode:
        document = await _existing(client, kind, name)
        if self.wants_json:
            self.show_json(document)
            return ExitCode.OK
        body = msgspec.json.format(bytes(document.body), indent=2).decode()
        self.show_lines(
            [
                f"{document.kind}/{document.name} version {document.version}, "
                f"revision {document.revision}, {_state(document)}",
                body,
            ]
        )
        return ExitCode.OK


class DeleteCommand(ChangingCommand):
    """Deletes a document."""

    name = "delete"
    description = "Deletes a document."
    arguments: ClassVar[list[Argument]] = [
        argument("kind", "Kind of the document."),
        argument("name", "Name of the document."),
    ]
    extra_options: ClassVar[list[Option]] = [
        option("version", None, "Delete only this version; default: the newest.", flag=False),
        *WAIT_OPTIONS,
    ]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Delete the document at the version that stands now."""
        kind, name = self.argument("kind"), self.argument("name")
        version = self.option("version")
        if version is None:
            version = (await _existing(client, kind, name)).version
        elif not version.isdecimal():
            raise PasslaneError(ErrorCode.BAD_REQUEST, "--version is a whole number")
        change = await client.delete_document(kind, name, int(version))
        return await self.finish(client, [_applied(change, DELETED)])


class WithdrawCommand(ChangingCommand):
    """Withdraws a pending change."""

    name = "withdraw"
    description = "Takes back a change that is not accepted yet."
    arguments: ClassVar[list[Argument]] = [
        argument("revision", "Revision of the pending change."),
    ]
    extra_options: ClassVar[list[Option]] = [*WAIT_OPTIONS]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Withdraw the change."""
        text = self.argument("revision")
        if not text.isdecimal():
            raise PasslaneError(ErrorCode.BAD_REQUEST, "a revision is a whole number")
        change = await client.withdraw(Revision(int(text)))
        return await self.finish(client, [_applied(change, WITHDRAWN)])


def _applied(change: ChangeView, result: str) -> AppliedDocument:
    return AppliedDocument(change.kind, change.name, result, change.version, change.revision)


def _has_body(document: DocumentView, draft: DocumentDraft) -> bool:
    recorded = bytes(document.body)
    return bool(msgspec.json.decode(recorded) == msgspec.json.decode(draft.body))


def _state(document: DocumentView) -> str:
    return "accepted" if document.is_accepted else "pending"


async def _existing(client: OperatorClient, kind: str, name: str) -> DocumentView:
    document = await client.read_document(kind, name)
    if document is None:
        raise PasslaneError(ErrorCode.NOT_FOUND, f"there is no {kind} {name!r}")
    return document
