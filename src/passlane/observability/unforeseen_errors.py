"""Logs the unforeseen errors that end a process, before it ends.

A process that ends on an error leaves its traceback on standard error, which not every operator
collects, and each error of a group may come from another task. Log line: ``ended_by_error``.
"""

import traceback
from collections.abc import Iterator
from pathlib import PurePath
from types import TracebackType

from passlane.observability.logging import get_logger

MAX_MESSAGE_CHARACTERS = 300
MAX_PLACES = 8
"""Innermost calls of a traceback that are logged."""
MAX_ERRORS_LOGGED = 5
"""Maximum number of errors of a group that are logged."""
_PATH_PARTS = 2
"""A module is named by its file and the folder of it."""

_log = get_logger("daemon")


def log_ending_errors(error: Exception) -> None:
    """Log the errors that end this process: a line for each error of a group."""
    for single in list(_single_errors(error))[:MAX_ERRORS_LOGGED]:
        _log.error(
            "ended_by_error",
            error=type(single).__name__,
            message=bounded_message(single),
            places=places(single.__traceback__),
        )


def bounded_message(error: BaseException) -> str:
    """Return the message of an error, of printable characters and bounded in length."""
    message = str(error)[:MAX_MESSAGE_CHARACTERS]
    return message.encode("ascii", "backslashreplace").decode()


def places(trace: TracebackType | None) -> list[str]:
    """Return the innermost calls as ``folder/module.py:LINE FUNCTION``, the outermost first."""
    frames = traceback.extract_tb(trace, limit=-MAX_PLACES)
    return [f"{_module(frame.filename)}:{frame.lineno} {frame.name}" for frame in frames]


def _module(path: str) -> str:
    return "/".join(PurePath(path).parts[-_PATH_PARTS:])


def _single_errors(error: Exception) -> Iterator[Exception]:
    """Yield the errors of a group and of the groups in it; a single error as it is."""
    if not isinstance(error, ExceptionGroup):
        yield error
        return
    for part in error.exceptions:
        yield from _single_errors(part)
