"""Classifies answers of back ends and chooses statuses that match the verdict on a request.

Statuses 408, 421, 429 and 503 state that a request has not run. Such a status is accepted from a
back end, and sent to a caller, only with proof. The log lines ``backend_refused``,
``backend_answer_untrusted`` and ``refusal_withheld`` report these decisions.
"""

import enum

from passlane.decisions.inputs.answer_head import AnswerHead, Refusal
from passlane.errors import Verdict

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run and never will."""
ANSWER_STATUSES = range(200, 600)
"""Statuses of final answers; any other number is no answer, whatever its headers say."""
FIRST_CLIENT_ERROR = 400
FIRST_SERVER_ERROR = 500
"""First status that counts as a failure of the back end. Statuses from ``FIRST_CLIENT_ERROR`` up
to this one count as errors of the request."""
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
UNAVAILABLE = 503


class Judgement(enum.Enum):
    """How to handle an answer."""

    PASS_ON = "pass_on"
    NOT_RUN = "not_run"
    """The request did not run, so it may be sent to another back end."""
    UNTRUSTED = "untrusted"
    """The request may have run, but the answer can't be forwarded to the caller."""


def judge_answer(head: AnswerHead) -> Judgement:
    """Return how to handle an answer whose head has been received.

    1. A status outside ``ANSWER_STATUSES`` is no answer and proves nothing.
    2. A proven refusal means that the request did not run.
    3. An answer that is not authentic, or a status in ``NOT_RUN_STATUSES`` without proof, is not
       trusted and never forwarded.
    4. Any other answer is forwarded.
    """
    if head.status not in ANSWER_STATUSES:
        return Judgement.UNTRUSTED
    if head.refusal is not None:
        return Judgement.NOT_RUN
    if not head.is_authentic or head.status in NOT_RUN_STATUSES:
        return Judgement.UNTRUSTED
    return Judgement.PASS_ON


def is_gone(head: AnswerHead) -> bool:
    """Return whether the answer shows that the instance is no longer at its address."""
    return head.refusal is Refusal.WRONG_INSTANCE


def is_client_error(head: AnswerHead) -> bool:
    """Return whether a trusted answer rejects the request itself, so no output was generated."""
    return FIRST_CLIENT_ERROR <= head.status < FIRST_SERVER_ERROR


def is_server_error(head: AnswerHead) -> bool:
    """Return whether a trusted answer tells of a failure of the back end."""
    return head.status >= FIRST_SERVER_ERROR


def status_for_verdict(status: int, verdict: Verdict) -> int:
    """Return ``status``, or 502 if the status states "not run" and the verdict does not.

    Applies to every refusal that this system generates itself.
    """
    if status in NOT_RUN_STATUSES and verdict is not Verdict.NOT_RUN:
        return BAD_GATEWAY
    return status


def status_without_answer(verdict: Verdict, *, is_late: bool) -> int:
    """Return the final status of a request that got no answer.

    1. A request that certainly did not run: 503.
    2. A request that may have run and has exceeded its time limit: 504.
    3. Any other request that may have run: 502.
    """
    if verdict is Verdict.NOT_RUN:
        return UNAVAILABLE
    return GATEWAY_TIMEOUT if is_late else BAD_GATEWAY
