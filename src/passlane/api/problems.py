"""Errors as ``application/problem+json`` (RFC 9457), with code, verdict and ``Retry-After``."""

import math

import msgspec

from passlane.api.asgi import PROBLEM_TYPE, Response
from passlane.errors import ErrorCode, PasslaneError, Verdict

STATUS_BY_CODE: dict[ErrorCode, int] = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.BUDGET_EXCEEDED: 403,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.UNKNOWN_PROGRAM: 404,
    ErrorCode.UNKNOWN_MODEL: 404,
    ErrorCode.UNKNOWN_TOOL: 404,
    ErrorCode.METHOD_NOT_ALLOWED: 405,
    ErrorCode.PROGRAM_ENDED: 409,
    ErrorCode.WRONG_SEQUENCE: 409,
    ErrorCode.VERSION_CONFLICT: 409,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.PRECONDITION_REQUIRED: 428,
    ErrorCode.IDEMPOTENCY_MISMATCH: 422,
    ErrorCode.INVALID_DOCUMENT: 422,
    ErrorCode.LIMIT_EXCEEDED: 429,
    ErrorCode.INTERNAL: 500,
    ErrorCode.BACKEND_REFUSED: 502,
    ErrorCode.BACKEND_FAILED: 502,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.TIMEOUT: 504,
}
"""HTTP status of each code; other codes get ``DEFAULT_STATUS``."""

DEFAULT_STATUS = 503


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of an error response; ``retry_after_s`` is the unrounded ``Retry-After`` value."""

    type: str
    title: str
    status: int
    detail: str
    code: ErrorCode
    verdict: Verdict
    retry_after_s: float | None = None


def problem_of(error: PasslaneError) -> Problem:
    """Return the response body for an error."""
    return Problem(
        type=f"urn:passlane:error:{error.code.value}",
        title=error.code.value.replace("_", " "),
        status=STATUS_BY_CODE.get(error.code, DEFAULT_STATUS),
        detail=error.message,
        code=error.code,
        verdict=error.verdict,
        retry_after_s=error.retry_after_s,
    )


def problem_response(error: PasslaneError) -> Response:
    """Return the response for an error."""
    problem = problem_of(error)
    return Response(
        status=problem.status,
        body=msgspec.json.encode(problem),
        content_type=PROBLEM_TYPE,
        headers=problem_headers(error),
    )


def problem_headers(error: PasslaneError) -> dict[str, str]:
    """Return the response headers for an error."""
    headers: dict[str, str] = {}
    if error.retry_after_s is not None and math.isfinite(error.retry_after_s):
        # The header has whole seconds; rounding up avoids retries that are too early.
        headers["retry-after"] = str(max(math.ceil(error.retry_after_s), 0))
    if error.code is ErrorCode.UNAUTHORIZED:
        headers["www-authenticate"] = "Bearer"
    return headers
