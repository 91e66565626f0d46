"""What a failed exchange with a back end says about whether the request has run."""

import msgspec

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.backends import OperationState
from passlane.runtime.interfaces import HttpConnectionError, HttpResponse

MAX_PROBLEM_BYTES = 64_000
"""Most bytes read of a refusal's body."""

REFUSAL_STATUSES = frozenset({409, 429, 503})
"""Statuses that prove, together with a problem body, that the request did not run."""

REJECTION_STATUSES = frozenset({400, 404, 405, 413, 415, 422})
"""Statuses that speak about the request itself, whoever sends it and when."""

STALE_TOKEN_CODES = frozenset({ErrorCode.STALE_FENCING_TOKEN.value, ErrorCode.STALE_EPOCH.value})
"""Codes by which a back end says that a newer leader has spoken to it."""

PROBLEM_TYPE = "application/problem+json"


class BackendError(PasslaneError):
    """An exchange with a back end failed.

    Parameters
    ----------
    is_final
        The back end rejected the request itself: sending it again would not help.
    status
        HTTP status of the answer, if there was one.
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


class ProblemBody(msgspec.Struct, frozen=True):
    """The parts of a refusal's JSON body that matter here.

    A problem (RFC 9457) has ``detail``, ``title``, ``code`` and ``verdict``; an
    application's own refusal has ``state`` ``rejected`` and a reason in ``result``.
    """

    detail: str = ""
    title: str = ""
    code: str = ""
    verdict: str | None = None
    state: str = ""
    result: str = ""


def error_of_connection(error: HttpConnectionError) -> BackendError:
    """Return the failure that a broken connection stands for."""
    if error.bytes_left:
        return BackendError(
            ErrorCode.BACKEND_FAILED,
            f"the connection to the back end broke: {error}",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    return BackendError(
        ErrorCode.UNAVAILABLE,
        f"the back end could not be reached: {error}",
        verdict=Verdict.NOT_RUN,
    )


def error_of_timeout(seconds: float) -> BackendError:
    """Return the failure of an exchange that was cut off after ``seconds``."""
    return BackendError(
        ErrorCode.TIMEOUT,
        f"the back end gave no answer within {seconds:g} s",
        verdict=Verdict.MAY_HAVE_RUN,
    )


async def error_of_response(response: HttpResponse) -> BackendError:
    """Return the failure that an answer with an error status stands for.

    Only a refusal status with a problem body, or a body that says itself that nothing
    ran, proves it.
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
        body = await read_whole(response, MAX_PROBLEM_BYTES)
        problem = msgspec.json.decode(body, type=ProblemBody)
    except (OSError, BackendError, msgspec.MsgspecError):
        # The refusal is reported all the same, by the status alone.
        return None
    return problem


async def read_whole(response: HttpResponse, max_bytes: int) -> bytes:
    """Return an answer's whole body; raise ``BackendError`` beyond ``max_bytes``."""
    parts: list[bytes] = []
    size = 0
    async for chunk in response.chunks():
        size += len(chunk)
        if size > max_bytes:
            raise BackendError(
                ErrorCode.BACKEND_FAILED,
                f"the back end's answer has more than {max_bytes} bytes",
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
    return f"the back end answered with status {status}" + (f": {detail}" if detail else "")


def _retry_after(response: HttpResponse) -> float | None:
    value = response.headers.get("retry-after", "")
    try:
        seconds = float(value)
    except ValueError:
        # No time was named, or a date: the retries' own pauses hold.
        return None
    return seconds if 0 <= seconds < float("inf") else None
