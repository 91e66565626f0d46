"""Errors of requests to backends, with the verdict on whether the request has run."""

import msgspec

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.backends import OperationState
from passlane.runtime.interfaces import HttpConnectionError, HttpResponse

MAX_PROBLEM_BYTES = 64_000
"""Maximum size of an error response's body."""

REFUSAL_STATUSES = frozenset({409, 429, 503})
"""Statuses that, together with a problem body, prove that the request did not run."""

REJECTION_STATUSES = frozenset({400, 404, 405, 413, 415, 422})
"""Statuses that reject the request itself, so that a retry cannot succeed."""

STALE_TOKEN_CODES = frozenset({ErrorCode.STALE_FENCING_TOKEN.value, ErrorCode.STALE_EPOCH.value})
"""Codes with which a backend reports that it has received requests of a newer leader."""

PROBLEM_TYPE = "application/problem+json"


class BackendError(PasslaneError):
    """A request to a backend failed.

    Parameters
    ----------
    is_final
        Whether the backend rejected the request itself, so that a retry cannot succeed.
    status
        HTTP status of the response; ``None`` without a response.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        verdict: Verdict,
        is_final: bool = False,
        retry_after_s: float | None = None,
        status: int | None = None,
    ) -> None:
        super().__init__(code, message, verdict=verdict, retry_after_s=retry_after_s)
        self.is_final = is_final
        self.status = status


def is_without_answer(error: PasslaneError) -> bool:
    """Return whether a back end may have run a request and gave no answer: it may have ended."""
    return (
        isinstance(error, BackendError)
        and error.status is None
        and error.verdict is not Verdict.NOT_RUN
    )


class ProblemBody(msgspec.Struct, frozen=True):
    """The fields that are read from an error response's JSON body.

    A problem (RFC 9457) has ``detail``, ``title``, ``code`` and ``verdict``. An application's
    rejection has the ``state`` ``rejected`` and the reason in ``result``.
    """

    detail: str = ""
    title: str = ""
    code: str = ""
    verdict: str | None = None
    state: str = ""
    result: str = ""


def error_from_connection(error: HttpConnectionError) -> BackendError:
    """Return the error for a broken connection."""
    if error.bytes_left:
        return BackendError(
            ErrorCode.BACKEND_FAILED,
            f"the connection to the backend broke: {error}",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    return BackendError(
        ErrorCode.UNAVAILABLE,
        f"the backend could not be reached: {error}",
        verdict=Verdict.NOT_RUN,
    )


def error_from_timeout(seconds: float) -> BackendError:
    """Return the error for a request that timed out after ``seconds``."""
    return BackendError(
        ErrorCode.TIMEOUT,
        f"the backend did not answer within {seconds:g} s",
        verdict=Verdict.MAY_HAVE_RUN,
    )


async def error_from_response(response: HttpResponse) -> BackendError:
    """Return the error for a response with an error status.

    The verdict is ``not_run`` only if the body states it, or if a problem body comes with one
    of ``REFUSAL_STATUSES``.
    """
    problem = await _read_problem(response)
    message = _message(response.status, problem)
    verdict = _verdict(response, problem)
    code = _code(response.status, problem)
    is_rejection = response.status in REJECTION_STATUSES
    return BackendError(
        code,
        message,
        verdict=verdict,
        is_final=is_rejection and verdict is Verdict.NOT_RUN,
        retry_after_s=_retry_after(response),
        status=response.status,
    )


async def _read_problem(response: HttpResponse) -> ProblemBody | None:
    if "json" not in response.headers.get("content-type", ""):
        return None
    try:
        body = await read_body(response, MAX_PROBLEM_BYTES)
        problem = msgspec.json.decode(body, type=ProblemBody)
    except (OSError, BackendError, msgspec.MsgspecError, RecursionError):
        # The error is then reported from the status alone.
        return None
    return problem


async def read_body(response: HttpResponse, max_bytes: int) -> bytes:
    """Return a response's complete body; raise ``BackendError`` above ``max_bytes``."""
    parts: list[bytes] = []
    size = 0
    async for chunk in response.chunks():
        size += len(chunk)
        if size > max_bytes:
            raise BackendError(
                ErrorCode.BACKEND_FAILED,
                f"the backend's answer has more than {max_bytes} bytes",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        parts.append(chunk)
    return b"".join(parts)


def _verdict(response: HttpResponse, problem: ProblemBody | None) -> Verdict:
    if problem is None:
        return Verdict.MAY_HAVE_RUN
    if problem.verdict is not None:
        is_not_run = problem.verdict == Verdict.NOT_RUN.value
    elif problem.state:
        is_not_run = problem.state == OperationState.REJECTED.value
    else:
        is_problem = response.headers.get("content-type", "").startswith(PROBLEM_TYPE)
        is_not_run = is_problem and response.status in REFUSAL_STATUSES
    return Verdict.NOT_RUN if is_not_run else Verdict.MAY_HAVE_RUN


def _code(status: int, problem: ProblemBody | None) -> ErrorCode:
    if problem is not None and problem.code in STALE_TOKEN_CODES:
        return ErrorCode.STALE_FENCING_TOKEN
    if status >= 500 and status not in REFUSAL_STATUSES:
        return ErrorCode.BACKEND_FAILED
    return ErrorCode.BACKEND_REFUSED


def _message(status: int, problem: ProblemBody | None) -> str:
    detail = "" if problem is None else problem.detail or problem.result or problem.title
    return f"the backend answered with status {status}" + (f": {detail}" if detail else "")


def _retry_after(response: HttpResponse) -> float | None:
    value = response.headers.get("retry-after", "")
    try:
        seconds = float(value)
    except ValueError:
        # Without the header, or with a date in it, the retry backoff applies.
        return None
    return seconds if 0 <= seconds < float("inf") else None
