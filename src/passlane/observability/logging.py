"""Configures structlog to log into a ring buffer and to standard output.

Every line carries the identity of its process. The values of secret keys are redacted
before a line is stored or written.
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
    """Replace the values of ``SECRET_KEYS``."""
    for key in SECRET_KEYS.intersection(line):
        line[key] = REDACTED
    return line


def add_time(_logger: WrappedLogger, _method: str, line: EventDict) -> EventDict:
    """Add the event loop's monotonic time in seconds; ``None`` outside a running loop."""
    try:
        line["time_s"] = round(anyio.current_time(), 6)
    except anyio.NoEventLoopError:
        line["time_s"] = None
    return line


def add_time_of_day(_logger: WrappedLogger, _method: str, line: EventDict) -> EventDict:
    """Add the Unix time in seconds, for comparing the logs of several machines.

    Simulated runs omit it, because their logs must be reproducible.
    """
    line["unix_time_s"] = round(time.time(), 3)
    return line


def configure_logging(
    ring: RingLog, output: StandardOutputLog | None = None, **identity: Any
) -> None:
    """Send all log lines to ``ring``, and those of level info or higher to ``output``.

    Parameters
    ----------
    ring
        Retains the most recent lines.
    output
        Writes lines, with their Unix time, to standard output; ``None`` disables it.
    identity
        Bound to every line, such as ``process="node-1"``.
    """
    structlog.contextvars.bind_contextvars(**identity)
    output_processors: list[Processor] = [add_time_of_day, output] if output is not None else []
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            add_time,
            structlog.processors.format_exc_info,
            redact_secrets,
            *output_processors,
            RingProcessor(ring),
        ],
        wrapper_class=structlog.make_filtering_bound_logger("debug"),
        logger_factory=structlog.ReturnLoggerFactory(),
        cache_logger_on_first_use=False,
    )
