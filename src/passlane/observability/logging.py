"""Structured logs by structlog, kept in a ring in memory.

Every line carries the identity of its process. Values under keys that name secrets are
replaced before a line is kept.
"""

import time
from typing import Any, cast

import anyio
import structlog
from structlog.typing import EventDict, FilteringBoundLogger, Processor, WrappedLogger

from passlane.observability.ring import RingLog, RingProcessor
from passlane.observability.standard_output import StandardOutputLog

REDACTED = "[redacted]"
SECRET_KEYS = frozenset({"token", "authorization", "secret", "password"})


def get_logger(name: str) -> FilteringBoundLogger:
    """Return a logger whose lines carry ``component=name``."""
    return cast(FilteringBoundLogger, structlog.get_logger(component=name))


def redact_secrets(_logger: WrappedLogger, _method: str, line: EventDict) -> EventDict:
    """Replace the values of keys that name secrets."""
    for key in SECRET_KEYS.intersection(line):
        line[key] = REDACTED
    return line


def add_time(_logger: WrappedLogger, _method: str, line: EventDict) -> EventDict:
    """Add the loop's monotonic time in seconds; nothing outside a running loop."""
    try:
        line["time_s"] = round(anyio.current_time(), 6)
    except anyio.NoEventLoopError:
        line["time_s"] = None
    return line


def add_time_of_day(_logger: WrappedLogger, _method: str, line: EventDict) -> EventDict:
    """Add the time of day in seconds, to set lines of several machines side by side.

    Nothing is decided by it, and simulated runs, which must repeat, log without it.
    """
    line["unix_time_s"] = round(time.time(), 3)
    return line


def configure_logging(
    ring: RingLog, output: StandardOutputLog | None = None, **identity: Any
) -> None:
    """Send all log lines to ``ring``, and those from level info on to ``output``.

    Parameters
    ----------
    ring
        Keeps the newest lines.
    output
        Writes lines to standard output, with the time of day; ``None`` writes none.
    identity
        Bound to every line, such as ``process="node-1"``.
    """
    structlog.contextvars.bind_contextvars(**identity)
    written: list[Processor] = [add_time_of_day, output] if output is not None else []
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            add_time,
            structlog.processors.format_exc_info,
            redact_secrets,
            *written,
            RingProcessor(ring),
        ],
        wrapper_class=structlog.make_filtering_bound_logger("debug"),
        logger_factory=structlog.ReturnLoggerFactory(),
        cache_logger_on_first_use=False,
    )
