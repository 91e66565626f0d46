"""Judges what a back end's answer means for a request, and what its own caller may be promised.

Statuses 408, 421, 429 and 503 promise that a request has not run. Such a promise is believed
of a back end, and made to a caller, only if it is proved (``docs/design/verdicts-and-retries.md``).
The log lines ``backend_refused``, ``backend_answer_untrusted`` and ``refusal_withheld`` tell of
what is decided here.
"""

import enum

from passlane.decisions.inputs.answer_head import AnswerHead, Refusal
from passlane.errors import Verdict

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run and never will."""
FIRST_CLIENT_ERROR = 400
FIRST_SERVER_ERROR = 500
"""From this status on, an answer counts as a failure of the back end; from ``FIRST_CLIENT_ERROR``
to below it, as a fault of the request."""
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
UNAVAILABLE = 503


class Judgement(enum.Enum):
    """What to do with an answer."""

    PASS_ON = "pass_on"
    NOT_RUN = "not_run"
    """The request did not run: it may be sent to another back end."""
    UNTRUSTED = "untrusted"
    """The request may have run, but this is no answer to it."""


def judge_answer(head: AnswerHead) -> Judgement:
    """Return what to do with an answer whose head has arrived.

    A status that promises "not run" is only believed where the back end proves it, and
    is never passed on without that proof.
    """
    if head.refusal is not None:
        return Judgement.NOT_RUN
    if not head.is_authentic or head.status in NOT_RUN_STATUSES:
        return Judgement.UNTRUSTED
    return Judgement.PASS_ON


def is_gone(head: AnswerHead) -> bool:
    """Whether the answer shows that the instance is no longer at its address."""
    return head.refusal is Refusal.WRONG_INSTANCE


def is_client_error(head: AnswerHead) -> bool:
    """Whether a trusted answer finds the request itself wrong: no output was made for it."""
    return FIRST_CLIENT_ERROR <= head.status < FIRST_SERVER_ERROR


def truthful_status(status: int, verdict: Verdict) -> int:
    """Return the status of a refusal, or one that promises nothing if the refusal would be false.

    Every refusal of this system's own goes through here.
    """
    if status in NOT_RUN_STATUSES and verdict is not Verdict.NOT_RUN:
        return BAD_GATEWAY
    return status


def status_when_given_up(verdict: Verdict, *, is_late: bool) -> int:
    """Return the final status of a request that got no answer.

    Only a request that certainly did not run gets a status that promises so.
    """
    if verdict is Verdict.NOT_RUN:
        return UNAVAILABLE
    return GATEWAY_TIMEOUT if is_late else BAD_GATEWAY
