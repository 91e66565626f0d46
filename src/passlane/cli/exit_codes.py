"""Exit codes of ``passlane`` and the error codes that lead to them."""

import enum

from passlane.errors import ErrorCode


class ExitCode(enum.IntEnum):
    """Outcome of a command, as its exit code."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_FOUND = 4
    UNAUTHORIZED = 5
    UNAVAILABLE = 6
    NOT_YET = 7
    INVALID = 8


_EXIT_CODES: dict[ErrorCode, ExitCode] = {
    ErrorCode.BAD_REQUEST: ExitCode.USAGE,
    ErrorCode.PRECONDITION_REQUIRED: ExitCode.USAGE,
    ErrorCode.VERSION_CONFLICT: ExitCode.CONFLICT,
    ErrorCode.IDEMPOTENCY_MISMATCH: ExitCode.CONFLICT,
    ErrorCode.NOT_FOUND: ExitCode.NOT_FOUND,
    ErrorCode.UNKNOWN_PROGRAM: ExitCode.NOT_FOUND,
    ErrorCode.UNAUTHORIZED: ExitCode.UNAUTHORIZED,
    ErrorCode.FORBIDDEN: ExitCode.UNAUTHORIZED,
    ErrorCode.UNAVAILABLE: ExitCode.UNAVAILABLE,
    ErrorCode.NOT_LEADER: ExitCode.UNAVAILABLE,
    ErrorCode.TIMEOUT: ExitCode.UNAVAILABLE,
    ErrorCode.CONNECTION_LOST: ExitCode.UNAVAILABLE,
    ErrorCode.LEASE_LOST: ExitCode.UNAVAILABLE,
    ErrorCode.QUEUE_FULL: ExitCode.UNAVAILABLE,
    ErrorCode.DISK_FULL: ExitCode.UNAVAILABLE,
    ErrorCode.INVALID_DOCUMENT: ExitCode.INVALID,
    ErrorCode.POLICY_ERROR: ExitCode.INVALID,
    ErrorCode.INVALID_SETTINGS: ExitCode.USAGE,
}


def exit_code_of(code: ErrorCode) -> ExitCode:
    """Return the exit code for an error."""
    return _EXIT_CODES.get(code, ExitCode.FAILED)
