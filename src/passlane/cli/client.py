"""Client of the operators' HTTP interface, which every passlane process serves."""

import uuid
from collections.abc import Mapping, Sequence
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import anyio
import msgspec

from passlane.api.operator_problems import OperatorProblem
from passlane.api.operator_views import ChangeView, DocumentList, DocumentView, SystemStatus
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import Revision
from passlane.messages.common import Address
from passlane.messages.control import Progress
from passlane.messages.node import ProgramExplanation
from passlane.messages.store import ProgramList, ProgramRecord
from passlane.runtime.interfaces import HttpClient, HttpConnectionError, HttpRequest

REQUEST_TIMEOUT_S = 15.0
MAX_ATTEMPTS = 4
INITIAL_BACKOFF_S = 0.2

ResultType = TypeVar("ResultType")


class ApiError(PasslaneError):
    """The server rejected the request; after a conflict ``current`` is the current document."""

    def __init__(self, problem: OperatorProblem) -> None:
        super().__init__(problem.code, problem.detail, verdict=problem.verdict)
        self.current_version = problem.current_version
        self.current = problem.current


class OperatorClient:
    """Sends requests to several servers in turn until one responds.

    A change carries an idempotency key, so a retry after a lost response is safe.
    """

    def __init__(self, http: HttpClient, servers: Sequence[Address], token: str) -> None:
        self._http = http
        self._servers = list(servers)
        self._token = token

    async def read_documents(self, kind: str | None = None) -> DocumentList:
        """Return all documents, or those of one kind."""
        query = "" if kind is None else f"?{urlencode({'kind': kind})}"
        return await self._get(f"/v1/documents{query}", DocumentList)

    async def read_document(self, kind: str, name: str) -> DocumentView | None:
        """Return the newest version of a document, or ``None`` if there is none."""
        try:
            return await self._get(_document_path(kind, name), DocumentView)
        except PasslaneError as error:
            if error.code is ErrorCode.NOT_FOUND:
                return None
            raise

    async def put_document(
        self, kind: str, name: str, body: str, expected_version: int
    ) -> ChangeView:
        """Record a document; ``expected_version`` 0 means that it must be new."""
        headers = _precondition(expected_version)
        return await self._change("PUT", _document_path(kind, name), headers, body.encode())

    async def delete_document(self, kind: str, name: str, expected_version: int) -> ChangeView:
        """Delete a document that is at ``expected_version``."""
        headers = _precondition(expected_version)
        return await self._change("DELETE", _document_path(kind, name), headers)

    async def withdraw(self, revision: Revision) -> ChangeView:
        """Withdraw a pending change."""
        return await self._change("POST", f"/v1/withdraw/{revision}", {})

    async def read_progress(self, revision: Revision) -> Progress:
        """Return the rollout progress of a revision."""
        return await self._get(f"/v1/progress/{revision}", Progress)

    async def read_status(self) -> SystemStatus:
        """Return the state of the control group and of the server's region."""
        return await self._get("/v1/status", SystemStatus)

    async def list_programs(self) -> ProgramList:
        """Return one line for each program."""
        return await self._get("/v1/programs", ProgramList)

    async def read_program(self, program_id: str) -> ProgramRecord:
        """Return the record of a program."""
        return await self._get(f"/v1/programs/{quote(program_id, safe='')}", ProgramRecord)

    async def explain_program(self, program_id: str) -> ProgramExplanation:
        """Return the leader's explanation of the program's last model call."""
        path = f"/v1/programs/{quote(program_id, safe='')}/explanation"
        return await self._get(path, ProgramExplanation)

    async def read_log(self, lines: int) -> list[dict[str, Any]]:
        """Return the newest lines of the server's log."""
        return await self._get(f"/v1/log?lines={lines}", list[dict[str, Any]])

    async def _get(self, path: str, result: type[ResultType]) -> ResultType:
        return _decode(await self._exchange("GET", path, {}, b""), result)

    async def _change(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes = b""
    ) -> ChangeView:
        keyed_headers = {**headers, "idempotency-key": uuid.uuid4().hex}
        return _decode(await self._exchange(method, path, keyed_headers, body), ChangeView)

    async def _exchange(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> bytes:
        backoff_s = INITIAL_BACKOFF_S
        verdict = Verdict.NOT_RUN
        for attempt in range(MAX_ATTEMPTS):
            server = self._servers[attempt % len(self._servers)]
            request = HttpRequest(method, server, path, self._headers(headers), body)
            try:
                with anyio.fail_after(REQUEST_TIMEOUT_S):
                    return await self._exchange_once(request)
            except (HttpConnectionError, TimeoutError) as error:
                if not isinstance(error, HttpConnectionError) or error.bytes_left:
                    verdict = Verdict.MAY_HAVE_RUN
                reason = str(error) or "the request timed out"
            await anyio.sleep(backoff_s)
            backoff_s *= 2
        servers = ", ".join(str(server) for server in self._servers)
        raise PasslaneError(ErrorCode.UNAVAILABLE, f"{servers}: {reason}", verdict=verdict)

    async def _exchange_once(self, request: HttpRequest) -> bytes:
        async with self._http.exchange(request) as response:
            body = b"".join([chunk async for chunk in response.chunks()])
            if response.status >= 400:
                raise _to_error(response.status, body)
            return body

    def _headers(self, headers: Mapping[str, str]) -> dict[str, str]:
        return {
            **headers,
            "authorization": f"Bearer {self._token}",
            "content-type": "application/json",
        }


def _document_path(kind: str, name: str) -> str:
    return f"/v1/documents/{quote(kind, safe='')}/{quote(name, safe='')}"


def _precondition(expected_version: int) -> dict[str, str]:
    if expected_version == 0:
        return {"if-none-match": "*"}
    return {"if-match": f'"{expected_version}"'}


def _decode(body: bytes, result: type[ResultType]) -> ResultType:
    try:
        return msgspec.json.decode(body, type=result)
    except msgspec.MsgspecError as error:
        raise PasslaneError(
            ErrorCode.PROTOCOL_ERROR, f"unexpected response body: {error}"
        ) from error


def _to_error(status: int, body: bytes) -> PasslaneError:
    try:
        return ApiError(msgspec.json.decode(body, type=OperatorProblem))
    except msgspec.MsgspecError:
        # The body is not a problem document, so only the status can be reported.
        return PasslaneError(ErrorCode.PROTOCOL_ERROR, f"the server responded with status {status}")
