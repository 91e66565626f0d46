"""Decides whether to send a request to another back end after an attempt without an answer.

A request whose outcome is unknown is sent again only if its route allows repeats, and at most
``max_attempts`` back ends may run it. Proven refusals do not count as attempts. The log line
``request_ended`` reports the result in ``tried`` and ``verdict``.
"""

import enum

from passlane.messages.routes import Route, RouteKind


class RetryDecision(enum.Enum):
    """What to do after an attempt failed without a complete answer."""

    NOT_SENT = "not_sent"
    """No byte was sent: try another back end without counting the attempt."""
    SEND_AGAIN = "send_again"
    """The request may have run and may be retried at another back end."""
    FAIL = "fail"
    """The request may have run and must not run again."""


def decide_after_failure(
    route: Route, runs_before: int, *, bytes_left: bool, is_answer_final: bool
) -> RetryDecision:
    """Return what to do after an attempt failed without a complete answer.

    1. No byte of the request was sent: try another back end.
    2. The caller has received output that only this answer can continue, or the attempts are
       used up: fail.
    3. Otherwise: send the request again.

    Parameters
    ----------
    route
        Route of the request.
    runs_before
        Number of earlier attempts that may have run.
    bytes_left
        ``False`` only if it is certain that no byte of the request was sent by this process.
    is_answer_final
        Whether the caller has received output that no other answer can continue.
    """
    if not bytes_left:
        return RetryDecision.NOT_SENT
    if is_answer_final or not may_run_again(route, runs_before + 1):
        return RetryDecision.FAIL
    return RetryDecision.SEND_AGAIN


def may_run_again(route: Route, runs: int) -> bool:
    """Return whether a request that may have run ``runs`` times may be sent again."""
    return route.is_repeatable and runs < route.max_attempts


def leaves_silent_backend(route: Route, runs_before: int) -> bool:
    """Return whether a request abandons a silent back end for another one.

    Only repeatable requests do, within their limit on attempts. A stream stays, because its
    engine may be computing a long prompt.
    """
    return route.kind is RouteKind.REPEATABLE and may_run_again(route, runs_before + 1)
