"""Log events with their levels and field names, as the source calls the logger."""

import ast

from outside.product_source import constant_text, method_calls

LEVELS = frozenset({"debug", "info", "warning", "error", "exception", "critical"})
LOGGER_NAMES = ("log", "logger")
COMPUTED = "(computed)"
SPREAD = "**"


def log_event_forms() -> dict[str, list[str]]:
    """Return the sorted fields of each way in which ``EVENT (LEVEL)`` is logged."""
    forms: dict[str, set[str]] = {}
    for _, call, called in method_calls(LEVELS):
        if not _is_logger(called.value) or not call.args:
            continue
        event = constant_text(call.args[0]) or COMPUTED
        fields = sorted(keyword.arg or SPREAD for keyword in call.keywords)
        forms.setdefault(f"{event} ({called.attr})", set()).add(" ".join(fields))
    return {event: sorted(ways) for event, ways in sorted(forms.items())}


def _is_logger(receiver: ast.expr) -> bool:
    return ast.unparse(receiver).split(".")[-1].lstrip("_") in LOGGER_NAMES
