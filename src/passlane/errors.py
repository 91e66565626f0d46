"""Error type with a stable code and a verdict on whether the request ran."""

import enum


class Verdict(enum.StrEnum):
    """Whether a backend ran a request.

    ``NOT_RUN`` requires that no byte of the request was sent, or that the backend's
    refusal proves that nothing ran. ``MAY_HAVE_RUN`` means that the outcome is unknown.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorCode(enum.StrEnum):
    """Stable error codes in responses, command output and logs."""

    # Invalid requests from callers and operators.
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
    # Backends.
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
    """An error with a code, a verdict and an optional delay before a retry.

    Parameters
    ----------
    code
        Stable code of the error.
    message
        One human-readable sentence; must not contain secrets.
    verdict
        Whether the request may have run.
    retry_after_s
        Seconds to wait before a retry; ``None`` if no delay is suggested.
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
