"""Errors towards operators as ``application/problem+json`` (RFC 9457)."""

import http

import msgspec

from passlane.api.asgi import PROBLEM_TYPE, Response
from passlane.api.operator_views import DocumentView, document_view
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import Revision
from passlane.messages.control import VersionConflict

_STATUS: dict[ErrorCode, http.HTTPStatus] = {
    ErrorCode.BAD_REQUEST: http.HTTPStatus.BAD_REQUEST,
    ErrorCode.INVALID_DOCUMENT: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorCode.BODY_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ErrorCode.UNAUTHORIZED: http.HTTPStatus.UNAUTHORIZED,
    ErrorCode.FORBIDDEN: http.HTTPStatus.FORBIDDEN,
    ErrorCode.NOT_FOUND: http.HTTPStatus.NOT_FOUND,
    ErrorCode.UNKNOWN_PROGRAM: http.HTTPStatus.NOT_FOUND,
    ErrorCode.METHOD_NOT_ALLOWED: http.HTTPStatus.METHOD_NOT_ALLOWED,
    ErrorCode.PRECONDITION_REQUIRED: http.HTTPStatus.PRECONDITION_REQUIRED,
    ErrorCode.VERSION_CONFLICT: http.HTTPStatus.PRECONDITION_FAILED,
    ErrorCode.IDEMPOTENCY_MISMATCH: http.HTTPStatus.CONFLICT,
    ErrorCode.QUEUE_FULL: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.NOT_LEADER: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.UNAVAILABLE: http.HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.DISK_FULL: http.HTTPStatus.INSUFFICIENT_STORAGE,
    ErrorCode.TIMEOUT: http.HTTPStatus.GATEWAY_TIMEOUT,
    ErrorCode.CONNECTION_LOST: http.HTTPStatus.GATEWAY_TIMEOUT,
    ErrorCode.LEASE_LOST: http.HTTPStatus.GATEWAY_TIMEOUT,
}

DEFAULT_RETRY_AFTER_S = 1.0
_RETRY_LATER = frozenset(
    {ErrorCode.NOT_LEADER, ErrorCode.UNAVAILABLE, ErrorCode.TIMEOUT, ErrorCode.QUEUE_FULL}
)


class OperatorProblem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of an error; after a conflict ``current`` is the document as it stands."""

    title: str
    status: int
    detail: str
    code: ErrorCode
    verdict: Verdict
    type: str = "about:blank"
    current_version: int | None = None
    current: DocumentView | None = None


def problem_response(error: PasslaneError) -> Response:
    """Return the answer for an error."""
    problem = OperatorProblem(
        title=error.code.value,
        status=_status_of(error.code),
        detail=error.message,
        code=error.code,
        verdict=error.verdict,
    )
    return _respond(problem, _retry_headers(error))


def conflict_response(conflict: VersionConflict, accepted_revision: Revision) -> Response:
    """Return the answer to a change that was based on another version."""
    current = conflict.current
    problem = OperatorProblem(
        title=ErrorCode.VERSION_CONFLICT.value,
        status=_status_of(ErrorCode.VERSION_CONFLICT),
        detail=(
            f"{conflict.kind} {conflict.name!r} is at version {conflict.current_version}; "
            "nothing was changed"
        ),
        code=ErrorCode.VERSION_CONFLICT,
        verdict=Verdict.NOT_RUN,
        current_version=conflict.current_version,
        current=None if current is None else document_view(current, accepted_revision),
    )
    return _respond(problem, {"etag": f'"{conflict.current_version}"'})


def _respond(problem: OperatorProblem, headers: dict[str, str]) -> Response:
    return Response(
        status=problem.status,
        body=msgspec.json.encode(problem),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


def _status_of(code: ErrorCode) -> int:
    return int(_STATUS.get(code, http.HTTPStatus.INTERNAL_SERVER_ERROR))


def _retry_headers(error: PasslaneError) -> dict[str, str]:
    retry_after_s = error.retry_after_s
    if retry_after_s is None and error.code in _RETRY_LATER:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    if retry_after_s is None:
        return {}
    return {"retry-after": str(max(1, round(retry_after_s)))}
