"""Answers callers with this system's own words: the one way in which a request is refused.

Keeps the promise that a refusal never says more than the attempts of its request prove
(``decisions.failure.answer_verdicts``).
"""

from passlane.decisions.failure.answer_verdicts import truthful_status
from passlane.errors import Verdict
from passlane.observability.logging import get_logger
from passlane.relay.backends import AnswerWriter
from passlane.relay.progress import RequestProgress
from passlane.relay.request_errors import AnswerAbortedError, Refusal

_log = get_logger(__name__)


class OwnAnswers:
    """Refuses one request, and notes it for the request's log line."""

    def __init__(self, writer: AnswerWriter, progress: RequestProgress) -> None:
        self._writer = writer
        self._progress = progress

    async def refuse(self, refusal: Refusal, verdict: Verdict = Verdict.NOT_RUN) -> None:
        """Give a final answer of this system's own, which is never more than is known.

        Parameters
        ----------
        verdict
            Whether the request may have run so far.

        Raises
        ------
        AnswerAbortedError
            When a back end's answer has begun.
        """
        self._progress.end = refusal.end
        if self._writer.has_started:
            raise AnswerAbortedError(refusal.end)
        status = self._truthful(refusal, verdict)
        self._progress.status = status
        await self._writer.refuse(status, refusal.end.text, refusal.retry_after_s)

    def _truthful(self, refusal: Refusal, verdict: Verdict) -> int:
        truthful = truthful_status(refusal.status, verdict)
        if truthful != refusal.status:
            _log.error(
                "refusal_withheld",
                request_id=self._progress.request_id,
                status=refusal.status,
                reason=refusal.end.text,
                verdict=verdict.value,
            )
        return truthful
