"""Errors with codes, and the verdict that says whether a request may have run."""

import enum


class Verdict(enum.StrEnum):
    """Whether a request has run at its back end.

    ``NOT_RUN`` is only used when no byte of the request left this system, or when the
    back end's own refusal proves that nothing ran.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorCode(enum.StrEnum):
    """Stable codes of errors, shown to callers, operators and in logs."""

    # Input of callers and operators.
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    PRECONDITION_REQUIRED = "precondition_required"
    UNKNOWN_PROGRAM = "unknown_program"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_TOOL = "unknown_tool"
    PROGRAM_ENDED = "program_ended"
    WRONG_SEQUENCE = "wrong_sequence"
    IDEMPOTENCY_MISMATCH = "idempotency_mismatch"
    VERSION_CONFLICT = "version_conflict"
    INVALID_DOCUMENT = "invalid_document"
    INVALID_SETTINGS = "invalid_settings"
    # Limits.
    BUDGET_EXCEEDED = "budget_exceeded"
    LIMIT_EXCEEDED = "limit_exceeded"
    QUEUE_FULL = "queue_full"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    # State of the system.
    DRAINING = "draining"
    NOT_LEADER = "not_leader"
    STALE_EPOCH = "stale_epoch"
    LEASE_LOST = "lease_lost"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    DISK_FULL = "disk_full"
    STORAGE_CORRUPT = "storage_corrupt"
    # Back ends.
    BACKEND_REFUSED = "backend_refused"
    BACKEND_FAILED = "backend_failed"
    STALE_FENCING_TOKEN = "stale_fencing_token"
    # Transport.
    PROTOCOL_ERROR = "protocol_error"
    FRAME_TOO_LARGE = "frame_too_large"
    CONNECTION_LOST = "connection_lost"
    POLICY_ERROR = "policy_error"
    INTERNAL = "internal"


class PasslaneError(Exception):
    """An error with a code, a verdict and, where it helps, a time to come back.

    Parameters
    ----------
    code
        Stable code of the error.
    message
        One sentence for a person; never holds secrets.
    verdict
        Whether the request may have run.
    retry_after_s
        Seconds after which trying again makes sense; ``None`` when it does not.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f"{code.value}: {message}")
        self.code = code
        self.message = message
        self.verdict = verdict
        self.retry_after_s = retry_after_s
