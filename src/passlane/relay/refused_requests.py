"""Refuses requests under which too many engines have ended.

Owns nothing: which requests these are is known to ``relay.engine_ends`` and decided in
``decisions.failure.engine_ends``.
"""

from passlane.errors import Verdict
from passlane.relay.context import RequestContext
from passlane.relay.end_reasons import RequestEndReason
from passlane.relay.request_errors import Refusal, RequestFailedError, RequestRefusedError

RETRY_AFTER_DIGITS = 1
"""Digits of the retry-after time, in seconds."""


def require_not_refused(context: RequestContext, verdict: Verdict) -> None:
    """Check that a request may be sent to an engine.

    Raises
    ------
    RequestRefusedError
        When it is refused, and has not run so far; its caller should retry once it is forgotten.
    RequestFailedError
        When it is refused, and may have run.
    """
    if not context.engine_ends.has_refused:
        return
    remaining_s = context.engine_ends.refused_for_s(context.request_key)
    if remaining_s is None:
        return
    if verdict is not Verdict.NOT_RUN:
        raise RequestFailedError(RequestEndReason.NO_FURTHER_ENGINE_MAY_END)
    retry_after_s = round(remaining_s, RETRY_AFTER_DIGITS)
    raise RequestRefusedError(Refusal.of(RequestEndReason.ENGINES_ENDED, retry_after_s))
