"""Runs tasks beside the work of a process, none of which ends it by an unforeseen error.

For tasks that work for a single request. A long-running task is a child of a supervisor. Log line:
``task_failed``.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVarTuple

from passlane.observability.logging import get_logger

Arguments = TypeVarTuple("Arguments")

_log = get_logger("supervision")


async def run_contained(
    task: Callable[[*Arguments], Awaitable[None]], *arguments: *Arguments
) -> None:
    """Run a task; log an error that it raises, and return."""
    try:
        await task(*arguments)
    except Exception:
        _log.exception("task_failed", task=getattr(task, "__qualname__", repr(task)))
