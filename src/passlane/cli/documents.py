"""Commands for documents: ``apply``, ``get``, ``delete`` and ``withdraw``."""

from pathlib import Path
from typing import ClassVar

import msgspec
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from passlane.api.operator_views import DocumentView
from passlane.cli.changing import (
    WAIT_OPTIONS,
    AppliedDocument,
    ChangingCommand,
    applied_document,
)
from passlane.cli.client import OperatorClient
from passlane.cli.command import FailureReport, OperatorCommand
from passlane.cli.current_documents import CurrentDocuments
from passlane.cli.exit_codes import ExitCode, exit_code_of
from passlane.configuration.files import DocumentDraft, load_document_files
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import Revision

UNCHANGED = "unchanged"
CREATED = "created"
CHANGED = "changed"
DELETED = "deleted"
WITHDRAWN = "withdrawn"


class ApplyFailure(FailureReport, frozen=True):
    """JSON output of an ``apply`` that stopped at a document that failed.

    ``documents`` were recorded before it; ``not_tried`` follow it and were not sent.
    """

    failed: str
    documents: tuple[AppliedDocument, ...]
    not_tried: tuple[str, ...]


class ApplyCommand(ChangingCommand):
    """Submits the documents of a file."""

    name = "apply"
    description = "Submits the documents of a TOML file or of a folder of them."
    extra_options: ClassVar[list[Option]] = [
        option("file", "f", "Document file or folder.", flag=False),
        *WAIT_OPTIONS,
    ]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Submit each document that differs from its recorded version."""
        path = self.option("file")
        if path is None:
            raise PasslaneError(ErrorCode.BAD_REQUEST, "missing -f: give a document file or folder")
        drafts = load_document_files(Path(path))
        recorded = CurrentDocuments(client, drafts)
        applied: list[AppliedDocument] = []
        for number, draft in enumerate(drafts):
            try:
                applied.append(await self._apply(client, recorded, draft))
            except PasslaneError as error:
                return self._report_failure(error, applied, drafts[number:])
        return await self.finish(client, applied)

    def _report_failure(
        self, error: PasslaneError, applied: list[AppliedDocument], remaining: list[DocumentDraft]
    ) -> ExitCode:
        """Report the failure of the first of ``remaining`` and return the exit code."""
        failed, *not_tried = (f"{draft.kind}/{draft.name}" for draft in remaining)
        if self.wants_json:
            self.show_json(
                ApplyFailure(
                    error.code.value,
                    error.message,
                    error.verdict.value,
                    failed,
                    tuple(applied),
                    tuple(not_tried),
                )
            )
            return exit_code_of(error.code)
        self.show_applied(applied)
        self.show_error(error, failed)
        if not_tried:
            self.line_error(f"not tried: {', '.join(not_tried)}")
        return exit_code_of(error.code)

    @staticmethod
    async def _apply(
        client: OperatorClient, recorded: CurrentDocuments, draft: DocumentDraft
    ) -> AppliedDocument:
        current = await recorded.find(draft.kind, draft.name)
        if current is not None and _has_same_body(current, draft):
            return AppliedDocument(
                draft.kind, draft.name, UNCHANGED, current.version, current.revision
            )
        expected = draft.version
        if expected is None:
            expected = 0 if current is None else current.version
        change = await client.put_document(draft.kind, draft.name, draft.body, expected)
        return applied_document(change, CREATED if current is None else CHANGED)


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
        if not found.documents:
            self.show_lines(["no documents" if kind is None else f"no documents of kind {kind}"])
            return ExitCode.OK
        rows = [
            (document.kind, document.name, document.version, document.revision, _state(document))
            for document in found.documents
        ]
        self.show_table(("KIND", "NAME", "VERSION", "REVISION", "STATE"), rows)
        return ExitCode.OK

    async def _show_one(self, client: OperatorClient, kind: str, name: str) -> ExitCode:
        document = await _require_document(client, kind, name)
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
        option("if-version", None, "Delete only this version; default: the newest.", flag=False),
        *WAIT_OPTIONS,
    ]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Delete the given version of the document, by default the newest."""
        kind, name = self.argument("kind"), self.argument("name")
        version = self.option("if-version")
        if version is None:
            version = (await _require_document(client, kind, name)).version
        elif not version.isdecimal():
            raise PasslaneError(
                ErrorCode.BAD_REQUEST, f"--if-version must be a whole number, not {version!r}"
            )
        change = await client.delete_document(kind, name, int(version))
        return await self.finish(client, [applied_document(change, DELETED)])


class WithdrawCommand(ChangingCommand):
    """Withdraws a pending change."""

    name = "withdraw"
    description = "Withdraws a change that is not accepted yet."
    arguments: ClassVar[list[Argument]] = [
        argument("revision", "Revision of the pending change."),
    ]
    extra_options: ClassVar[list[Option]] = [*WAIT_OPTIONS]

    async def run_with(self, client: OperatorClient) -> ExitCode:
        """Withdraw the change."""
        text = self.argument("revision")
        if not text.isdecimal():
            raise PasslaneError(
                ErrorCode.BAD_REQUEST, f"the revision must be a whole number, not {text!r}"
            )
        change = await client.withdraw(Revision(int(text)))
        return await self.finish(client, [applied_document(change, WITHDRAWN)])


def _has_same_body(document: DocumentView, draft: DocumentDraft) -> bool:
    recorded = bytes(document.body)
    return bool(msgspec.json.decode(recorded) == msgspec.json.decode(draft.body))


def _state(document: DocumentView) -> str:
    return "accepted" if document.is_accepted else "pending"


async def _require_document(client: OperatorClient, kind: str, name: str) -> DocumentView:
    document = await client.read_document(kind, name)
    if document is None:
        raise PasslaneError(ErrorCode.NOT_FOUND, f"there is no {kind} {name!r}")
    return document
