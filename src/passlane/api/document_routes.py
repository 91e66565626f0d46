"""Operators' routes for documents and changes, which are executed by the control group.

The version of a document is its ``ETag``. A change names the version that it is based on in
``If-Match``, or has ``If-None-Match: *`` for a new document. With an ``Idempotency-Key``, a
change can be sent again after a lost response.
"""

import random as random_module
from collections.abc import Mapping
from typing import Any, Protocol

import msgspec

from passlane.api.asgi import Request, Response, json_response
from passlane.api.groups import GroupExecutor
from passlane.api.operator_problems import conflict_response
from passlane.api.operator_views import DocumentList, change_view, document_view
from passlane.api.routing import PathRouter
from passlane.configuration.parsing import check_name, encode_body, parse_fields, parse_kind
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import Revision
from passlane.messages.base import Message
from passlane.messages.control import (
    ControlRefusal,
    Documents,
    Progress,
    PutDocument,
    PutResult,
    ReadDocuments,
    ReadProgress,
    VersionConflict,
    WithdrawChange,
)
from passlane.messages.number_bounds import MAX_COMPARED_NUMBER, parse_count

REQUEST_TIMEOUT_S = 10.0
OK = 200
CREATED = 201
KEY_BITS = 128
MAX_KEY_LENGTH = 200
MAX_REASON_CHARACTERS = 300


class Handler(Protocol):
    """Handles the requests of one route."""

    async def __call__(self, request: Request, parameters: Mapping[str, str]) -> Response:
        """Respond to one request; ``parameters`` are its path parameters by name."""
        ...


class DocumentRoutes:
    """Reads documents, and records and withdraws changes, through the control group.

    Parameters
    ----------
    control
        Client of the control group.
    random
        Source of idempotency keys for changes without one.
    """

    def __init__(self, control: GroupExecutor, random: random_module.Random) -> None:
        self._control = control
        self._random = random

    def add_to(self, router: PathRouter[Handler]) -> None:
        """Register the routes."""
        router.add("GET", "/v1/documents", self.list_documents)
        router.add("GET", "/v1/documents/{kind}/{name}", self.read_document)
        router.add("PUT", "/v1/documents/{kind}/{name}", self.put_document)
        router.add("DELETE", "/v1/documents/{kind}/{name}", self.delete_document)
        router.add("GET", "/v1/progress/{revision}", self.read_progress)
        router.add("POST", "/v1/withdraw/{revision}", self.withdraw)

    async def list_documents(self, request: Request, parameters: Mapping[str, str]) -> Response:
        """Respond with all documents, or with those of the kind in ``?kind=``."""
        kind = request.query.get("kind")
        if kind is not None:
            parse_kind(kind)
        found = await self._read(ReadDocuments(kind=kind))
        return json_response(
            OK,
            DocumentList(
                documents=tuple(
                    document_view(document, found.accepted_revision) for document in found.documents
                ),
                newest_revision=found.newest_revision,
                accepted_revision=found.accepted_revision,
            ),
        )

    async def read_document(self, request: Request, parameters: Mapping[str, str]) -> Response:
        """Respond with the newest version of one document."""
        kind, name = parameters["kind"], parameters["name"]
        parse_kind(kind)
        found = await self._read(ReadDocuments(kind=kind, name=name))
        if not found.documents:
            raise PasslaneError(ErrorCode.NOT_FOUND, f"there is no {kind} {name!r}")
        document = found.documents[0]
        view = document_view(document, found.accepted_revision)
        return json_response(OK, view, {"etag": _etag(document.version)})

    async def put_document(self, request: Request, parameters: Mapping[str, str]) -> Response:
        """Record a new document or a new version of one."""
        kind = parse_kind(parameters["kind"])
        check_name(parameters["name"])
        body = encode_body(parse_fields(kind, _json_object(request.body)))
        return await self._change(request, parameters, body)

    async def delete_document(self, request: Request, parameters: Mapping[str, str]) -> Response:
        """Record the deletion of a document."""
        parse_kind(parameters["kind"])
        return await self._change(request, parameters, None)

    async def read_progress(self, request: Request, parameters: Mapping[str, str]) -> Response:
        """Respond with the progress of a revision."""
        revision = _parse_revision(parameters)
        progress = await self._control.execute(
            ReadProgress(revision=revision), Progress, timeout_s=REQUEST_TIMEOUT_S
        )
        return json_response(OK, progress)

    async def withdraw(self, request: Request, parameters: Mapping[str, str]) -> Response:
        """Withdraw a pending change."""
        command = WithdrawChange(
            revision=_parse_revision(parameters), idempotency_key=self._idempotency_key(request)
        )
        return _change_response(await self._send(command), OK)

    async def _change(
        self, request: Request, parameters: Mapping[str, str], body: str | None
    ) -> Response:
        command = PutDocument(
            kind=parameters["kind"],
            name=parameters["name"],
            body=body,
            expected_version=_expected_version(request),
            idempotency_key=self._idempotency_key(request),
        )
        status = CREATED if command.expected_version == 0 else OK
        return _change_response(await self._send(command), status)

    async def _send(self, command: Message) -> Message:
        reply: Message = await self._control.execute(command, Message, timeout_s=REQUEST_TIMEOUT_S)
        return reply

    async def _read(self, query: ReadDocuments) -> Documents:
        found: Documents = await self._control.execute(
            query, Documents, timeout_s=REQUEST_TIMEOUT_S
        )
        return found

    def _idempotency_key(self, request: Request) -> str:
        key = request.headers.get("idempotency-key")
        if key is None:
            return f"{self._random.getrandbits(KEY_BITS):032x}"
        if not key or len(key) > MAX_KEY_LENGTH:
            raise PasslaneError(
                ErrorCode.BAD_REQUEST, f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} characters"
            )
        return key


def _change_response(reply: Message, status: int) -> Response:
    if isinstance(reply, PutResult):
        document = reply.document
        return json_response(status, change_view(document), {"etag": _etag(document.version)})
    if isinstance(reply, VersionConflict):
        return conflict_response(reply)
    if isinstance(reply, ControlRefusal):
        raise PasslaneError(ErrorCode(reply.code), reply.message)
    raise PasslaneError(ErrorCode.PROTOCOL_ERROR, "unexpected reply from the control group")


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        reason = str(error)[:MAX_REASON_CHARACTERS]
        raise PasslaneError(
            ErrorCode.BAD_REQUEST, f"the body is not a JSON object: {reason}"
        ) from error


def _etag(version: int) -> str:
    return f'"{version}"'


def _expected_version(request: Request) -> int:
    if request.headers.get("if-none-match") == "*":
        return 0
    tag = request.headers.get("if-match")
    if tag is None:
        raise PasslaneError(
            ErrorCode.PRECONDITION_REQUIRED,
            "If-Match with the document's version, or If-None-Match: * for a new one, is required",
        )
    return parse_count(tag.strip().strip('"'), MAX_COMPARED_NUMBER)


def _parse_revision(parameters: Mapping[str, str]) -> Revision:
    return Revision(parse_count(parameters["revision"], MAX_COMPARED_NUMBER))
