"""Errors of the operators' interface as ``application/problem+json`` (RFC 9457)."""

import http

import msgspec

from passlane.api.asgi import PROBLEM_TYPE, Response
from passlane.api.operator_views import DocumentView, document_view
from passlane.api.problems import Problem, problem_headers, problem_of
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.control import VersionConflict

# Statuses that differ from those of the callers' interface. Operators name a document's
# version in If-Match, so another current version is a failed precondition.
_STATUS_BY_CODE: dict[ErrorCode, int] = {
    ErrorCode.VERSION_CONFLICT: http.HTTPStatus.PRECONDITION_FAILED,
    ErrorCode.DISK_FULL: http.HTTPStatus.INSUFFICIENT_STORAGE,
}

DEFAULT_RETRY_AFTER_S = 1.0
_RETRYABLE_CODES = frozenset(
    {ErrorCode.NOT_LEADER, ErrorCode.UNAVAILABLE, ErrorCode.TIMEOUT, ErrorCode.QUEUE_FULL}
)


class OperatorProblem(Problem, frozen=True, omit_defaults=True):
    """Body of an error; after a conflict, ``current`` is the document's newest version."""

    current_version: int | None = None
    current: DocumentView | None = None


def problem_response(error: PasslaneError) -> Response:
    """Return the response for an error."""
    return _respond(_with_retry_after(error), None, None)


def conflict_response(conflict: VersionConflict) -> Response:
    """Return the response to a change that was not based on the current version."""
    error = PasslaneError(
        ErrorCode.VERSION_CONFLICT,
        f"{conflict.kind} {conflict.name!r} is at version {conflict.current_version}",
    )
    current = conflict.current
    view = None if current is None else document_view(current, conflict.accepted_revision)
    return _respond(error, conflict.current_version, view)


def _with_retry_after(error: PasslaneError) -> PasslaneError:
    if error.retry_after_s is not None or error.code not in _RETRYABLE_CODES:
        return error
    return PasslaneError(
        error.code, error.message, verdict=error.verdict, retry_after_s=DEFAULT_RETRY_AFTER_S
    )


def _respond(
    error: PasslaneError, current_version: int | None, current: DocumentView | None
) -> Response:
    base = problem_of(error)
    problem = OperatorProblem(
        type=base.type,
        title=base.title,
        status=int(_STATUS_BY_CODE.get(error.code, base.status)),
        detail=base.detail,
        code=base.code,
        verdict=base.verdict,
        retry_after_s=base.retry_after_s,
        current_version=current_version,
        current=current,
    )
    headers = problem_headers(error)
    if current_version is not None:
        headers["etag"] = f'"{current_version}"'
    return Response(
        status=problem.status,
        body=msgspec.json.encode(problem),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )
