"""Decides whether a request is sent to one more back end after an attempt without an answer.

What promises rest on: a request that may have run is sent again only if its route says that it
may be repeated, and to at most ``max_attempts`` back ends that may run it. Proved refusals do
not count. The log line ``request_ended`` shows the outcome in ``tried`` and ``verdict``.
"""

import enum

from passlane.messages.routes import Route, RouteKind


class AfterBreak(enum.Enum):
    """What follows an attempt that broke off."""

    NOT_SENT = "not_sent"
    """No byte had left: it goes to another back end, and nothing is counted."""
    SEND_AGAIN = "send_again"
    """It may have run, and may run once more at another back end."""
    FAIL = "fail"
    """It may have run, and must not run again."""


def after_break(
    route: Route, runs_before: int, *, bytes_left: bool, is_answer_final: bool
) -> AfterBreak:
    """Return what follows an attempt that broke off.

    Parameters
    ----------
    runs_before
        Earlier attempts that may have run.
    bytes_left
        ``False`` only if it is certain that no byte of the request left this process.
    is_answer_final
        Whether the caller has got a part that no other answer can go on with.
    """
    if not bytes_left:
        return AfterBreak.NOT_SENT
    if is_answer_final or not may_run_again(route, runs_before + 1):
        return AfterBreak.FAIL
    return AfterBreak.SEND_AGAIN


def may_run_again(route: Route, runs: int) -> bool:
    """Whether a request that may have run ``runs`` times may be sent to one more back end."""
    return route.is_repeatable and runs < route.max_attempts


def leaves_silent_backend(route: Route, runs_before: int) -> bool:
    """Whether a request turns from a silent back end to another one.

    Only a repeatable request does, as far as its most attempts allow. A stream stays: its
    engine may be reading a long prompt.
    """
    return route.kind is RouteKind.REPEATABLE and may_run_again(route, runs_before + 1)
