"""Errors towards operators as ``application/problem+json`` (RFC 9457)."""

import http

import msgspec

from passlane.api.asgi import PROBLEM_TYPE, Response
from passlane.api.operator_views import DocumentView, document_view
from passlane.api.problems import Problem, problem_headers, problem_of
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.control import VersionConflict

# Where operators' HTTP differs: a version that was named in If-Match and is not the
# current one is a failed precondition there, and no conflict of a caller's requests.
_STATUS: dict[ErrorCode, int] = {
    ErrorCode.VERSION_CONFLICT: http.HTTPStatus.PRECONDITION_FAILED,
    ErrorCode.DISK_FULL: http.HTTPStatus.INSUFFICIENT_STORAGE,
}

DEFAULT_RETRY_AFTER_S = 1.0
_RETRY_LATER = frozenset(
    {ErrorCode.NOT_LEADER, ErrorCode.UNAVAILABLE, ErrorCode.TIMEOUT, ErrorCode.QUEUE_FULL}
)


class OperatorProblem(Problem, frozen=True, omit_defaults=True):
    """Body of an error; after a conflict ``current`` is the document as it stands."""

    current_version: int | None = None
    current: DocumentView | None = None


def problem_response(error: PasslaneError) -> Response:
    """Return the answer for an error."""
    return _respond(_with_retry(error), None, None)


def conflict_response(conflict: VersionConflict) -> Response:
    """Return the answer to a change that was based on another version."""
    error = PasslaneError(
        ErrorCode.VERSION_CONFLICT,
        f"{conflict.kind} {conflict.name!r} is at version {conflict.current_version}",
    )
    current = conflict.current
    view = None if current is None else document_view(current, conflict.accepted_revision)
    return _respond(error, conflict.current_version, view)


def _with_retry(error: PasslaneError) -> PasslaneError:
    if error.retry_after_s is not None or error.code not in _RETRY_LATER:
        return error
    return PasslaneError(
        error.code, error.message, verdict=error.verdict, retry_after_s=DEFAULT_RETRY_AFTER_S
    )


def _respond(
    error: PasslaneError, current_version: int | None, current: DocumentView | None
) -> Response:
    general = problem_of(error)
    problem = OperatorProblem(
        type=general.type,
        title=general.title,
        status=int(_STATUS.get(error.code, general.status)),
        detail=general.detail,
        code=general.code,
        verdict=general.verdict,
        retry_after_s=general.retry_after_s,
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
